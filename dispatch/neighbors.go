package dispatch

import "time"

const (
	// slowHostPercent is the time that work takes on a host, in percent of the usual, from which the host counts as slowed
	// down by its neighbors.
	slowHostPercent = 150
	// minSlowShare is the part of the load reports from slowed hosts from which servers are asked for their load before
	// a request is sent.
	minSlowShare = 0.05
	// shareWeight is the weight of a report in the average of that part.
	shareWeight = 0.02
	// probeSlack is the multiple of its expected work up to which the time until the latency target is too short for a
	// slowed host.
	probeSlack = 6
)

// Neighbors tells whether the hosts of a service are at times slowed down by other work that they run. It changes faster
// than reports with responses of other requests can tell. The zero value has seen no reports.
type Neighbors struct {
	slowShare float64 // decayed average
}

// Observe records a load report.
func (n *Neighbors) Observe(r Report) {
	if r.HostPercent == 0 {
		return
	}
	slow := 0.0
	if r.HostPercent >= slowHostPercent {
		slow = 1
	}
	n.slowShare += shareWeight * (slow - n.slowShare)
}

// ProbePays reports whether a request gains from asking two servers for their load before it is sent to one of them: a
// slowed host would make it miss its latency target.
func (n *Neighbors) ProbePays(work, untilTarget time.Duration) bool {
	return n.slowShare >= minSlowShare && untilTarget > work && untilTarget < probeSlack*work
}
