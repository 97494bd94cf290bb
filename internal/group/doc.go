// Package group runs one member of a replicated log. A single goroutine, the loop, owns the
// replog.Node and the Applier. It writes all queued proposals as one batch with one sync.
//
// Writes run on another goroutine, one at a time. The loop goes on meanwhile: it sends heartbeats and
// acknowledges what is durable by then, so that a slow disk does not look like a lost host. A leader
// whose write takes longer than the election timeout transfers its leadership to a member that has
// written the same entries, if there is one.
//
// # Contract
//
//   - Applier and OnLeader are called only from the loop, in log order, except that Start may call
//     Restore before the loop starts. They must not call the Runner, except Leads, Leader and
//     Status.
//   - OnLeader(true, term) is called once the Applier holds everything committed before the
//     election. Leads returns true only after that call. OnLeader(false, term) is called before
//     sending any message that could let another member win an election in a planned leadership
//     transfer.
//   - Propose returns the Applier's result for this proposal, or an error that says whether the
//     proposal may be committed.
//   - After a storage error the member no longer leads, votes or acknowledges, and Status reports
//     the error. Recovery takes a new Start, or a new disk under a new ID.
package group
