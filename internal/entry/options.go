package entry

import (
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/settings"
)

// Options is what a Host is made of.
type Options struct {
	Settings       *settings.EntrySettings
	Table          Table
	RunLedger           RunLedger
	Limits         Limits
	Sessions       Sessions
	Observer       Observer
	ServerSecret   string               // credential of backend servers
	OperatorSecret string               // credential asked for by /dump; empty refuses it
	Logger         log.Interface        // nil for the default logger
	Registry       *prometheus.Registry // nil for a new one
	Sender         forward.Sender       // nil for HTTP over TCP
	Seed           uint64               // of the jitter and the tie-breaks
	// HasTables reports whether the routing tables have come; until then the host
	// fails the balancer's check. Nil: they have.
	HasTables func() bool
	// Dump returns the state of other parts of the process for /dump; may be nil.
	Dump func() any
}

// Defaults of settings left out.
const (
	defaultDeadline       = 2 * time.Second
	defaultMaxDeadline    = 5 * time.Second
	defaultUploadIdle     = 30 * time.Second
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxUploadBytes = 256 << 20
	defaultQueueLength    = 256
	defaultWorkers        = 4096
	defaultLinkRate       = 375_000 // bytes a second
)

// bounds are the settings in Go's units.
type bounds struct {
	deadline       time.Duration // of a lookup or order that names none
	maxDeadline    time.Duration
	uploadIdle     time.Duration
	maxBodyBytes   int
	maxUploadBytes int
	queueLength    int
	workers        int
	linkRate       int // bytes a second to other regions
	drain          time.Duration
	unready        time.Duration
}

func newBounds(s *settings.EntrySettings) bounds {
	return bounds{
		deadline:       millisOr(s.DeadlineMs, defaultDeadline),
		maxDeadline:    millisOr(s.MaxDeadlineMs, defaultMaxDeadline),
		uploadIdle:     millisOr(s.UploadIdleMs, defaultUploadIdle),
		maxBodyBytes:   intOr(s.MaxBodyBytes, defaultMaxBodyBytes),
		maxUploadBytes: intOr(s.MaxUploadBytes, defaultMaxUploadBytes),
		queueLength:    intOr(s.QueueLength, defaultQueueLength),
		workers:        intOr(s.Workers, defaultWorkers),
		linkRate:       intOr(s.RegionLinkBytesPerSecond, defaultLinkRate),
		drain:          time.Duration(s.DrainSeconds) * time.Second,
		unready:        time.Duration(s.UnreadySeconds) * time.Second,
	}
}

func millisOr(millis int, fallback time.Duration) time.Duration {
	if millis == 0 {
		return fallback
	}
	return time.Duration(millis) * time.Millisecond
}

func intOr(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func (o *Options) check() error {
	switch {
	case o.Settings == nil:
		return errors.New("entry: settings are missing")
	case o.Table == nil, o.RunLedger == nil, o.Limits == nil, o.Sessions == nil, o.Observer == nil:
		return errors.New("entry: a port is missing")
	case o.ServerSecret == "":
		return errors.New("entry: the credential of backend servers is empty")
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	return nil
}
