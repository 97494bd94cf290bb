package keyrange

import "time"

const (
	// defaultWorkTime is taken for a request while none was measured, seconds.
	defaultWorkTime = 0.1
	// warmupFactor is the part of its capacity that a server counts with while
	// it is slow after its start.
	warmupFactor = 0.5
	// busyUtilization is the part of its slots from which requests begin to wait
	// at a server. Below it no keys are moved for load.
	busyUtilization = 0.6
	// idleUtilization is the average below which a service counts as unused.
	idleUtilization = 0.05
	// calmUtilization is the part of its slots up to which a server takes keys
	// whatever the others have.
	minTargetUtilization = 0.45
	// moveThreshold is how far, relative to the average, a server's utilization
	// may exceed the average before it gives keys away.
	moveThreshold = 1.2
	// chanceDeviations is the number of standard deviations that a rate must be above
	// a bound to count as above it.
	confidenceDeviations = 1.0
	// movedTo is the utilization, relative to the average, that a server which
	// gives keys away keeps, and up to which others take them.
	targetFactor = 1.1
	// movesInFlight is the part of a service's servers that may be giving keys
	// away for load at the same time.
	maxMovingFraction = 0.34
	// maxPieces is the number of ranges that a server gives away at once.
	maxRevocations = 6
	// pullPatience is how long keys wait for a server with room before any server
	// takes them.
	capacityWait = 200 * time.Millisecond
	// forcedPart is the part of its capacity that a server takes of keys for which
	// no server has room.
	forcedFraction = 0.15
	// hotPart is the part of a server's capacity from which a single key counts as
	// hot. A hot key goes to one of the fastest servers.
	hotKeyFraction = 0.5
	// hotPatience is how long a hot key waits for one of the fastest servers.
	hotKeyWait = time.Second
	// fasterFactor is how much faster a server must be for a hot key to move there.
	fasterFactor = 1.3
	// idleLevel is the utilization, relative to the average, up to which servers take
	// keys of an unused service: just above 1, so that the last servers get some too.
	idleTargetFactor = 1.01
	// newcomerPart is the part of its load that a server gives to one without keys;
	// the rest follows when servers are busy.
	emptyServerShare = 0.5
	// idlePatience is how long keys of an unused service wait: until every server's
	// next heartbeat.
	idleCapacityWait = 900 * time.Millisecond
	// newcomerSilence is the silence after which a server without keys counts no more.
	emptyServerTimeout = 2 * time.Second
	// giverPart is the utilization, relative to the average, from which a server
	// gives keys to servers without any.
	donorMinFactor = 0.7
	// leastMoved is the load, as a part of a server's average load, below which a
	// move is not worth the keys' unavailability.
	minMoveFraction = 0.1
)
