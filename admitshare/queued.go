package admitshare

// updateQueued decides which services are queued at the leader: those of which a group that may not use all regions needs
// most of the slots there. Requests of other groups can go to servers elsewhere.
func (p *Planner) updateQueued(groups []Group, capacities []Capacity) {
	if !p.mayQueue {
		return
	}
	requests, scarce := map[string]float64{}, map[string]bool{}
	for _, group := range groups {
		requests[group.Service] += p.demand[group].requests
		if group.Regions != "" && p.utilization(group, capacities) >= p.queueThreshold(group.Service) {
			scarce[group.Service] = true
		}
	}
	clear(p.queued)
	for service := range scarce {
		if requests[service] <= maxQueuedPerSecond {
			p.queued[service] = true
		}
	}
}

// queueThreshold returns the utilization from which a service is queued.
func (p *Planner) queueThreshold(service string) float64 {
	if p.queued[service] {
		return queueUntil
	}
	return queueFrom
}

// utilization returns the part of the slots that a group may use that its demand keeps busy; 0 if there are none.
func (p *Planner) utilization(group Group, capacities []Capacity) float64 {
	slots := 0.0
	for _, c := range capacities {
		if c.Service == group.Service && group.Allows(c.Region) {
			slots += c.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return p.demand[group].work / slots
}
