package control

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/wire"
)

// newPartsHost returns a host with both lists and one region group, without replicated logs.
func newPartsHost(t *testing.T) (*Host, *regionGroup) {
	global := newGlobalState(wire.GroupGlobal)
	for i, command := range []allowance.Command{
		{Allowances: &allowance.LimitList{Version: 1, Allowances: []allowance.PlanAllowance{
			{Plan: "silver", Limits: []allowance.Limit{{Service: "orders", RequestsPerSecond: 1000, Burst: 100}}},
		}}},
		{Plans: &allowance.PlanList{Version: 1, Plans: []allowance.CustomerPlan{{Customer: "uniform", Plan: "silver"}}}},
	} {
		data, err := encodeLists(command)
		if err != nil {
			t.Fatal(err)
		}
		if result, ok := global.Apply(uint64(i+1), data).(allowance.Result); !ok || !result.Succeeded() {
			t.Fatalf("%+v", result)
		}
	}
	h := &Host{global: &globalGroup{state: global, regions: []string{"lisboa", "norte"}}}
	return h, &regionGroup{name: "norte", state: newRegionState("norte")}
}

// The effective part must follow the global log. A lowered part that the region has accepted must
// stay in force when the region's state is restored from a snapshot, and when the host's copy of
// the global state is restored to an older one.
func TestEffectivePart(t *testing.T) {
	h, g := newPartsHost(t)
	pair := allowance.Pair{Customer: "uniform", Service: "orders"}
	want := func(requests float64) {
		t.Helper()
		if limit, err := h.limit(g, pair); err != nil || limit.RequestsPerSecond != requests || limit.Burst != requests/10 {
			t.Fatalf("got limit %+v and error %v, want %v requests per second", limit, err, requests)
		}
	}
	want(500)
	before, err := h.global.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	data, err := encodeParts(allowance.PartCommand{Shifts: []allowance.PartShift{{
		Customer: "uniform", Service: "orders", Regions: h.global.regions, From: "norte", To: "lisboa", Units: 4500,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	h.global.state.Apply(3, data)
	want(50)
	lowered := h.global.state.loweredParts("norte")
	entry, err := cbor.Marshal(regionEntry{Parts: g.state.unacceptedParts(lowered)})
	if err != nil {
		t.Fatal(err)
	}
	g.state.Apply(1, entry)
	snapshot, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g.state = newRegionState("norte")
	if err := g.state.Restore(1, snapshot); err != nil || len(g.state.unacceptedParts(lowered)) != 0 {
		t.Fatal(err, g.state.unacceptedParts(lowered))
	}
	if err := h.global.state.Restore(2, before); err != nil {
		t.Fatal(err)
	}
	want(50)
}

// A nil list of demands must stay distinct from an empty one when a report is encoded.
func TestDemandsOfReport(t *testing.T) {
	for _, shares := range [][]wire.Share{nil, {}} {
		data, err := cbor.Marshal(wire.RegionReport{Shares: shares})
		var report wire.RegionReport
		if err != nil || cbor.Unmarshal(data, &report) != nil || (report.Shares == nil) != (shares == nil) {
			t.Fatalf("%#v was decoded as %#v", shares, report.Shares)
		}
	}
}

// A customer whose requests arrive in only one region must get nearly its full allowance there,
// and a refused share must carry the reason. The test runs control hosts with replicated logs.
func TestCustomerThroughOneRegion(t *testing.T) {
	c := startCluster(t)
	all := slices.Concat(centralHosts, southHosts) // any of them may lead a group
	lists := []allowance.Command{
		{Allowances: &allowance.LimitList{Version: 1, Allowances: []allowance.PlanAllowance{
			{Plan: "gold", Limits: []allowance.Limit{{Service: "orders", RequestsPerSecond: 1000, Burst: 100}}},
		}}},
		{Plans: &allowance.PlanList{Version: 1, Plans: []allowance.CustomerPlan{{Customer: "uniform", Plan: "gold"}}}},
	}
	for _, list := range lists {
		c.eventually("a list is accepted", func() error {
			data, err := encodeLists(list)
			if err != nil {
				return err
			}
			var reply wire.ProposalReply
			return c.call(all, wire.KindPropose, wire.Proposal{Group: wire.GroupGlobal, Command: data}, &reply)
		})
	}
	renew := func(share wire.Share) (wire.Share, error) {
		request := wire.Renewal{Group: "mien-trung", Name: "e1", Incarnation: "1", Region: "mien-trung", Shares: []wire.Share{share}}
		var reply wire.RenewalReply
		err := c.call(all, wire.KindRenew, request, &reply)
		if err == nil && len(reply.Shares) != 1 {
			err = errors.Errorf("reply has %d shares, want 1", len(reply.Shares))
		}
		if err != nil {
			return share, err
		}
		return reply.Shares[0], nil
	}
	for _, refused := range []wire.Share{
		{Customer: "nobody", Service: "orders", Refusal: wire.ShareNoPlan},
		{Customer: "uniform", Service: "photos", Refusal: wire.ShareNotAllowed},
	} {
		c.eventually("a refusal", func() error {
			got, err := renew(wire.Share{Customer: refused.Customer, Service: refused.Service, Wanted: 1})
			if err == nil && (got.Refusal != refused.Refusal || got.Granted != 0) {
				err = errors.Errorf("got %+v, want refusal %q", got, refused.Refusal)
			}
			return err
		})
	}
	share := wire.Share{Customer: "uniform", Service: "orders"}
	c.eventually("nine tenths of the allowance", func() error {
		got, err := renew(wire.Share{
			Customer: "uniform", Service: "orders", Held: share.Granted, Number: share.Number, Wanted: 2000,
		})
		if err != nil {
			return err
		}
		share = got
		if share.Granted < 900 || share.Burst < 90 {
			return errors.Errorf("granted %+v, want at least 900 requests per second and a burst of 90", share)
		}
		return nil
	})
}
