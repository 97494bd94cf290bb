package keyrange

import "time"

const (
	// defaultServiceTimeSeconds is the service time of a request that is assumed while no
	// measurement exists.
	defaultServiceTimeSeconds = 0.1
	// WarmupFactor is the fraction of a server's capacity that the leader counts during its warm-up.
	WarmupFactor = 0.5
	// busyUtilization is the slot utilization above which requests begin to queue at a server.
	// Below it no keys are moved because of load.
	busyUtilization = 0.6
	// idleUtilization is the average utilization below which a service counts as idle.
	idleUtilization = 0.05
	// minTargetUtilization is the slot utilization up to which a server may always receive
	// keys, whatever the utilization of the others.
	minTargetUtilization = 0.45
	// moveThreshold is the ratio of a server's utilization to the average from which it gives
	// keys away.
	moveThreshold = 1.2
	// confidenceDeviations is the number of standard deviations that are subtracted from a
	// measured rate before it is compared with a bound.
	confidenceDeviations = 1.0
	// targetFactor is the ratio to the average utilization down to which an overloaded server
	// gives keys away, and up to which other servers receive them.
	targetFactor = 1.1
	// maxMovingFraction is the fraction of a service's servers that may have keys being
	// revoked because of load at the same time.
	maxMovingFraction = 0.34
	// maxRevocations is the number of ranges that are revoked from a server at one heartbeat.
	maxRevocations = 6
	// capacityWait is how long free keys wait for a server with spare capacity before any
	// server receives them.
	capacityWait = 200 * time.Millisecond
	// forcedFraction bounds, as a fraction of a server's capacity, the load of a range that the
	// server receives although no server has spare capacity for it. A single key may exceed it.
	forcedFraction = 0.15
	// hotKeyFraction is the fraction of a server's capacity from which a single key counts as
	// hot. A hot key is assigned to one of the fastest servers.
	hotKeyFraction = 0.5
	// hotKeyWait is how long a hot key waits for one of the fastest servers.
	hotKeyWait = time.Second
	// fasterFactor is the ratio of capacities from which a hot key moves to the faster server.
	fasterFactor = 1.3
	// idleTargetFactor is the ratio to the average utilization up to which servers receive
	// keys of an idle service. It is just above 1, so that the last servers receive keys, too.
	idleTargetFactor = 1.01
	// emptyServerShare is the fraction of its load that a server gives to a server without
	// keys. More follows once servers are busy.
	emptyServerShare = 0.5
	// idleCapacityWait is capacityWait for keys of an idle service. It lets every server send
	// its next heartbeat first.
	idleCapacityWait = 900 * time.Millisecond
	// emptyServerTimeout is the time without heartbeats after which no keys are reserved for a
	// server without keys.
	emptyServerTimeout = 2 * time.Second
	// donorMinFactor is the ratio to the average utilization from which a server gives keys to
	// servers without keys.
	donorMinFactor = 0.7
	// minMoveFraction is the least load to move, as a fraction of the load that the server would
	// have at the average utilization. Moving less is not worth the time for which the keys are
	// unavailable.
	minMoveFraction = 0.1
)
