// Package warmup decides which backend servers are cold, and limits the requests that they get while they are.
//
// A server that has just started takes only a few requests a second, and may crash above that. The leader has
// a State for each server, from its heartbeats and from what suggests that it has started again. A gateway has
// an Evidence for each server: what it has seen itself, and the leader may not know yet. While either says that
// the server is cold, each request to it takes a token. The leader's Issuer gives tokens at most at a part of
// the rate that a cold server takes, and gateways without a leader use another part: see Holder. So the limit
// holds although gateways that are cut off and the leader don't know of each other.
// A Countdown limits nothing: it tells how long a server is slower since it warms up.
//
// The package does no I/O and reads no clock: times are durations since an origin of the caller's choice, on a
// clock that includes suspensions.
package warmup
