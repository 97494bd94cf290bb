package keyrange

import "time"

// Bounds and times of a Coordinator.
const (
	// tokenCounterBits is the part of a token that counts within a term. Tokens
	// stay below 2^53, so that any JSON reader keeps them whole.
	tokenCounterBits = 24
	// clockDrift is how much slower a holder's clock may run than ours.
	clockDrift = 0.02
	// leaseMargin covers rounding and the holder's own timers.
	leaseMargin = 100 * time.Millisecond
	// settleTime is how long a service waits for servers to show up before its
	// keys are divided for the first time.
	minSettleTime = 1200 * time.Millisecond
	// settlePause is the time without a new server after which all are taken to have
	// shown up, and mostSettleTime bounds the wait for it.
	settlePause   = 500 * time.Millisecond
	maxSettleTime = 3 * time.Second
	// maxGrantRows bounds the ranges of one reply; heartbeat replies must stay
	// below 4 KiB, and one row takes up to 55 bytes of JSON.
	maxGrantRanges = 56
	// cleanInterval is the least time between two heartbeats of a server that show
	// together what it holds: a single one may be old and come late.
	confirmInterval = 250 * time.Millisecond
	// compactRows is the number of ranges of one server from which neighbours
	// are joined.
	compactThreshold = 6
	// maxHolderRows is the number of ranges from which a server's ranges are not
	// split any more.
	maxSplitRanges = 32
)

// Options of a Coordinator.
type Options struct {
	// Term of the leader.
	Term uint64
	// Keys is the number of keys of a service; they are 0 to Keys-1.
	Keys int64
	// RangesPerServer is the number of ranges that lie apart in which a server gets its keys
	// of an unused service; 0 for one.
	RangesPerServer int
	// Lease is how long a grant holds from when its heartbeat was sent.
	Lease time.Duration
	// InheritedLeasesEnd is when every lease of earlier terms is over; 0 if none was
	// ever given.
	InheritedLeasesEnd time.Duration
	// RecordedGrants are the newest grants of earlier terms. Without them, every key may
	// have a holder that is not known.
	RecordedGrants []Assignment
	// DrainPeriod is how long a leaving server may still get requests.
	DrainPeriod time.Duration
	// SilenceTimeout is the silence after which a server is left out of the table.
	SilenceTimeout time.Duration
}

// LeaseBound returns the longest time from the receipt of a heartbeat for which
// its sender may act on the reply.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+clockDrift)) + leaseMargin
}
