package health

import "time"

// Settings of a Judge. DefaultSettings returns them for any deployment.
type Settings struct {
	// MinFailureSpan is the time between the first and the latest failure that a host
	// must see, without a success between them.
	MinFailureSpan time.Duration
	// MaxEvidenceAge is the age up to which a host's latest observation counts. It is
	// above twice the time between an entry host's reports of answers.
	MaxEvidenceAge time.Duration
	// MinFailures is the number of failures that a host must see.
	MinFailures int
	// MaxWithheldFraction is the part of a service's capacity that may be withheld.
	MaxWithheldFraction float64
	// Probation is the time over which a server's probes must be answered after
	// its first failure. Each further failure doubles it, up to MaxProbation. It
	// must last beyond the end of the session that failed.
	Probation    time.Duration
	MaxProbation time.Duration
	// FailureRetention is the time without failures after which a server's earlier
	// failures are forgotten.
	FailureRetention time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which hosts are asked to
	// probe.
	HeartbeatTimeout time.Duration
}

// Defaults of Settings.
const (
	defaultSilence      = time.Second
	defaultFresh        = 3 * time.Second
	defaultMinFailures  = 3
	defaultMaxWithheld  = 1.0 / 3
	defaultProbation    = 2 * time.Second
	defaultMaxProbation = 5 * time.Minute
	defaultForget       = 10 * time.Minute
	defaultHeartbeatGap = 300 * time.Millisecond
)

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		MinFailureSpan:      defaultSilence,
		MaxEvidenceAge:      defaultFresh,
		MinFailures:         defaultMinFailures,
		MaxWithheldFraction: defaultMaxWithheld,
		Probation:           defaultProbation,
		MaxProbation:        defaultMaxProbation,
		FailureRetention:    defaultForget,
		HeartbeatTimeout:    defaultHeartbeatGap,
	}
}

// MaxDetectionTime returns the longest time from the first failure that the second
// of two hosts sees to the verdict, where both go on to see failures and report
// them at the given interval.
func (s Settings) MaxDetectionTime(report time.Duration) time.Duration {
	// The first failure waits for a report, the row of failures grows by reports,
	// and a verdict waits for a round.
	return s.MinFailureSpan + 2*report + judgeInterval
}

// Constants that no deployment needs to set.
const (
	// hostMemory is the time after which a host that does not report any more is
	// forgotten.
	hostMemory = time.Minute
	// maxHosts bounds the entry hosts known.
	maxHosts = 2048
	// maxWitnesses and maxDomainWitnesses bound the hosts whose observations of
	// one session are kept, in all and in one failure domain.
	maxWitnesses       = 48
	maxDomainWitnesses = 16
	// maxSessions bounds the sessions watched.
	maxSessions = 4096
	// maxRecords bounds the servers whose failures are remembered.
	maxRecords = 1024
	// minWitnesses is the number of hosts, in as many failure domains, that must
	// see a server fail, and whose probes must be answered in probation.
	minWitnesses = 2
	// outvote is the number of hosts that must see failures for each host that
	// sees successes.
	outvote = 3
	// discredit is the number of servers from which a host is not believed, if
	// they are more than half of the servers that it saw anything of.
	discredit = 3
	// busyLoad is the reported load from which a server counts as busy, in its
	// slots. A busy server gets twice the Silence; no report gets it more.
	busyLoad = 2
	// probeInterval is the time between two requests to a host to probe a server.
	probeInterval = 500 * time.Millisecond
	// probeAssignment is the time after which a host that was asked to probe a
	// server, and did not renew its session since, makes room for another.
	probeAssignment = 4 * probeInterval
	// probeHosts and probeHostsInDomain bound the hosts asked at one time.
	probeHosts         = 4
	probeHostsInDomain = 2
	// maxProbesWanted bounds the probes asked for in one reply.
	maxProbesWanted = 16
	// judgeInterval is the time between two rounds of judgement.
	judgeInterval = 100 * time.Millisecond
	// absentMemory is the time for which a failed server that did not come back
	// counts as withheld capacity.
	absentMemory = time.Minute
)
