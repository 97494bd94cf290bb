// Package health detects backend servers that have failed although they still send heartbeats.
//
// A Detector evaluates what entry hosts observed of each server's session since their previous
// report, and the servers' own heartbeats. It guarantees that:
//
//   - A session is Failed only if hosts in at least two failure domains each saw an unbroken series
//     of failed requests, or of failed probes, over a period of time. The reports of a single host,
//     true or not, never make a session Failed.
//   - A server that answers or refuses some of a host's requests has not failed for that host,
//     however many others time out: it is overloaded.
//   - A host for which most servers seem to have failed is not trusted.
//   - Observations of hosts in another region count only while no host of the server's own region
//     gets responses.
//   - At most a fraction of a service's capacity is withheld because of evidence, and nothing while
//     most of the service seems to have failed.
//   - A server that failed and comes back under the same name or address gets slots only after it
//     has answered probes of several hosts over a probation period, which grows with each failure.
//     Servers in probation count towards the same limit on withheld capacity.
//   - A Failed session is no longer renewed, and that is all: its lease and the wait for running
//     requests are not shortened.
//
// All state is bounded and in memory. A new leader starts without any, which only delays detection.
// The package does no I/O and reads no clock: times are durations since an arbitrary origin of the
// host's monotonic clock.
package health
