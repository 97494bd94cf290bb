package control

import (
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/routing"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
)

// startEntryLink connects an entry host that serves no requests to the cluster.
func (c *cluster) startEntryLink(name, region, incarnation string) *routing.Link {
	link := routing.New(routing.Options{
		Settings:    &settings.EntrySettings{Name: name, Region: region, Domain: region, Controls: c.controls},
		PeerSecret:  []byte("a secret of the peers"),
		Incarnation: incarnation,
	})
	link.Start()
	return link
}

// heldShare admits one request of the customer, so that the entry host asks for a share of the
// allowance. It returns the share that the entry host holds, in requests per second.
func heldShare(link *routing.Link) float64 {
	_, _ = link.Limits().Admit("uniform", "wheel-swap")
	dump, ok := link.Dump().(routing.Dump)
	if !ok || len(dump.Shares) != 1 {
		return 0
	}
	return dump.Shares[0].Share
}

// TestChangeIsInForceAtEntryHosts lowers an allowance. The change must take effect at the entry
// hosts of both regions, including a restarted one, and must not revert when the leader of the
// global group is lost.
func TestChangeIsInForceAtEntryHosts(t *testing.T) {
	const high, low = 1000, 10
	c := startCluster(t)
	all := slices.Concat(centralHosts, southHosts)
	for _, list := range []allowance.Command{
		{Allowances: limitList(1, "gold", high)},
		{Plans: &allowance.PlanList{Version: 1, Plans: []allowance.CustomerPlan{{Customer: "uniform", Plan: "gold"}}}},
	} {
		c.eventually("a first list is accepted", func() error { return accepted(c.change(all, list)) })
	}
	first := c.startEntryLink("e1", "mien-trung", "1")
	t.Cleanup(first.Stop)
	second := c.startEntryLink("e2", "mien-nam", "1")
	c.eventually("both entry hosts hold shares of the high allowance", func() error {
		if a, b := heldShare(first), heldShare(second); a <= low || b <= low {
			return errors.Errorf("shares are %v and %v, want more than %v each", a, b, low)
		}
		return nil
	})

	c.eventually("the low allowance is accepted", func() error {
		return accepted(c.change(all, allowance.Command{Allowances: limitList(2, "gold", low)}))
	})
	inForce := func() error {
		if a, b := heldShare(first), heldShare(second); a+b > low || a+b == 0 {
			return errors.Errorf("shares are %v and %v, want a sum in (0, %v]", a, b, low)
		}
		return nil
	}
	c.eventually("the low allowance is in force", inForce)
	second.Stop()
	second = c.startEntryLink("e2", "mien-nam", "2")
	t.Cleanup(func() { second.Stop() })
	c.eventually("the low allowance is in force at a restarted entry host", func() error {
		if heldShare(second) == 0 {
			return errors.New("no share yet")
		}
		return inForce()
	})

	leader := c.hosts["c1"].runners[wire.GroupGlobal].Leader()
	c.stop(leader)
	left := slices.DeleteFunc(all, func(name string) bool { return name == leader })
	c.eventually("the next leader knows the change", func() error {
		if a, b := heldShare(first), heldShare(second); a+b > low {
			t.Fatalf("the change reverted: shares %v and %v", a, b)
		}
		return accepted(c.change(left, allowance.Command{Allowances: limitList(2, "gold", low)}))
	})
	stale, err := c.change(left, allowance.Command{Allowances: limitList(1, "gold", high+1)})
	if err == nil && stale.Outcome != allowance.OutcomeStale {
		t.Fatalf("a change with an old version after the loss of the leader: got %+v, want outcome stale", stale)
	}
}

func accepted(result allowance.Result, err error) error {
	if err == nil && !result.Succeeded() {
		err = errors.Errorf("refused: %+v", result)
	}
	return err
}
