package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/galenalug/galenalug/allowance"
)

// changeResponse is the response to an operator's change.
type changeResponse struct {
	status int
	result allowance.Result
}

func allowancesYAML(version int, rate int) string {
	return fmt.Sprintf("version: %d\nallowances:\n- plan: gold\n  limits:\n  - {service: wheel-swap, requests_per_second: %d, burst: 1}\n",
		version, rate)
}

// put sends a list to a host as an operator does. It returns an error if there is no valid
// response.
func (c *testHosts) put(ctx context.Context, host, operator, body string) (changeResponse, error) {
	url := "http://" + c.settings[host].AdminListen + pathAllowances
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewBufferString(body))
	if err != nil {
		return changeResponse{}, err
	}
	request.Header.Set("Authorization", "Bearer operator")
	request.Header.Set(headerOp, operator)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return changeResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var decoded struct {
		allowance.Result
		Refused *allowance.Result `json:"result"` // of a refused change
	}
	err = json.NewDecoder(response.Body).Decode(&decoded)
	if decoded.Refused != nil {
		decoded.Result = *decoded.Refused
	}
	return changeResponse{status: response.StatusCode, result: decoded.Result}, err
}

// change sends a list repeatedly until its outcome is known, as an operator may.
func (c *testHosts) change(host, operator, body string) changeResponse {
	var got changeResponse
	c.waitFor("a response to "+operator, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		var err error
		got, err = c.put(ctx, host, operator, body)
		return err == nil && got.status != http.StatusServiceUnavailable
	})
	return got
}

func (a changeResponse) want(t *testing.T, status int, outcome allowance.Outcome, version uint64) {
	t.Helper()
	if a.status != status || a.result.Outcome != outcome || a.result.Version != version {
		t.Fatalf("got status %d and %+v, want status %d and outcome %s at version %d", a.status, a.result, status, outcome, version)
	}
}

// Two operators concurrently send different lists with the same version number through two hosts.
// One must win, and the other must learn the winner and the differences.
func TestConcurrentChangesWithSameVersion(t *testing.T) {
	c := startHosts(t, "control-a", "control-b", "control-c")
	c.change("control-a", "marta", allowancesYAML(1, 10)).want(t, 200, allowance.OutcomeAccepted, 1)
	operators := []string{"linh", "minh"}
	responses := make([]changeResponse, len(operators))
	var done sync.WaitGroup
	for i, host := range []string{"control-b", "control-c"} {
		done.Go(func() { responses[i] = c.change(host, operators[i], allowancesYAML(2, 20+i)) })
	}
	done.Wait()
	winner := 0
	if responses[1].status == http.StatusOK {
		winner = 1
	}
	loser := 1 - winner
	// A change that was retried after a lost response or a 503 is reported as repeated.
	if responses[winner].status != http.StatusOK || !responses[winner].result.Succeeded() {
		t.Fatalf("no change was accepted: %+v", responses)
	}
	responses[loser].want(t, 409, allowance.OutcomeConflict, 2)
	reported := responses[loser].result.Winner
	if reported == nil || reported.Operator != operators[winner] || len(reported.Differences) != 1 {
		t.Fatalf("the refused change reports the winner %+v, want operator %s and one difference", reported, operators[winner])
	}

	// The winner's list must be in force on every host.
	c.waitFor("the winner's list on every host", func() bool {
		for _, host := range c.running {
			host.global.state.mu.RLock()
			list := host.global.state.lists.Allowances()
			host.global.state.mu.RUnlock()
			if list.Version == 2 && list.Allowances[0].Limits[0].RequestsPerSecond != float64(20+winner) {
				t.Fatalf("%s has the losing list %+v", host.settings.Name, list)
			}
			if list.Version != 2 {
				return false
			}
		}
		return true
	})
	c.change("control-a", operators[loser], allowancesYAML(2, 20+loser)).want(t, 409, allowance.OutcomeConflict, 2)
	c.change("control-a", operators[winner], allowancesYAML(2, 20+winner)).want(t, 200, allowance.OutcomeRepeated, 2)
	c.change("control-c", "marta", allowancesYAML(1, 10)).want(t, 200, allowance.OutcomeSuperseded, 2)
	c.change("control-b", "marta", allowancesYAML(1, 99)).want(t, 409, allowance.OutcomeStale, 2)
}

// An operator's response is lost together with the host that accepted the change. When the change
// is retried through another host, it must be recognized as repeated, and a different change with
// the same version number must be refused.
func TestRetriedChangeAfterLostResponse(t *testing.T) {
	c := startHosts(t, "control-a", "control-b", "control-c")
	c.change("control-a", "marta", allowancesYAML(1, 10)).want(t, 200, allowance.OutcomeAccepted, 1)
	leader := c.running["control-a"].runners["global"].Leader()
	ctx, cancel := context.WithCancel(context.Background())
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = c.put(ctx, leader, "linh", allowancesYAML(2, 20)) // the response is lost
	}()
	c.waitFor("the change at the leader", func() bool { return c.running[leader].status().AllowancesVersion == 2 })
	cancel()
	<-sent
	c.stop(leader)
	var others []string
	for name := range c.running {
		others = append(others, name)
	}
	c.change(others[0], "linh", allowancesYAML(2, 20)).want(t, 200, allowance.OutcomeRepeated, 2)
	c.change(others[1], "minh", allowancesYAML(2, 30)).want(t, 409, allowance.OutcomeConflict, 2)
	c.change(others[1], "minh", allowancesYAML(3, 30)).want(t, 200, allowance.OutcomeAccepted, 3)
	c.change(others[0], "linh", allowancesYAML(2, 20)).want(t, 200, allowance.OutcomeSuperseded, 3)
}
