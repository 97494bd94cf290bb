// Package replog implements a replicated log: the consensus core of Raft
// (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
// Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory and
// Practice", Stanford 2014, cited below as the thesis).
//
// A Node is a deterministic state machine. Its inputs are calls of Tick, Step,
// Propose, ProposeMember and ReadIndex; Ready returns the writes, messages and
// committed entries that result. A Node does no I/O, reads no clock and starts no
// goroutine. Times are time.Duration values since an origin that each member
// chooses for itself; clocks of different members are never compared.
//
// # Contract
//
//   - The caller calls Written only after the write of a Ready is complete, and synced
//     if MustSync is set. Ready withholds the messages that depend on a write until
//     then; a leader's appends do not (10.2.1). Messages may be lost, duplicated,
//     delayed and reordered, but not altered.
//   - An entry that Ready returned as committed is never rolled back, and every
//     member returns the same committed entries in the same order.
//   - Elections start with a pre-vote (thesis 9.6), so that a member that was
//     partitioned does not disrupt the leader when it returns. A leader steps down
//     when no quorum answered it within the quorum timeout (check quorum, 6.2).
//   - A slow disk does not look like a lost member: during a write, a leader sends
//     heartbeats, and a follower acknowledges them up to what is durable. The time of a
//     write does not count towards an election timeout. A leader whose write takes longer
//     than the election timeout transfers its leadership to a member that has written the
//     same entries faster, if there is one.
//   - Leadership is protected by a lease (6.4.1), see HoldsLease: while it is valid,
//     no other member can be elected. Members refuse votes for one election timeout
//     after contact with a leader and after they start, except in a leadership
//     transfer, which ends the lease first. The lease runs from the time at which the
//     leader sent the messages that a quorum acknowledged, and is shortened by the
//     drift of both clocks.
//   - ReadIndex is linearizable without any assumption about clocks (6.4).
//   - Membership changes by one member at a time (4.1 to 4.3). An ID identifies a
//     disk, not a host: a host that lost its disk joins under a new ID as a learner
//     and counts towards a quorum only once it has caught up and was promoted. Votes
//     and acknowledgements from IDs that are not members are ignored. The ID of a
//     lost disk must never be reused.
package replog
