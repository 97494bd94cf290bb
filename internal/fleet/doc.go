// Package fleet is a control host of gateways: it keeps the configuration of
// routes in a replicated log, and its leader grants key ranges to backend
// servers and tells gateways of servers and owners.
//
// All control hosts form one log group. The hosts named as seeds found it at the
// first start of the whole system; every other host, and every host with a new
// disk, asks to join. Backend servers and operators may call any host: it passes
// the call on to the leader.
//
// The log holds the configuration, the lease that was ever granted, and servers
// that said that they leave. Owners and servers are kept in the leader's memory
// only: a new leader learns them from the servers' heartbeats.
//
// Lock order: Host.mu, then peers.mu, then fleetState.mu. None is held over a call
// to another host.
package fleet
