package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestPlans compares the groups of a list of hosts, given as lines "name region domain", with the
// expected ones, together with the failures that leave a group without a quorum.
func TestPlans(t *testing.T) {
	datadriven.RunTest(t, "testdata/plans", func(t *testing.T, d *datadriven.TestData) string {
		var hosts []Host
		for _, line := range strings.Split(d.Input, "\n") {
			var host Host
			if _, err := fmt.Sscan(line, &host.Name, &host.Region, &host.Domain); err != nil {
				d.Fatalf(t, "%q: %v", line, err)
			}
			hosts = append(hosts, host)
		}
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		if got, want := fmt.Sprint(Plan(reversed)), fmt.Sprint(Plan(hosts)); got != want {
			d.Fatalf(t, "the plan depends on the order of the hosts: %s and %s", got, want)
		}
		return describePlan(hosts)
	})
}

func describePlan(hosts []Host) string {
	var out strings.Builder
	for _, group := range Plan(hosts) {
		fmt.Fprintf(&out, "%s: %s\n", group.Name, strings.Join(group.Voters, " "))
		if len(group.Learners) > 0 {
			fmt.Fprintf(&out, "  without a vote: %s\n", strings.Join(group.Learners, " "))
		}
		members := filter(hosts, func(h Host) bool { return slices.Contains(group.Voters, h.Name) })
		for _, lost := range quorumLosses(members) {
			fmt.Fprintf(&out, "  no quorum without %s\n", lost)
		}
	}
	return out.String()
}

// quorumLosses returns the failure domains and regions whose loss leaves no quorum.
func quorumLosses(members []Host) []string {
	keepsQuorum := func(lost func(Host) bool) bool {
		remaining := filter(members, func(h Host) bool { return !lost(h) })
		return len(remaining) > len(members)/2
	}
	var losses []string
	for _, member := range members {
		domain := "domain " + member.Domain
		if !keepsQuorum(func(h Host) bool { return h.Domain == member.Domain }) && !slices.Contains(losses, domain) {
			losses = append(losses, domain)
		}
		region := "region " + member.Region
		if !keepsQuorum(func(h Host) bool { return h.Region == member.Region }) && !slices.Contains(losses, region) {
			losses = append(losses, region)
		}
	}
	slices.Sort(losses)
	return losses
}

func TestGroupOf(t *testing.T) {
	hosts := []Host{{Name: "a", Region: "norte"}, {Name: "b", Region: "lisboa"}}
	for region, want := range map[string]string{"norte": "norte", "lisboa": "lisboa", "algarve": "lisboa"} {
		if got := GroupOf(hosts, region); got != want {
			t.Errorf("region %s is served by group %s, want %s", region, got, want)
		}
	}
}
