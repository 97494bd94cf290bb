package control

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/wire"
)

// newPartsHost returns a host with the two lists and one region, without logs.
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

// The part in force follows the global log, also after restores, but not below
// what the region took on when its copy of the global log is old.
func TestPartInForce(t *testing.T) {
	h, g := newPartsHost(t)
	pair := allowance.Pair{Customer: "uniform", Service: "orders"}
	want := func(requests float64) {
		t.Helper()
		if limit, err := h.limit(g, pair); err != nil || limit.RequestsPerSecond != requests || limit.Burst != requests/10 {
			t.Fatalf("%+v %v, want %v", limit, err, requests)
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
	lowered := h.global.state.loweredIn("norte")
	entry, err := cbor.Marshal(regionEntry{Parts: g.state.toAccept(lowered)})
	if err != nil {
		t.Fatal(err)
	}
	g.state.Apply(1, entry)
	snapshot, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g.state = newRegionState("norte")
	if err := g.state.Restore(1, snapshot); err != nil || len(g.state.toAccept(lowered)) != 0 {
		t.Fatal(err, g.state.toAccept(lowered))
	}
	if err := h.global.state.Restore(2, before); err != nil {
		t.Fatal(err)
	}
	want(50)
}

// A report without a list of demands is told from one with an empty list.
func TestDemandsOfReport(t *testing.T) {
	for _, shares := range [][]wire.Share{nil, {}} {
		data, err := cbor.Marshal(wire.RegionReport{Shares: shares})
		var report wire.RegionReport
		if err != nil || cbor.Unmarshal(data, &report) != nil || (report.Shares == nil) != (shares == nil) {
			t.Fatalf("%v became %v", shares, report.Shares)
		}
	}
}
