package health

import (
	"cmp"
	"slices"
	"time"
)

// Weights of failures. One lost lease alone brings no quarantine, so that a crash
// and a restart cost no more than the restart.
const (
	lostStrikes     = 1
	evidenceStrikes = 2
	freeStrikes     = 1
)

// record is the memory of one server's failures, by its name.
type record struct {
	service  string
	address  string
	capacity float64
	strikes  int
	at       time.Duration // of the latest failure
	cleared  bool          // whether its probation is over
}

// strike counts a failure of a server.
func (j *Detector) strike(now time.Duration, server Server, strikes int) {
	r := j.records[server.Name]
	if r == nil {
		j.makeRoom()
		r = &record{}
		j.records[server.Name] = r
	}
	r.service, r.address, r.capacity = server.Service, server.Address, server.Capacity
	r.strikes += strikes
	r.at = now
	r.cleared = r.strikes <= freeStrikes
}

// makeRoom forgets the record whose last failure is the longest ago.
func (j *Detector) makeRoom() {
	if len(j.records) < maxRecords {
		return
	}
	oldest := ""
	for name, r := range j.records {
		other := j.records[oldest]
		if other == nil || cmp.Or(cmp.Compare(r.at, other.at), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	delete(j.records, oldest)
}

// forget drops the records of servers that did not fail for long. One that never
// came through its probation is kept while it is there.
func (j *Detector) forget(now time.Duration) {
	present := map[string]bool{}
	for _, w := range j.sessions {
		present[w.server.Name] = true
	}
	for name, r := range j.records {
		if now-r.at > j.settings.FailureRetention && (r.cleared || !present[name]) {
			delete(j.records, name)
		}
	}
}

// probation returns the time over which probes must be answered.
func (j *Detector) probation(r *record) time.Duration {
	length := j.settings.Probation
	for range r.strikes - evidenceStrikes {
		if length >= j.settings.MaxProbation {
			break
		}
		length *= 2
	}
	return min(length, j.settings.MaxProbation)
}

// recordOf returns the uncleared record of a server's name or address, nil for
// none.
func (j *Detector) recordOf(server Server) *record {
	if r := j.records[server.Name]; r != nil && !r.cleared {
		return r
	}
	for _, r := range j.records {
		if r.address == server.Address && !r.cleared {
			return r
		}
	}
	return nil
}

// quarantine finds the sessions that get no slots yet. One that may have some is
// not put back. The servers that failed last
// come first; others get slots when the bound is reached, as after a loss of
// power everywhere.
func (j *Detector) quarantine(now time.Duration) {
	type candidate struct {
		watched *watched
		record  *record
	}
	var candidates []candidate
	for _, w := range j.sorted() {
		w.quarantined = false
		r := j.recordOf(w.server)
		switch {
		case r == nil || w.served:
		case j.proven(w, r):
			r.cleared = true
		default:
			candidates = append(candidates, candidate{w, r})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.record.at, a.record.at) })
	fleets := j.fleets(now)
	for _, c := range candidates {
		server := c.watched.server
		f := fleets[server.Service]
		if f.mayWithhold(server.Name, j.settings.MaxWithheldFraction) {
			c.watched.quarantined = true
			f.withhold(server.Name)
		}
	}
	for _, w := range j.sessions {
		w.served = w.served || !w.quarantined
	}
}

// proven reports whether several hosts' probes of the session were answered
// throughout the probation.
func (j *Detector) proven(w *watched, r *record) bool {
	domains := map[string]bool{}
	hosts := 0
	for _, s := range w.sights {
		if s.probeAnswered.count > 0 && s.probeAnswered.last-s.probeAnswered.first >= j.probation(r) {
			hosts++
			domains[s.host.Domain] = true
		}
	}
	return hosts >= min(minWitnesses, max(1, len(j.hosts))) && len(domains) >= min(minWitnesses, j.domains())
}

// domains returns the number of failure domains with entry hosts, at least 1.
func (j *Detector) domains() int {
	names := map[string]bool{}
	for _, host := range j.hosts {
		names[host.host.Domain] = true
	}
	return max(1, len(names))
}
