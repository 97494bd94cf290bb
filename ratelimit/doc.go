// Package ratelimit shares the rate limit of a backend server among gateways that don't see each
// other's requests.
//
// The leader has an Issuer with a token bucket for each limited server (Turner, "New directions in
// communications", IEEE Communications Magazine 24(10), 1986). A gateway has a Holder for each such
// server: a request takes a token, and the gateway asks the leader for as many tokens as it has
// requests waiting. Tokens that are not used within TokenLifetime expire. So the gateways together
// keep the limit whatever their number and however their requests are distributed, and a limit
// below one request a second for each gateway still lets requests through wherever they arrive.
//
// A gateway without a leader spends an equal part of the limit, from the moment of the loss on.
//
// The package does no I/O and reads no clock: times are durations since an origin of the caller's
// choice, on a clock that includes suspensions.
package ratelimit
