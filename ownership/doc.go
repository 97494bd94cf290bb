// Package ownership decides which backend server owns each slot of a service.
//
// State is the replicated part: a deterministic state machine over the commands
// of one region's log. Its contract:
//
//   - A slot has at most one owner. It gets a new one only while it is vacant.
//   - It becomes vacant only when its owner has given the grant back (Released)
//     or the owner's session has ended (EndSessions).
//   - A grant's fencing token is greater than every earlier token of its slot,
//     over all regions that were ever the slot's home.
//   - A session that ended never owns anything again; its server registers anew.
//
// Coordinator is the leader's part: it keeps the sessions' leases, and says which
// commands to propose. It must be asked only while the leader provably leads. It
// proposes EndSessions only when no request can still run under the session's
// grants: for a server that checks tokens, once its lease is over; for one that
// does not, once besides that every entry host has stopped sending and the
// longest request deadline has passed.
//
// View is the reader's part: the table that entry hosts route by, built from a
// snapshot and the changes after it. Its version never goes back.
//
// Everything is pure: time is passed in as a duration since an arbitrary origin
// of the host's monotonic clock, and nothing does I/O.
package ownership
