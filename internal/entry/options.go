package entry

import (
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/settings"
)

// Options are the dependencies and settings of a Host.
type Options struct {
	Settings       *settings.EntrySettings
	Table          Table
	RunLedger      RunLedger
	Limits         Limits
	Sessions       Sessions
	Observer       Observer
	ServerSecret   string               // credential of backend servers
	OperatorSecret string               // credential for /dump; if empty, /dump is always refused
	Logger         log.Interface        // nil for log.Log
	Registry       *prometheus.Registry // nil for a new one
	Sender         forward.Sender       // nil for HTTP over TCP
	Seed           uint64               // of the random numbers for retry jitter and server selection
	// HasTables reports whether the routing tables have been received; /ready fails until then. If
	// it is nil, the tables count as received.
	HasTables func() bool
	// Dump returns the state of other parts of the process for /dump. It may be nil.
	Dump func() any
}

// Defaults of unset settings.
const (
	defaultDeadline           = 2 * time.Second
	defaultMaxDeadline        = 5 * time.Second
	defaultUploadIdleTimeout  = 30 * time.Second
	defaultMaxBodyBytes       = 1 << 20
	defaultMaxUploadBytes     = 256 << 20
	defaultQueueLength        = 256
	defaultWorkers            = 4096
	defaultLinkBytesPerSecond = 375_000
)

// hostConfig holds the settings that bound requests and the shutdown, with defaults applied.
type hostConfig struct {
	defaultDeadline    time.Duration // for lookups and orders that have none
	maxDeadline        time.Duration
	uploadIdleTimeout  time.Duration
	maxBodyBytes       int
	maxUploadBytes     int
	queueLength        int
	workers            int
	linkBytesPerSecond int // to other regions
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
		return errors.New("entry: Settings is nil")
	case o.Table == nil, o.RunLedger == nil, o.Limits == nil, o.Sessions == nil, o.Observer == nil:
		return errors.New("entry: Table, RunLedger, Limits, Sessions and Observer must all be set")
	case o.ServerSecret == "":
		return errors.New("entry: ServerSecret is empty")
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	return nil
}
