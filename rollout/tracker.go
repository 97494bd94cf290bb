package rollout

import (
	"slices"
	"time"

	"github.com/galenalug/galenalug/lease"
)

// Options are the parameters of a Tracker.
type Options struct {
	Lease time.Duration // how long a replica may use a version after it asked whether it is the newest
	Bound time.Duration // time after an acknowledgement from which no replica uses an older version
}

// replica is what the tracker knows of one replica.
type replica struct {
	version  uint64        // the replica uses this version or a newer one
	leaseEnd time.Duration // the replica uses no version after this without a new lease
}

// Tracker is the leader's record of the versions that replicas may use. It is not safe for
// concurrent use.
type Tracker struct {
	options      Options
	replicas     map[string]replica // by name
	inheritedEnd time.Duration      // end of all leases granted before Inherit was called
}

// NewTracker returns a tracker without replicas.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, replicas: map[string]replica{}}
}

// Inherit records that an earlier tracker may have granted leases until now, to replicas that this
// tracker doesn't know.
func (t *Tracker) Inherit(now time.Duration) {
	t.inheritedEnd = now + lease.WithDrift(t.options.Lease)
}

// Report records that a replica uses a version, and returns the length of the lease that it is
// granted, counted from when it sent the report. The lease is 0 unless the version is the newest
// committed one. Two replicas must not report under one name at the same time.
func (t *Tracker) Report(now time.Duration, name string, version, newest uint64) time.Duration {
	t.Observe(name, version)
	if version != newest {
		return 0
	}
	return t.Grant(now, name)
}

// Observe records that a replica uses a version. It gets no lease by that.
func (t *Tracker) Observe(name string, version uint64) {
	r := t.replicas[name]
	r.version = max(r.version, version)
	t.replicas[name] = r
}

// Grant records that a replica, whose version is the newest committed one, is granted a lease, and returns its length.
// Callers that track several versions grant a lease only if all are the newest.
func (t *Tracker) Grant(now time.Duration, name string) time.Duration {
	r := t.replicas[name]
	r.leaseEnd = now + lease.WithDrift(t.options.Lease)
	t.replicas[name] = r
	return t.options.Lease
}

// Remove records that a replica has given up its lease and uses no version any more.
func (t *Tracker) Remove(name string) { delete(t.replicas, name) }

// AcknowledgeAt returns the earliest time at which a committed version may be acknowledged, by what
// is known at now. Once the version is committed, reports can only make this time earlier, because no
// lease is granted on an older version any more.
func (t *Tracker) AcknowledgeAt(now time.Duration, version uint64) time.Duration {
	end := t.inheritedEnd
	for name, r := range t.replicas {
		switch {
		case r.leaseEnd <= now:
			delete(t.replicas, name)
		case r.version < version:
			end = max(end, r.leaseEnd)
		}
	}
	return end - t.options.Bound
}

// Behind returns the names of the replicas that may use an older version, in order.
func (t *Tracker) Behind(now time.Duration, version uint64) []string {
	var names []string
	for name, r := range t.replicas {
		if r.version < version && now < r.leaseEnd {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
