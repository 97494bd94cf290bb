package evacuation

import (
	"slices"
	"strings"
	"time"
)

// TransitTime is the time that a request needs to reach its server, besides the queueing on its entry host's own link.
// It covers links between regions of 40 ms with a lost packet.
const TransitTime = 400 * time.Millisecond

// Bound returns the least time from the commit of a start until no request may be sent, if none may arrive a given time
// after it. It is 0 if that leaves no time.
func Bound(evacuate time.Duration) time.Duration { return max(0, evacuate-TransitTime) }

// Find returns the entry of a failure domain, and whether it is evacuated.
func (s Set) Find(domain string) (Domain, bool) {
	i := slices.IndexFunc(s.Domains, func(d Domain) bool { return d.Name == domain })
	if i < 0 {
		return Domain{}, false
	}
	return s.Domains[i], true
}

// InForce reports whether a change asks for what is in force.
func (s Set) InForce(c Change) bool {
	_, evacuated := s.Find(c.Domain)
	return evacuated == c.Start
}

// revisionOf returns the revision at which a failure domain's evacuation was started, or that of the set if it is not
// evacuated.
func (s Set) revisionOf(domain string) uint64 {
	if d, evacuated := s.Find(domain); evacuated {
		return d.Revision
	}
	return s.Revision
}

// Apply returns the set after a change. The set that it is called on stays as it is.
func (s Set) Apply(c Change) Set {
	if s.InForce(c) {
		return s
	}
	next := Set{Revision: s.Revision + 1, Domains: slices.Clone(s.Domains), Ended: slices.Clone(s.Ended)}
	next.Ended = slices.DeleteFunc(next.Ended, func(e Ended) bool { return e.Name == c.Domain })
	if !c.Start {
		next.Domains = slices.DeleteFunc(next.Domains, func(d Domain) bool { return d.Name == c.Domain })
		next.Ended = append(next.Ended, Ended{Name: c.Domain, EndMillis: c.Millis})
		slices.SortFunc(next.Ended, func(a, b Ended) int { return strings.Compare(a.Name, b.Name) })
		return next
	}
	next.Domains = append(next.Domains, Domain{Name: c.Domain, Revision: next.Revision, StartMillis: c.Millis, StartedBy: c.By})
	slices.SortFunc(next.Domains, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// EndedSince returns the names of the failure domains whose evacuation has ended at the given time, Unix milliseconds, or
// later.
func (s Set) EndedSince(millis int64) []string {
	var names []string
	for _, e := range s.Ended {
		if e.EndMillis >= millis {
			names = append(names, e.Name)
		}
	}
	return names
}

// Names returns the names of the evacuated failure domains, in order.
func (s Set) Names() []string {
	names := make([]string, 0, len(s.Domains))
	for _, d := range s.Domains {
		names = append(names, d.Name)
	}
	return names
}
