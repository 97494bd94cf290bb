package membership

import (
	"cmp"
	"slices"
)

// GroupGlobal is the name of the group that serves all regions.
const GroupGlobal = "global"

// Sizes of groups, in members.
const (
	smallGroupSize = 3
	largeGroupSize = 5
)

// Host is one control host.
type Host struct {
	Name   string
	Region string
	Domain string // failure domain
}

// Group is a log group and the names of the hosts that replicate its log.
type Group struct {
	Name     string
	Voters   []string // voting members, in ascending order
	Learners []string // non-voting members, in ascending order
}

// Replicas returns the hosts that replicate the group's log, voting members first.
func (g Group) Replicas() []string { return slices.Concat(g.Voters, g.Learners) }

// Plan assigns groups to the given hosts. It returns the global group first, then one group for
// each region that has a host, in ascending order.
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

// GroupOf returns the name of the group that serves a region: its own, or that of the first region
// if the region has no control host.
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

// globalGroup returns the global group, which includes all hosts because every control host needs
// the global state. If their number is even, a host of the failure domain with the most hosts is a
// learner, because an even number of voters tolerates no more failures than one voter less.
func globalGroup(hosts []Host) Group {
	voters := names(hosts)
	if len(hosts)%2 == 0 {
		voters = names(spreadOverDomains(hosts, len(hosts)-1, nil))
	}
	learners := filter(hosts, func(h Host) bool { return !slices.Contains(voters, h.Name) })
	return Group{Name: GroupGlobal, Voters: voters, Learners: names(learners)}
}

// regionMembers returns the voters of a region's group: hosts of the region, and witnesses in other
// regions so that the group is in at least three failure domains. If the region itself has fewer, only
// as many of its hosts vote as a majority needs; otherwise as many as possible. As in the global
// group, the number of voters is odd.
func regionMembers(hosts []Host, region string) []string {
	local := filter(hosts, func(h Host) bool { return h.Region == region })
	remote := filter(hosts, func(h Host) bool { return h.Region != region })
	size := smallGroupSize
	if len(local) >= 3 && len(hosts) >= largeGroupSize {
		size = largeGroupSize
	}
	localCount := min(len(local), size/2+1)
	if countDomains(local) >= smallGroupSize || len(remote) == 0 {
		localCount = min(len(local), size)
	}
	members := spreadOverDomains(local, localCount, nil)
	members = append(members, spreadOverDomains(remote, size-len(members), members)...)
	if len(members)%2 == 0 {
		members = members[:len(members)-1]
	}
	return names(members)
}

// spreadOverDomains selects up to count hosts, one at a time from the failure domain that has the
// fewest of the members and the hosts selected so far.
func spreadOverDomains(hosts []Host, count int, members []Host) []Host {
	used := map[string]int{}
	for _, member := range members {
		used[member.Domain]++
	}
	remaining := slices.Clone(hosts)
	var selected []Host
	for len(selected) < count && len(remaining) > 0 {
		best := 0
		for i, host := range remaining {
			if used[host.Domain] < used[remaining[best].Domain] {
				best = i
			}
		}
		used[remaining[best].Domain]++
		selected = append(selected, remaining[best])
		remaining = slices.Delete(remaining, best, best+1)
	}
	return selected
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

func countDomains(hosts []Host) int {
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
