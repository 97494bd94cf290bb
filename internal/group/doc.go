// Package group runs one member of one replicated log: one goroutine owns the
// replog.Node, the storage.Store and the Applier, and writes all proposals that
// wait as one batch with one sync.
//
// # Contract
//
//   - Applier and OnLeader are called from that goroutine only, in log order,
//     and must not call the Runner, except Leads, Leader and Status.
//   - OnLeader(true, term) comes once the Applier holds everything committed
//     before the election; Leads may return true only after it. OnLeader(false,
//     term) comes before any message that could let another member be elected
//     by a planned transfer.
//   - Propose returns the Applier's result of exactly this proposal, or an error
//     that says whether it may be committed.
//   - A storage error makes the member stop taking part: it no longer leads,
//     votes or acknowledges; Status reports the error. Only a new Start, or a
//     new disk under a new ID, helps.
package group
