package control

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/wire"
)

// responseTo returns the HTTP status and body that an operator gets for an encoded result.
func responseTo(t *testing.T, encoded []byte) (int, wire.Refusal) {
	t.Helper()
	c := app.NewContext(0)
	respondToChange(c, encoded)
	var refusal wire.Refusal
	if err := json.Unmarshal(c.Response.Body(), &refusal); err != nil {
		t.Fatal(err)
	}
	return c.Response.StatusCode(), refusal
}

// TestResponsesToCommittedChanges checks that a committed change whose result cannot be decoded is
// reported as unknown: it may be in force, so it must not be reported as not run.
func TestResponsesToCommittedChanges(t *testing.T) {
	if status, refusal := responseTo(t, []byte{0xff}); status != 500 || refusal.Outcome != wire.OutcomeUnknown {
		t.Fatalf("undecodable result: got status %d and %+v, want 500 and outcome unknown", status, refusal)
	}
	for _, test := range []struct {
		result allowance.Result
		status int
		want   wire.Refusal
	}{
		{allowance.Result{Outcome: allowance.OutcomeAccepted, Version: 3}, 200, wire.Refusal{Outcome: "accepted"}},
		{allowance.Result{Outcome: allowance.OutcomeStale, Version: 3}, 409,
			wire.Refusal{Outcome: wire.OutcomeNotRun, Reason: "stale", Detail: "version 3 is in force"}},
		{allowance.Result{Outcome: allowance.OutcomeConflict, Version: 3, Winner: &allowance.Winner{Version: 3, Operator: "ha"}}, 409,
			wire.Refusal{Outcome: wire.OutcomeNotRun, Reason: "conflict", Detail: "version 3 was taken by ha; version 3 is in force"}},
	} {
		encoded, err := cbor.Marshal(test.result)
		if err != nil {
			t.Fatal(err)
		}
		if status, refusal := responseTo(t, encoded); status != test.status || refusal != test.want {
			t.Errorf("%s: got status %d and %+v, want %d and %+v", test.result.Outcome, status, refusal, test.status, test.want)
		}
	}
}

// TestMetrics checks the names, labels and values of metrics. The number of time series must stay
// small.
func TestMetrics(t *testing.T) {
	c := startHosts(t, "control-a")
	c.setPlans("control-a", 7)
	c.waitFor("leadership", func() bool { return c.running["control-a"].runners["mien-trung"].Leads() })
	families, err := c.running["control-a"].options.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			name := []string{family.GetName()}
			for _, label := range metric.GetLabel() {
				name = append(name, label.GetValue())
			}
			found[strings.Join(name, " ")] = metric.GetGauge().GetValue()
		}
	}
	for name, want := range map[string]float64{
		"galena_control_list_version plans": 7, "galena_control_leads mien-trung": 1, "galena_control_sessions mien-trung": 0,
		"galena_control_slots mien-trung owned": 0, "galena_control_runs mien-trung": 0, "galena_control_learners global": 0,
	} {
		if got, ok := found[name]; !ok || got != want {
			t.Errorf("%s is %v (present: %t), want %v", name, got, ok, want)
		}
	}
}
