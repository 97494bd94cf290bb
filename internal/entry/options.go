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
	RunLedger      RunLedger
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
	defaultDeadline           = 2 * time.Second
	defaultMaxDeadline        = 5 * time.Second
	defaultUploadIdleTimeout  = 30 * time.Second
	defaultMaxBodyBytes       = 1 << 20
	defaultMaxUploadBytes     = 256 << 20
	defaultQueueLength        = 256
	defaultWorkers            = 4096
	defaultLinkBytesPerSecond = 375_000 // bytes a second
)

// bounds are the settings in Go's units.
type hostConfig struct {
	defaultDeadline    time.Duration // of a lookup or order that names none
	maxDeadline        time.Duration
	uploadIdleTimeout  time.Duration
	maxBodyBytes       int
	maxUploadBytes     int
	queueLength        int
	workers            int
	linkBytesPerSecond int // bytes a second to other regions
	drainPeriod        time.Duration
	unreadyPeriod      time.Duration
}

func newHostConfig(s *settings.EntrySettings) hostConfig {
	return hostConfig{
		defaultDeadline:    millisOrDefault(s.DeadlineMs, defaultDeadline),
		maxDeadline:        millisOrDefault(s.MaxDeadlineMs, defaultMaxDeadline),
		uploadIdleTimeout:  millisOrDefault(s.UploadIdleMs, defaultUploadIdleTimeout),
		maxBodyBytes:       intOrDefault(s.MaxBodyBytes, defaultMaxBodyBytes),
		maxUploadBytes:     intOrDefault(s.MaxUploadBytes, defaultMaxUploadBytes),
		queueLength:        intOrDefault(s.QueueLength, defaultQueueLength),
		workers:            intOrDefault(s.Workers, defaultWorkers),
		linkBytesPerSecond: intOrDefault(s.RegionLinkBytesPerSecond, defaultLinkBytesPerSecond),
		drainPeriod:        time.Duration(s.DrainSeconds) * time.Second,
		unreadyPeriod:      time.Duration(s.UnreadySeconds) * time.Second,
	}
}

func millisOrDefault(millis int, fallback time.Duration) time.Duration {
	if millis == 0 {
		return fallback
	}
	return time.Duration(millis) * time.Millisecond
}

func intOrDefault(value, fallback int) int {
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
