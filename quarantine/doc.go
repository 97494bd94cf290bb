// Package quarantine finds requests that crash the backend servers that run them (queries of death), and
// keeps them from further servers.
//
// Each gateway reports the requests that it had at a server when the server's process ended, and the
// answers to requests that are under suspicion. The leader's Tracker combines the reports and tells all
// gateways; each keeps what it was told in a Table. Requests are known by a Fingerprint of all that
// identifies them.
//
// A request is quarantined once quarantineCrashes servers have crashed with it while none has answered it.
// Requests that happened to be at the same servers are protected: any answer clears a request; crashes at
// about the same time count once; a crash counts only for quarantined requests if one of them was there; and
// requests that the evidence can't tell apart are quarantined only for a short time.
//
// Until it is answered or quarantined, a request that was at a crash is sent to one server at a time, by
// permit of the leader, and not together with others that were at as many crashes.
//
// All state is bounded. It is lost with the leader, except for the quarantined requests, which the gateways
// report to its successor. The package does no I/O and reads no clock: times are durations since an
// arbitrary origin.
package quarantine
