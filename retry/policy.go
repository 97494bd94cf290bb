package retry

import (
	"math/rand/v2"
	"time"
)

// Reason says why a request is not sent again.
type Reason string

// Reasons of Decision.
const (
	ReasonAnswered      Reason = "answered"
	ReasonNotRepeatable Reason = "not-repeatable"
	ReasonOverload      Reason = "overload"
	ReasonBulk          Reason = "bulk-across-regions"
	ReasonTries         Reason = "tries"
	ReasonDeadline      Reason = "deadline"
	ReasonBudget        Reason = "budget"
)

// Policy is how often and how fast requests are sent again.
type Policy struct {
	MaxAttempts int           // attempts of one request, the first included
	BackoffBase time.Duration // longest delay before the first retry
	BackoffMax  time.Duration // longest delay before any retry
}

// Attempt is a failed attempt and the request it belongs to.
type Attempt struct {
	Outcome      Outcome
	Number       int // 1 for the first attempt
	Repeatable   bool
	Overloaded   bool // the server shed the request
	Bulk         bool
	CrossRegion  bool          // the next attempt would cross regions
	Rerouted     bool          // the owner changed; the next attempt goes elsewhere
	TimeLeft     time.Duration // until the request's deadline
	ExpectedTime time.Duration // least time an attempt takes
}

// Decision is whether and when to send a request again.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason // why not; empty for a retry
}

// Decide judges one failed attempt. An attempt that was certainly not run and
// whose owner changed does not spend from the budget: it adds no load to the
// server that refused it.
func (p Policy) Decide(now time.Duration, attempt Attempt, budget *Budget, random *rand.Rand) Decision {
	if reason := p.forbidden(attempt); reason != "" {
		return Decision{Reason: reason}
	}
	delay := p.backoff(attempt, random)
	if delay+attempt.ExpectedTime >= attempt.TimeLeft {
		return Decision{Reason: ReasonDeadline}
	}
	if !attempt.Rerouted && !budget.Spend(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Delay: delay}
}

func (p Policy) forbidden(attempt Attempt) Reason {
	switch {
	case attempt.Outcome == Answered:
		return ReasonAnswered
	case attempt.Outcome == Unknown && !attempt.Repeatable:
		return ReasonNotRepeatable
	case attempt.Overloaded:
		return ReasonOverload
	case attempt.Bulk && attempt.CrossRegion:
		return ReasonBulk
	case attempt.Number >= p.MaxAttempts:
		return ReasonTries
	default:
		return ""
	}
}

// backoff is exponential with full jitter (Brooker, "Exponential Backoff And
// Jitter", AWS Architecture Blog, 2015).
func (p Policy) backoff(attempt Attempt, random *rand.Rand) time.Duration {
	if attempt.Rerouted {
		return 0
	}
	longest := p.BackoffBase
	for i := 1; i < attempt.Number && longest < p.BackoffMax; i++ {
		longest *= 2
	}
	longest = min(longest, p.BackoffMax)
	return time.Duration(random.Int64N(int64(longest) + 1))
}
