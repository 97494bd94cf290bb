// Package ownership decides which backend server owns each slot of a service.
//
// State is the replicated part: a deterministic state machine that applies the commands of one
// region's log. It guarantees:
//
//   - A slot has at most one owner. A grant is given only while the slot is vacant.
//   - A slot becomes vacant only when its grant has been released (Released) or the owner's
//     session has ended (EndSessions).
//   - The fencing token of a grant is greater than all earlier tokens of the slot, across all
//     regions that have been the slot's home.
//   - A session that has ended never owns a slot again; its server must register anew.
//
// Coordinator runs on the region's leader. It tracks the leases of sessions and returns the
// commands to propose. It must be called only while the leadership is confirmed. It proposes
// EndSessions only when no request can still run under the session's grants. That is when its lease
// has expired. For a server of a keyed service that does not check fencing tokens, each entry host
// must in addition have confirmed that it has no request running there, or the host's lease and the
// longest request deadline must have passed.
//
// View is the read side: the table by which entry hosts route, built from a snapshot and the
// changes that follow it. Its version never decreases.
//
// The package does no I/O and reads no clock. Callers pass the time as a duration since an
// arbitrary origin of the host's monotonic clock.
package ownership
