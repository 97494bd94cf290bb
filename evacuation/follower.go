package evacuation

import (
	"time"

	"github.com/galenalug/galenalug/lease"
)

// Follower is an entry host's copy of the set. Its zero value is that of a host that has not been sent one. It is not
// safe for concurrent use.
type Follower struct {
	revision uint64
	bound    time.Duration // 0 if evacuations are not offered
	domains  map[string]followed
}

// followed is an evacuated failure domain.
type followed struct {
	revision   uint64        // of the start
	ownersTill time.Duration // time until which owners of keys get the requests for them
}

// Revision returns the revision of the set in force.
func (f *Follower) Revision() uint64 { return f.revision }

// Offered reports whether evacuations are offered, so that a start may be committed at any time.
func (f *Follower) Offered() bool { return f.bound > 0 }

// Update puts a set into force, and reports whether it has changed. An older set than the one in force is ignored.
// confirmedAt is a time at which the set in force was the newest one; 0 if there is none.
func (f *Follower) Update(u Update, confirmedAt time.Duration) (changed bool) {
	if u.Set.Revision < f.revision {
		return false
	}
	f.bound = time.Duration(u.BoundMillis) * time.Millisecond
	if u.Set.Revision == f.revision {
		return false
	}
	ownersTill := time.Duration(0)
	if confirmedAt > 0 {
		drift := lease.WithDrift(f.bound) - f.bound
		ownersTill = confirmedAt + f.bound - drift
	}
	domains := make(map[string]followed, len(u.Set.Domains))
	for _, d := range u.Set.Domains {
		known := f.domains[d.Name]
		if known.revision != d.Revision {
			known = followed{revision: d.Revision, ownersTill: ownersTill}
		}
		domains[d.Name] = known
	}
	f.revision, f.domains = u.Set.Revision, domains
	return true
}

// EndedBy returns the failure domains that are evacuated and no longer will be once a set is in force.
func (f *Follower) EndedBy(set Set) []string {
	var ended []string
	for name := range f.domains {
		if _, evacuated := set.Find(name); !evacuated && set.Revision > f.revision {
			ended = append(ended, name)
		}
	}
	return ended
}

// Evacuated reports whether a failure domain is evacuated.
func (f *Follower) Evacuated(domain string) bool {
	_, evacuated := f.domains[domain]
	return evacuated
}

// Blocked reports whether a request that leaves at the given time may not go to a server of a failure domain. owner says
// whether the server owns the request's key.
func (f *Follower) Blocked(at time.Duration, domain string, owner bool) bool {
	d, evacuated := f.domains[domain]
	return evacuated && (!owner || at >= d.ownersTill)
}
