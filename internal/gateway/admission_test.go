package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/galenalug/galenalug/admitshare"
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
