// Package health judges from evidence which backend servers have failed while
// their heartbeats go on.
//
// Judge takes what entry hosts saw of each server's session since their last
// report, and the servers' own heartbeats. Its contract:
//
//   - A session is Failed only if hosts in two failure domains saw requests or
//     probes fail and none succeed, over a time. No single host's reports, true
//     or not, make a session Failed.
//   - A server that answers or refuses some of a host's requests has not failed
//     for that host, however many others time out: it is overloaded.
//   - A host to which most servers seem to have failed is not believed.
//   - What hosts of another region see counts only while no host of the server's
//     own region gets answers.
//   - At most a part of a service's capacity is withheld on evidence, and nothing
//     while most of the service seems to have failed.
//   - A server that failed comes back under the same name or address only after
//     probes of several hosts were answered over a time, which grows with each
//     failure. The same part of the capacity bounds these servers.
//   - A verdict only ever ends renewals of a lease. Nothing here shortens a wait.
//
// All state is bounded and in memory; a new leader starts without any, which only
// delays its verdicts. Everything is pure: time is passed in as a duration since
// an arbitrary origin of the host's monotonic clock.
package health
