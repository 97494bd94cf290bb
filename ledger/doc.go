// Package ledger records requests that may not be repeated, so that each runs at
// most once. It is a deterministic state machine: a replicated log applies
// commands to it, and every replica reaches the same state.
//
// # Contract
//
// A run is identified by its service, its customer and the caller's idempotency
// key. Before the first byte of a request goes out, its sender commits a Begin.
// Only a Begin answered with StateNew gives the right to send, once; the sender
// must not send after the Begin's deadline has passed, counted from before it
// proposed the Begin. Every other answer says what became of the first try.
//
// A Begin carries a nonce that is unique to the try. A Begin proposed again with
// the same nonce, because the outcome of the first proposal is not known, is
// answered with StateNew and the same attempt number for as long as the try runs.
//
// A try that does not finish within its deadline and the slack turns to
// StateUnknown. A finish with an answer still replaces it; a finish as not run
// does not, because a resend may have been told by then that the outcome is
// unknown.
//
// A record is kept for the window after its last change, at least. A caller that
// sends the same idempotency key again after the window may have its request run
// again.
//
// # Time
//
// Commands carry the proposing leader's time in milliseconds of the ledger's own
// logical time, which never goes back and never reads a wall clock; see Clock.
// Records expire as commands arrive; an idle leader proposes Tick.
//
// # Concurrency
//
// A Ledger is not safe for concurrent use. The replicated log's apply loop owns
// it.
package ledger
