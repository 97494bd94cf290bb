// Package ledger records requests that must not be repeated, so that each runs at most once. It is
// a deterministic state machine: a replicated log applies commands to it, and all replicas reach
// the same state.
//
// # Contract
//
// A run is identified by its service, its customer and the caller's idempotency key. Before an
// entry host sends the first byte of a request, it commits a Begin. Only the reply StateNew permits
// it to send, once, and not after the Begin's deadline has passed, counted from before the Begin
// was proposed. Every other reply gives the state of the attempt that is already recorded.
//
// A Begin carries a nonce that is unique to the attempt. A sender that does not know the outcome of
// its proposal may propose the Begin again with the same nonce: the reply is StateNew with the same
// attempt number while the attempt is running.
//
// An attempt that is not finished within its deadline plus the slack changes to StateUnknown. A
// Finish with a response still replaces that state. A Finish with StateNotRun does not, because a
// resend may already have been told that the outcome is unknown.
//
// A record is kept for at least the window after its last change. A request that is sent again with
// the same idempotency key after the window may run again.
//
// # Time
//
// Commands carry the proposing leader's time in milliseconds of the ledger's own logical time,
// which never goes back and does not depend on a wall clock; see Clock. Records expire when
// commands are applied; an idle leader proposes Tick.
//
// # Concurrency
//
// A Ledger is not safe for concurrent use. Only the goroutine that applies the replicated log may
// use it.
package ledger
