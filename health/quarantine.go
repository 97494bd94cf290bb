package health

import (
	"cmp"
	"slices"
	"time"
)

// Weights of failures. A single lost lease does not cause a quarantine, so that a crash costs no
// more than the time of the restart.
const (
	lostLeaseWeight       = 1
	detectedFailureWeight = 2
	toleratedWeight       = 1
)

// failureRecord holds the failures of one server name.
type failureRecord struct {
	service  string
	address  string
	capacity float64
	weight   int           // sum over its failures
	failedAt time.Duration // time of the latest failure
	cleared  bool          // no probation needed, or passed
}

// recordFailure adds a failure of the given weight to the record of a server.
func (d *Detector) recordFailure(now time.Duration, server Server, weight int) {
	r := d.records[server.Name]
	if r == nil {
		d.evictOldestRecord()
		r = &failureRecord{}
		d.records[server.Name] = r
	}
	r.service, r.address, r.capacity = server.Service, server.Address, server.Capacity
	r.weight += weight
	r.failedAt = now
	r.cleared = r.weight <= toleratedWeight
}

// evictOldestRecord deletes the record with the oldest latest failure if there are maxRecords.
func (d *Detector) evictOldestRecord() {
	if len(d.records) < maxRecords {
		return
	}
	oldest := ""
	for name, r := range d.records {
		previous := d.records[oldest]
		if previous == nil || cmp.Or(cmp.Compare(r.failedAt, previous.failedAt), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	delete(d.records, oldest)
}

// expireRecords deletes the records of servers without a failure during FailureRetention. The
// record of a server that has a session and has not passed its probation is kept.
func (d *Detector) expireRecords(now time.Duration) {
	present := map[string]bool{}
	for _, s := range d.sessions {
		present[s.server.Name] = true
	}
	for name, r := range d.records {
		if now-r.failedAt > d.settings.FailureRetention && (r.cleared || !present[name]) {
			delete(d.records, name)
		}
	}
}

// probation returns the time over which the probes of a server must be answered.
func (d *Detector) probation(r *failureRecord) time.Duration {
	length := d.settings.Probation
	for range r.weight - detectedFailureWeight {
		if length >= d.settings.MaxProbation {
			break
		}
		length *= 2
	}
	return min(length, d.settings.MaxProbation)
}

// pendingRecord returns the record of the server's name or address that requires a probation, or
// nil.
func (d *Detector) pendingRecord(server Server) *failureRecord {
	if r := d.records[server.Name]; r != nil && !r.cleared {
		return r
	}
	for _, r := range d.records {
		if r.address == server.Address && !r.cleared {
			return r
		}
	}
	return nil
}

// updateQuarantine determines the sessions that get no slots yet. A session that may already hold
// slots is not quarantined. Servers that failed most recently take precedence; when the limit on
// withheld capacity is reached, the others get slots, e.g. after a power failure of all servers.
func (d *Detector) updateQuarantine(now time.Duration) {
	type candidate struct {
		session *session
		record  *failureRecord
	}
	var candidates []candidate
	for _, s := range d.sorted() {
		s.quarantined = false
		r := d.pendingRecord(s.server)
		switch {
		case r == nil || s.mayHoldSlots:
		case d.passedProbation(s, r):
			r.cleared = true
		default:
			candidates = append(candidates, candidate{s, r})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.record.failedAt, a.record.failedAt) })
	capacities := d.capacities(now)
	for _, candidate := range candidates {
		server := candidate.session.server
		c := capacities[server.Service]
		if c.mayWithhold(server.Name, d.settings.MaxWithheldFraction) {
			candidate.session.quarantined = true
			c.withhold(server.Name)
		}
	}
	for _, s := range d.sessions {
		s.mayHoldSlots = s.mayHoldSlots || !s.quarantined
	}
}

// passedProbation reports whether the session answered the probes of several hosts throughout the
// probation.
func (d *Detector) passedProbation(s *session, r *failureRecord) bool {
	domains := map[string]bool{}
	hosts := 0
	for _, o := range s.observations {
		if o.probeAnswered.count > 0 && o.probeAnswered.last-o.probeAnswered.first >= d.probation(r) {
			hosts++
			domains[o.host.Domain] = true
		}
	}
	return hosts >= min(minObservers, max(1, len(d.hosts))) && len(domains) >= min(minObservers, d.numDomains())
}

// numDomains returns the number of failure domains that have entry hosts, at least 1.
func (d *Detector) numDomains() int {
	names := map[string]bool{}
	for _, host := range d.hosts {
		names[host.host.Domain] = true
	}
	return max(1, len(names))
}
