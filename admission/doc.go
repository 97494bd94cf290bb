// Package admission is the queue in front of one backend server.
//
// Contract: lookups, orders and uploads wait in separate bounded queues and
// share the server's slots. The number of requests started and not yet finished
// never exceeds the limit, and uploads never hold more than their share of it.
// A request that cannot finish before its deadline is refused at once. Within a
// class, customers are served by start-time fair queueing; a full queue drops
// the newest request of the customer that holds most of it.
//
// The limit adapts (additive increase, multiplicative decrease), because an
// entry host knows only roughly how many other hosts send to the same server.
//
// The package is pure: time is a duration since an arbitrary monotonic origin.
// A Queue is not safe for concurrent use.
package admission
