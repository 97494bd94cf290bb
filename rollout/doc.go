// Package rollout decides when a new version of replicated state may be acknowledged: from a fixed
// bound after the acknowledgement on, no replica may use an older version.
//
// A replica uses its version only while it holds a lease. It asks the leader regularly whether its
// version is the newest one, and if so it may use it for the length of the lease, counted from when
// it asked (package lease). The leader's Tracker records the leases and the version that each
// replica reported with them. A version may be acknowledged as soon as every replica either
// reported it, or has a lease that ends within the bound. A replica that can't be reached therefore
// delays an acknowledgement by at most the lease less the bound, and it stops using the old version
// by itself.
//
// The guarantee depends on clock rates only, not on message delays or on which replicas are
// connected. After a change of leader, a new Tracker that inherits the leases of its predecessors
// keeps it. The scheme is that of leased cache entries in Gray and Cheriton, "Leases" (SOSP 1989),
// with a bounded instead of no delay between a write and the end of the old entries.
//
// The package does no I/O and reads no clock: times are durations since an origin of the caller's
// choice, on a clock that includes suspensions.
package rollout
