package health

import "time"

// Settings are the settings of a Detector. The defaults suit any deployment.
type Settings struct {
	// MinFailureSpan is the minimum time between the first and the latest failure that a host must
	// see, without a success between them.
	MinFailureSpan time.Duration
	// MaxEvidenceAge is the age up to which a host's latest observation counts. It must be more than
	// twice the interval at which an entry host reports responses.
	MaxEvidenceAge time.Duration
	// MinFailures is the minimum number of failures that a host must see.
	MinFailures int
	// MaxWithheldFraction is the fraction of a service's capacity that may be withheld.
	MaxWithheldFraction float64
	// Probation is the time over which a server must answer probes after its first detected failure or
	// its second lost lease. Each further lost lease doubles it, and each further detected failure
	// quadruples it, up to MaxProbation. It must be longer than the remaining lease of the session
	// that failed.
	Probation    time.Duration
	MaxProbation time.Duration
	// FailureRetention is the time without failures after which the record of a server's failures
	// is deleted.
	FailureRetention time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which hosts are asked to probe.
	HeartbeatTimeout time.Duration
}

// Defaults of Settings.
const (
	defaultMinFailureSpan      = time.Second
	defaultMaxEvidenceAge      = 3 * time.Second
	defaultMinFailures         = 3
	defaultMaxWithheldFraction = 1.0 / 3
	defaultProbation           = 2 * time.Second
	defaultMaxProbation        = 5 * time.Minute
	defaultFailureRetention    = 10 * time.Minute
	defaultHeartbeatTimeout    = 300 * time.Millisecond
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MinFailureSpan:      defaultMinFailureSpan,
		MaxEvidenceAge:      defaultMaxEvidenceAge,
		MinFailures:         defaultMinFailures,
		MaxWithheldFraction: defaultMaxWithheldFraction,
		Probation:           defaultProbation,
		MaxProbation:        defaultMaxProbation,
		FailureRetention:    defaultFailureRetention,
		HeartbeatTimeout:    defaultHeartbeatTimeout,
	}
}

// MaxDetectionTime returns the longest time until a failure is detected, starting at the first
// failure seen by the second of two hosts, if both continue to see failures and report them at the
// given interval.
func (s Settings) MaxDetectionTime(reportInterval time.Duration) time.Duration {
	// The first failure waits for a report, the streak of failures is extended only by reports, and
	// the assessment waits for the next evaluation.
	return s.MinFailureSpan + 2*reportInterval + evaluationInterval
}

// Limits and intervals that no deployment needs to change.
const (
	// hostRetention is the time after its latest report for which a host is kept.
	hostRetention = time.Minute
	// maxHosts limits the number of entry hosts.
	maxHosts = 2048
	// maxObservers and maxObserversPerDomain limit the hosts whose observations of one session are
	// kept, in total and per failure domain.
	maxObservers          = 48
	maxObserversPerDomain = 16
	// maxSessions limits the number of sessions.
	maxSessions = 4096
	// maxRecords limits the number of failure records.
	maxRecords = 1024
	// minObservers is the number of hosts, in as many failure domains, that must see a server fail,
	// and whose probes must be answered during probation.
	minObservers = 2
	// failingPerSucceeding is the number of hosts that must see failures for each host that sees
	// successes.
	failingPerSucceeding = 3
	// distrustThreshold is the number of sessions that must fail for a host for it not to be
	// trusted. They must also be more than half of the sessions that it has observed.
	distrustThreshold = 3
	// busyLoadFactor is the reported load, as a multiple of the server's capacity, from which a
	// server counts as busy. For a busy server MinFailureSpan is doubled; no reported load extends it
	// further.
	busyLoadFactor = 2
	// probeInterval is the minimum time between requests to one host to probe a session.
	probeInterval = 500 * time.Millisecond
	// probeRequestLifetime is the time after which a host that was asked to probe a session, and has
	// not renewed its own session since, is replaced by another host.
	probeRequestLifetime = 4 * probeInterval
	// maxProbingHosts and maxProbingHostsPerDomain limit the hosts that probe one session
	// concurrently.
	maxProbingHosts          = 4
	maxProbingHostsPerDomain = 2
	// maxProbeTargets limits the sessions that one call of ProbeTargets returns.
	maxProbeTargets = 16
	// evaluationInterval is the minimum time between evaluations of the same sessions.
	evaluationInterval = 100 * time.Millisecond
	// absentRetention is the time for which a failed server that has not come back counts as
	// withheld capacity.
	absentRetention = time.Minute
)
