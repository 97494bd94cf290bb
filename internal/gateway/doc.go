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
// Lock order: backends.mu, then view.mu, or clientConn.mu, then view.mu, or backend.mu and then meanServiceTime.mu. view.mu may be held
// while the lock of its trace.History is acquired. No other two locks of this package are held
// together, and no lock is held during a network operation.
package gateway
