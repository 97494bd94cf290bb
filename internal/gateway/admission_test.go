package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/galenalug/galenalug/admitshare"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/routes"
)

// Guards against a first report to a leader that has the demand of all the time without one: the leader would take it
// for that of one report interval, and limit requests for which there is capacity.
func TestDemandWithoutLeaderIsNotReported(t *testing.T) {
	a, group := &admission{}, admitshare.Group{Service: "s"}
	for range 100 {
		a.admit(time.Second, group, time.Millisecond, true)
	}
	ended := make(chan struct{})
	close(ended)
	link := &leaderLink{admission: a, view: newView(0)}
	link.reportLoad(context.Background(), nil, ended)
	a.admit(2*time.Second, group, time.Millisecond, false)
	report := a.demand()
	if len(report.Groups) != 1 || report.Groups[0].Requests != 1 {
		t.Errorf("report %+v, want only the request since the subscription", report)
	}
}

// Guards against a request that has run before its turn, and fails in an overload because it is not admitted a second
// time.
func TestRequestThatRanAheadStaysAdmitted(t *testing.T) {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.ShareCapacity = true }, nil)
	c := f.host.newCall(nil, httptest.NewRequest("GET", "/chart/1", nil), time.Now())
	c.service, c.route = "photos", &routes.Route{Name: "chart", TargetMillis: 500}
	f.host.admission.update(clockNow(), admitshare.Plan{Groups: []admitshare.Fraction{{Group: c.admissionGroup()}}})
	if c.admitted() {
		t.Fatal("the plan admits none of the requests, but one is admitted")
	}
	if c.mayHaveRun = true; !c.admitted() {
		t.Error("a request that has run is not admitted again")
	}
}
