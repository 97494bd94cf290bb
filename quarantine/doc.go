// Package quarantine finds requests that crash the backend servers that run them (queries of death), and
// keeps them from further servers.
//
// Each gateway reports the requests that it had at a server when the server's process ended, and the
// answers to requests that are under suspicion. The leader's Tracker combines the reports and tells all
// gateways. Requests are known by a Fingerprint of all that identifies them.
//
// Each crash counts against a request, answers count for it; see crashPoints. A request with the evidence of
// three crashes that no answer speaks against is quarantined. Requests that happened to be at the same servers
// are protected: answers clear them; crashes at about the same time count once; a crash counts only for
// quarantined requests if one of them was there; and requests that the evidence can't tell apart are quarantined
// only for a short time.
//
// Until it is answered or quarantined, a request that was at a crash is sent to one server at a time, by
// permit of the leader, and not together with others that were at as many crashes.
//
// All state is bounded. The leader's is lost with it. Each gateway therefore keeps what it has seen and what
// leaders have told it, as a Gateway, and reports all of it first to each new leader, which joins the reports:
// crashes are known by their incarnation, and what was cleared later counts no more. The package does no I/O and
// reads no clock: times are durations since an arbitrary origin, and messages carry ages.
package quarantine
