// Package replog is a replicated log: a consensus core in the manner of Raft
// (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
// Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory and
// Practice", Stanford 2014, cited below as the thesis).
//
// A Node is a pure state machine: inputs go in by Tick, Step, Propose,
// ProposeMember and ReadIndex; writes, messages and committed entries come out
// by Ready. It does no I/O, reads no clock and starts no goroutine. Time is a
// time.Duration since an origin of the member's own choice; no two members'
// clocks are compared.
//
// # Contract
//
//   - Messages of a Ready are sent only after its writes are synced. Messages
//     may be lost, repeated, delayed and reordered, but not altered.
//   - An entry that Ready returned as committed is committed for good, and each
//     member returns the same entries in the same order.
//   - Elections take a pre-vote (thesis 9.6), so that a member that was cut off
//     does not disturb the others when it returns. A leader steps down when no
//     quorum answered it within the quorum timeout (check quorum, 6.2).
//   - Leads is a lease (6.4.1): while it holds, no other member can be elected.
//     Members refuse votes within the election timeout after they heard from a
//     leader or started; the leader counts from when it sent what a quorum
//     answered, less the drift of both clocks.
//   - ReadIndex is linearizable without any assumption about clocks (6.4).
//   - Members change one at a time (4.1 to 4.3). An ID is of a disk, not of a
//     host: a host that lost its disk joins under a new ID, as a learner, and
//     counts to a quorum only when it is promoted, once caught up. Votes and
//     acknowledgements from IDs that are not members are ignored. An ID of a
//     lost disk must never be used again.
package replog
