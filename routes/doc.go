// Package routes holds the configuration of an entry host that routes by host and path: routes,
// services and client limits.
//
// Store is a state machine that accepts complete configurations, each based on a version. Table
// selects the route of a request. Neither does I/O, reads a clock or takes a lock.
//
// # Contract
//
//   - At most one configuration is accepted on top of a version.
//   - A Put that was accepted is accepted again if it is repeated with the same content and version,
//     even if later configurations have replaced it. This holds for the last MaxHistory accepted
//     configurations. "The same content" is what was sent, byte for byte: the Document, or the
//     Config of a Put without one.
//   - A Put that looks like one that an earlier release accepted, without a record of what was
//     sent, has OutcomeUnclear.
//   - An invalid configuration never takes effect.
package routes
