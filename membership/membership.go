package membership

import (
	"cmp"
	"slices"
)

// GroupGlobal is the name of the group that serves all regions.
const GroupGlobal = "global"

// Sizes of groups, in members.
const (
	smallGroup = 3
	largeGroup = 5
)

// Host is one control host.
type Host struct {
	Name   string
	Region string
	Domain string // failure domain
}

// Group is a log group and the hosts that hold its log.
type Group struct {
	Name     string
	Voters   []string // voting members, in ascending order
	Learners []string // hosts that hold the log without a vote, in ascending order
}

// Replicas returns the hosts that hold the group's log, voting members first.
func (g Group) Replicas() []string { return slices.Concat(g.Voters, g.Learners) }

// Plan returns the groups of the given hosts: the global one, then one for each
// region that has a host, in ascending order.
func Plan(hosts []Host) []Group {
	sorted := slices.SortedFunc(slices.Values(hosts), compareHosts)
	groups := []Group{globalGroup(sorted)}
	for _, region := range Regions(sorted) {
		groups = append(groups, Group{Name: region, Voters: regionMembers(sorted, region)})
	}
	return groups
}

// Regions returns the regions that have a control host, in ascending order.
func Regions(hosts []Host) []string {
	var regions []string
	for _, host := range hosts {
		regions = append(regions, host.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// GroupOf returns the group that serves a region: its own, or the first region's
// for one without a control host.
func GroupOf(hosts []Host, region string) string {
	regions := Regions(hosts)
	if slices.Contains(regions, region) || len(regions) == 0 {
		return region
	}
	return regions[0]
}

func compareHosts(a, b Host) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
}

// globalGroup takes all hosts. If their number is even, one of the fullest failure
// domain has no vote: an even group tolerates no more losses than one less, but
// every control host needs the global state.
func globalGroup(hosts []Host) Group {
	voters := names(hosts)
	if len(hosts)%2 == 0 {
		voters = names(spread(hosts, len(hosts)-1, nil))
	}
	learners := filter(hosts, func(h Host) bool { return !slices.Contains(voters, h.Name) })
	return Group{Name: GroupGlobal, Voters: voters, Learners: names(learners)}
}

// regionMembers takes hosts of the region, and witnesses of other regions so that
// the group stands in at least three failure domains.
func regionMembers(hosts []Host, region string) []string {
	home := filter(hosts, func(h Host) bool { return h.Region == region })
	others := filter(hosts, func(h Host) bool { return h.Region != region })
	size := smallGroup
	if len(home) >= 3 && len(hosts) >= largeGroup {
		size = largeGroup
	}
	inside := min(len(home), size/2+1)
	if domains(home) >= smallGroup || len(others) == 0 {
		inside = min(len(home), size)
	}
	members := spread(home, inside, nil)
	members = append(members, spread(others, size-len(members), members)...)
	if len(members)%2 == 0 {
		members = members[:len(members)-1]
	}
	return names(members)
}

// spread picks up to count hosts, each time one of the failure domain with the
// fewest members so far.
func spread(hosts []Host, count int, members []Host) []Host {
	used := map[string]int{}
	for _, member := range members {
		used[member.Domain]++
	}
	left := slices.Clone(hosts)
	var picked []Host
	for len(picked) < count && len(left) > 0 {
		best := 0
		for i, host := range left {
			if used[host.Domain] < used[left[best].Domain] {
				best = i
			}
		}
		used[left[best].Domain]++
		picked = append(picked, left[best])
		left = slices.Delete(left, best, best+1)
	}
	return picked
}

func filter(hosts []Host, keep func(Host) bool) []Host {
	var kept []Host
	for _, host := range hosts {
		if keep(host) {
			kept = append(kept, host)
		}
	}
	return kept
}

func domains(hosts []Host) int {
	seen := map[string]bool{}
	for _, host := range hosts {
		seen[host.Domain] = true
	}
	return len(seen)
}

func names(hosts []Host) []string {
	var all []string
	for _, host := range hosts {
		all = append(all, host.Name)
	}
	slices.Sort(all)
	return all
}
