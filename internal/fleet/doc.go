// Package fleet implements a control host for gateways. It keeps the route configuration in a
// replicated log; the leader grants key ranges to backend servers and publishes servers and key
// owners to the gateways.
//
// All control hosts form one replication group. The hosts listed as seeds bootstrap it when the
// system starts for the first time; any other host, and any host with a new disk, requests to join.
// Backend servers and operators may call any control host, which forwards the call to the leader.
//
// The log holds the configuration, the longest lease that grants may carry, the recorded grants,
// and the servers that announced that they leave. The current table of servers and owners is held
// only in the leader's memory: a new leader rebuilds it from the recorded grants and the servers'
// heartbeats.
//
// A configuration is acknowledged once no gateway can use an older one for longer than a bound: see
// package rollout. Gateways are sent what they lack of it.
//
// Lock order: Host.mu, peers.mu, fleetState.mu. No lock is held during a call to another host.
package fleet
