// Package routes holds the configuration of an entry host that routes by host
// and path: routes, services, and the limits of clients.
//
// Store is the state machine that accepts whole configurations, each built on
// the one before it. Table selects the route of a request. Both are pure: they
// do no I/O, read no clock and take no locks.
//
// # Contract
//
//   - At most one configuration is accepted on top of a version.
//   - A configuration that was accepted once is accepted again, with the same
//     content and version, however many came after it. Records of the oldest
//     are dropped beyond MaxHistory.
//   - An invalid configuration is never in force.
package routes
