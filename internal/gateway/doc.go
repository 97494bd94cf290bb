// Package gateway is an entry host that routes by host and path: it takes
// clients' requests, selects a route, and forwards each request to a backend
// server of the route's service. A request of a service that is divided by key
// goes to the owner of its key and to nobody else.
//
// The view of servers, owners and routes comes from the leader of the control
// hosts, as one whole table and then its changes. Without a leader the gateway
// goes on with what it knows.
//
// Clients are served by net/http and not by hertz: a request's context must end
// when its client leaves while the response is awaited, an aborted body must
// not look complete, and an early response must be sent while the body is
// read. Requests to backend servers are written and read on connections of this
// package, one at a time on each: net/http's transport sends a request again on
// its own, which a request that may run once does not bear.
//
// Lock order: view.mu, then backends.mu, then backend.mu. None is held during a
// network operation.
package gateway
