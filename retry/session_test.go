package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSessions runs the golden sessions; times are in milliseconds.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		budget := NewBudget(BudgetConfig{Ratio: 0.1, FloorPerSecond: 1, Burst: 2})
		policy := Policy{MaxAttempts: 3, BackoffBase: 10 * time.Millisecond, BackoffMax: 100 * time.Millisecond}
		random := rand.New(rand.NewPCG(1, 2))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := time.Duration(number(t, d, "at")) * time.Millisecond
			switch d.Cmd {
			case "first":
				for range max(1, number(t, d, "count")) {
					budget.FirstAttempt(now)
				}
				return fmt.Sprintf("tokens %.1f\n", budget.Tokens())
			case "classify":
				end := AttemptResult{BytesWritten: int64(number(t, d, "written")), Refused: d.HasArg("refused"), Complete: d.HasArg("whole")}
				return Classify(end).String() + "\n"
			}
			attempt := Attempt{
				Outcome: Unknown, Number: number(t, d, "tries"), TimeLeft: time.Duration(number(t, d, "left")) * time.Millisecond,
				Repeatable: d.HasArg("repeatable"), Overloaded: d.HasArg("overloaded"), Bulk: d.HasArg("bulk"),
				CrossRegion: d.HasArg("cross"), Rerouted: d.HasArg("rerouted"),
			}
			if d.HasArg("notrun") {
				attempt.Outcome = NotRun
			}
			decision := policy.Decide(now, attempt, budget, random)
			return fmt.Sprintf("retry=%t delay=%v %s tokens %.1f\n", decision.Retry, decision.Delay, decision.Reason, budget.Tokens())
		})
	})
}

func number(t *testing.T, d *datadriven.TestData, key string) int {
	var value int
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}
