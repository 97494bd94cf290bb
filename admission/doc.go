// Package admission implements the request queue in front of one backend server.
//
// Lookups, orders and uploads wait in separate bounded queues and share the server's slots. The
// queue guarantees that:
//
//   - The number of requests started and not yet finished never exceeds the limit, and uploads never
//     hold more than their share of it.
//   - A request that cannot finish before its deadline is refused immediately.
//   - Within a class, customers are served by start-time fair queueing. A full queue evicts the
//     newest request of the customer with the most queued requests.
//
// The limit adapts (additive increase, multiplicative decrease), because an entry host has only an
// estimate of the number of other hosts that send to the same server.
//
// The package does no I/O and reads no clock: times are durations since an arbitrary monotonic
// origin. A Queue is not safe for concurrent use.
package admission
