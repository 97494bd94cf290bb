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

// answer is what an operator gets for a change.
type changeResponse struct {
	status int
	result allowance.Result
}

func allowancesYAML(version int, rate int) string {
	return fmt.Sprintf("version: %d\nallowances:\n- plan: gold\n  limits:\n  - {service: wheel-swap, requests_per_second: %d, burst: 1}\n",
		version, rate)
}

// put sends a list to a host as an operator does. It fails when the operator gets
// no answer.
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

// change sends a list until its outcome is known, as an operator may.
func (c *testHosts) change(host, operator, body string) changeResponse {
	var got changeResponse
	c.waitFor("an answer to "+operator, func() bool {
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
		t.Fatalf("got %d %+v, want %d %s of version %d", a.status, a.result, status, outcome, version)
	}
}

// Two operators send different lists of the same number through two hosts at the
// same time. One wins, and the other is told who and with what.
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
	// A change that was sent again after a busy moment is answered as repeated.
	if responses[winner].status != http.StatusOK || !responses[winner].result.Succeeded() {
		t.Fatalf("no winner: %+v", responses)
	}
	responses[loser].want(t, 409, allowance.OutcomeConflict, 2)
	won := responses[loser].result.Winner
	if won == nil || won.Operator != operators[winner] || len(won.Differences) != 1 {
		t.Fatalf("the loser is told %+v", won)
	}

	// The winner's list is in force everywhere, and the loser's nowhere.
	c.waitFor("the winner's list on every host", func() bool {
		for _, host := range c.running {
			host.global.state.mu.RLock()
			list := host.global.state.lists.Allowances()
			host.global.state.mu.RUnlock()
			if list.Version == 2 && list.Allowances[0].Limits[0].RequestsPerSecond != float64(20+winner) {
				t.Fatalf("%s has %+v", host.settings.Name, list)
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

// The operator loses the answer, and the host that took the change is lost with
// it. The change, sent again through another host, is told from a second one.
func TestRetriedChangeAfterLostResponse(t *testing.T) {
	c := startHosts(t, "control-a", "control-b", "control-c")
	c.change("control-a", "marta", allowancesYAML(1, 10)).want(t, 200, allowance.OutcomeAccepted, 1)
	leader := c.running["control-a"].runners["global"].Leader()
	ctx, cancel := context.WithCancel(context.Background())
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = c.put(ctx, leader, "linh", allowancesYAML(2, 20)) // its answer is lost
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
