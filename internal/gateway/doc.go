// Package gateway implements an entry host that routes by host and path. For each client request it
// selects a route and forwards the request to a backend server of the route's service. A request to
// a service that is partitioned by key goes only to the owner of its key.
//
// The gateway subscribes to the leader of the control hosts, which sends the full table of
// servers, owners and routes and then its changes. Without a leader the gateway continues with the
// last known table until its lease on the configuration expires: see package rollout.
//
// Clients are served by net/http rather than hertz because a request's context must be canceled
// when the client disconnects while the response is pending, a truncated body must be detectable,
// and an early response must be sent while the request body is still being read. Requests to
// backend servers use connections managed by this package, with one request in flight on each: the
// transport of net/http may retry a request on its own, which is not safe for a request that may
// run only once.
//
// net/http handles the requests of a connection one after the other. With the setting pipeline_depth, the
// connection (clientConn) starts those behind the current one that may run at the same time: see
// docs/design/pipelining.md.
//
// Lock order:
//
//   - backends.mu, then view.mu: sweep asks which servers to keep, tokenDemand and coldServers which are cold.
//   - clientConn.mu, then view.mu: the routes decide which pipelined requests run before their turn.
//   - backends.mu, then backend.mu, then one of meanServiceTime.mu, costs.mu and serviceState.mu. view.mu is not acquired
//     while backend.mu is held.
//
// view.mu may be held while the lock of one of its trace.Histories is acquired. No other two locks of this package are
// held together. No lock is held while a network operation may block; backend.mu and clientWatch.mu are held while a
// connection is closed.
package gateway
