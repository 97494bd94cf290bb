package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSessions runs the sessions in testdata against their expected output. Times are in
// milliseconds.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		budget := NewBudget(BudgetConfig{Ratio: 0.1, FloorPerSecond: 1, Burst: 2})
		policy := Policy{MaxAttempts: 3, BackoffBase: 10 * time.Millisecond, BackoffMax: 100 * time.Millisecond}
		random := rand.New(rand.NewPCG(1, 2))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := time.Duration(intArg(t, d, "at")) * time.Millisecond
			switch d.Cmd {
			case "first":
				for range max(1, intArg(t, d, "count")) {
					budget.FirstAttempt(now)
				}
				return fmt.Sprintf("tokens %.1f\n", budget.Tokens())
			case "classify":
				result := AttemptResult{BytesWritten: int64(intArg(t, d, "written")), Refused: d.HasArg("refused"), Complete: d.HasArg("whole")}
				return Classify(result).String() + "\n"
			}
			attempt := Attempt{
				Outcome: Unknown, Number: intArg(t, d, "tries"), TimeLeft: time.Duration(intArg(t, d, "left")) * time.Millisecond,
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

func intArg(t *testing.T, d *datadriven.TestData, key string) int {
	var value int
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}
