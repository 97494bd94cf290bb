package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestPlans prints the groups of lists of hosts, one "name region domain" a line,
// and the losses that each group's quorum does not survive.
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
			d.Fatalf(t, "the order of the hosts matters: %s and %s", got, want)
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
		for _, what := range fatalLosses(members) {
			fmt.Fprintf(&out, "  no quorum without %s\n", what)
		}
	}
	return out.String()
}

// fatalLosses returns the failure domains and regions whose loss leaves no quorum.
func fatalLosses(members []Host) []string {
	survives := func(lost func(Host) bool) bool {
		left := filter(members, func(h Host) bool { return !lost(h) })
		return len(left) > len(members)/2
	}
	var fatal []string
	for _, member := range members {
		domain := "domain " + member.Domain
		if !survives(func(h Host) bool { return h.Domain == member.Domain }) && !slices.Contains(fatal, domain) {
			fatal = append(fatal, domain)
		}
		region := "region " + member.Region
		if !survives(func(h Host) bool { return h.Region == member.Region }) && !slices.Contains(fatal, region) {
			fatal = append(fatal, region)
		}
	}
	slices.Sort(fatal)
	return fatal
}

func TestGroupOf(t *testing.T) {
	hosts := []Host{{Name: "a", Region: "norte"}, {Name: "b", Region: "lisboa"}}
	for region, want := range map[string]string{"norte": "norte", "lisboa": "lisboa", "algarve": "lisboa"} {
		if got := GroupOf(hosts, region); got != want {
			t.Errorf("region %s is served by %s, want %s", region, got, want)
		}
	}
}
