// Package keyrange decides which backend server owns which keys of a service
// whose keys are numbers, by leases that ride on the servers' own heartbeats.
//
// A Coordinator runs on the leader of the control hosts. It learns of servers
// only from their heartbeats, grants ranges of keys in the replies, and moves
// ranges between servers as their load asks. It is pure: time is a duration
// since an origin of the caller's choice, on a clock that also counts suspended
// time. It is not safe for concurrent use.
//
// # Contract
//
//   - At most one server holds a key. A range is granted anew only after its
//     holder gave it back, after the holder's process provably ended (another
//     incarnation took its ID or address), or after every lease that was ever
//     given on it is over by the slowest clock allowed.
//   - Fencing tokens rise: the term of the leader is their upper part. Terms
//     never repeat, so tokens don't either, whatever happens to disks.
//   - A grant is recorded durably before its server hears of it (Granted, Record).
//     A Coordinator of a new term starts from the record: a key is granted anew
//     only after its recorded holder reported twice without it, or ended, or
//     after the leases of earlier terms are over.
//   - A heartbeat that is older than one already seen changes nothing.
//
// # Balance
//
// Load moves keys: a server that has surely, beyond chance, more than its part of
// the load gives ranges away at its heartbeat, and servers with room take them at
// theirs. While nobody asks for a service its keys are divided evenly, in several
// ranges a server that lie apart.
//
// Fencing tokens and leases follow C. Gray and D. Cheriton, "Leases", SOSP 1989,
// and M. Burrows, "The Chubby lock service", OSDI 2006.
package keyrange
