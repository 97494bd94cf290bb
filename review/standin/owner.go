package main

import (
	"fmt"
	"time"
)

// maxSharedTime is the bound of the rule OWNER: two servers that are up hold the same keys for over half a second.
const maxSharedTime = 500 * time.Millisecond

// sharedKeys returns the ranges that two servers held at the same time for longer than the rule allows.
func (r *run) sharedKeys() []string {
	var all []period
	for _, s := range r.servers {
		all = append(all, s.allPeriods()...)
	}
	var breaks []string
	for i, a := range all {
		for _, b := range all[i+1:] {
			from, to := max(a.from, b.from), min(a.to, b.to)
			start, end := later(a.since, b.since), earlier(a.until, b.until)
			if a.server == b.server || from > to || end.Sub(start) <= maxSharedTime {
				continue
			}
			breaks = append(breaks, fmt.Sprintf(
				"OWNER: keys %d to %d: %s held them (fence %d) from %s to %s, and %s (fence %d) from %s to %s: both for %d ms",
				from, to, a.server, a.fence, r.record.at(a.since), r.record.at(a.until),
				b.server, b.fence, r.record.at(b.since), r.record.at(b.until), end.Sub(start).Milliseconds()))
		}
	}
	return breaks
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// allKeysHeld reports whether the servers of a service hold all keys.
func (r *run) allKeysHeld(serviceName string) bool {
	count := int64(0)
	for _, s := range r.servers {
		if s.service == serviceName {
			count += s.keysHeld()
		}
	}
	return count == 1<<16
}
