package keyrange

import "time"

// Limits and timing of a Coordinator.
const (
	// tokenCounterBits is the number of low bits of a token that count within a term. Tokens
	// stay below 2^53, so that JSON readers with floating-point numbers keep them exact.
	tokenCounterBits = 24
	// clockDrift is the fraction by which a holder's clock may run slower than the leader's.
	clockDrift = 0.02
	// leaseMargin covers rounding and the precision of the holder's timers.
	leaseMargin = 100 * time.Millisecond
	// minSettleTime is the least time that a service waits for servers before its keys are
	// assigned for the first time.
	minSettleTime = 1200 * time.Millisecond
	// settlePause is the time without a new server after which all servers are assumed to have
	// started. maxSettleTime bounds the wait.
	settlePause   = 500 * time.Millisecond
	maxSettleTime = 3 * time.Second
	// maxGrantRanges bounds the ranges of one reply. Heartbeat replies must stay below 4 KiB,
	// and a range takes up to 55 bytes of JSON.
	maxGrantRanges = 56
	// confirmInterval is the least time between a server's first heartbeat and one from which
	// keys that it does not report are freed. A single heartbeat may be delayed and out of
	// date.
	confirmInterval = 250 * time.Millisecond
	// compactThreshold is the number of ranges of a server from which adjacent ranges are
	// merged.
	compactThreshold = 6
	// maxSplitRanges is the number of ranges of a server from which none of them is split.
	maxSplitRanges = 32
)

// Options configures a Coordinator.
type Options struct {
	// Term is the term of the leader.
	Term uint64
	// Keys is the number of keys of a service; they are 0 to Keys-1.
	Keys int64
	// RangesPerServer is the number of separate ranges in which a server receives its keys of
	// an idle service; 0 means 1.
	RangesPerServer int
	// Lease is the lease time of a grant, counted from when its heartbeat was sent.
	Lease time.Duration
	// InheritedLeasesEnd is the time at which all leases of earlier terms have expired; 0 if
	// there are none.
	InheritedLeasesEnd time.Duration
	// RecordedGrants are the newest grants of earlier terms. They are required for safety: a key
	// without a recorded grant counts as free.
	RecordedGrants []Assignment
	// Regions has the region of each failure domain.
	Regions map[string]string
	// RevokeBy is the time after the start of an evacuation within which the keys of the failure domain are revoked; 0
	// means defaultRevokeBy.
	RevokeBy time.Duration
	// EvacuationEnds has, by failure domain, a time up to which its servers may have become cold because its evacuation
	// ended shortly before the term.
	EvacuationEnds map[string]time.Duration
	// DrainPeriod is how long a leaving server may still receive requests.
	DrainPeriod time.Duration
	// HeartbeatInterval is the interval between a server's heartbeats; 0 if it is not known. Then no server
	// counts as silent.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without heartbeats after which a server is removed.
	HeartbeatTimeout time.Duration
}

// LeaseBound returns the longest time, from the receipt of a heartbeat, for which the sender
// may consider the lease of the reply valid.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+clockDrift)) + leaseMargin
}
