// Package keyrange assigns ranges of the numeric keys of a service to its backend servers,
// under leases that are renewed by the servers' heartbeats.
//
// A Coordinator runs on the leader of the control hosts. It learns about servers only from
// their heartbeats, grants key ranges in the replies, and moves ranges between servers to
// balance their load. It does no I/O and reads no clock: the caller passes the time as a
// duration since a fixed origin, from a clock that keeps counting while the host is suspended.
// It is not safe for concurrent use.
//
// # Guarantees
//
//   - At most one server holds a key. A range is granted again only after its holder released
//     it, after the holder's process has provably ended (hasEnded decides it: another process
//     uses its ID or address), or after every lease on it has expired even by the slowest
//     permitted clock.
//   - Fencing tokens increase. The leader's term is their upper part; terms are never reused, so
//     tokens are unique even if a disk loses data.
//   - A grant is recorded durably before it is sent to its server (TakePendingGrants, Record).
//     The Coordinator of a new term starts from the record: a key is granted again only after
//     its recorded holder sent two heartbeats without it, or ended, or after the leases of
//     earlier terms have expired.
//   - A heartbeat older than one already processed has no effect.
//
// # Balancing
//
// A server whose load exceeds its share by more than random fluctuation is told to release
// ranges in the reply to its heartbeat; servers with spare capacity receive them in the replies
// to theirs. While a service has no load, its keys are divided evenly, in several separate
// ranges per server.
//
// Fencing tokens and leases follow C. Gray and D. Cheriton, "Leases", SOSP 1989, and M. Burrows,
// "The Chubby lock service", OSDI 2006.
package keyrange
