package retry

import (
	"math/rand/v2"
	"time"
)

// Reason says why a request is not retried.
type Reason string

// Reasons of Decision.
const (
	ReasonAnswered          Reason = "answered"
	ReasonNotRepeatable     Reason = "not-repeatable"
	ReasonOverload          Reason = "overload"
	ReasonBulkAcrossRegions Reason = "bulk-across-regions"
	ReasonMaxAttempts       Reason = "tries"
	ReasonDeadline          Reason = "deadline"
	ReasonBudget            Reason = "budget"
)

// Policy limits the number and the rate of the attempts of one request.
type Policy struct {
	MaxAttempts int           // including the first attempt
	BackoffBase time.Duration // maximum delay before the first retry
	BackoffMax  time.Duration // maximum delay before any retry
}

// Attempt describes a failed attempt and its request.
type Attempt struct {
	Outcome     Outcome
	Number      int // 1 for the first attempt
	Repeatable  bool
	Overloaded  bool // the server rejected the request because of overload
	Bulk        bool
	CrossRegion bool          // the next attempt would go to another region
	Rerouted    bool          // it certainly did not run, and the next attempt goes to a new owner
	TimeLeft    time.Duration // until the request's deadline
	MinDuration time.Duration // minimum duration of an attempt
}

// Decision says whether and when to retry a request.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason // why the request is not retried; empty for a retry
}

// Decide decides about a retry after a failed attempt. The retry of a rerouted attempt is not delayed
// and does not spend from the budget, since it adds no load to the server that refused the attempt.
func (p Policy) Decide(now time.Duration, attempt Attempt, budget *Budget, random *rand.Rand) Decision {
	if reason := p.forbidden(attempt); reason != "" {
		return Decision{Reason: reason}
	}
	delay := p.backoff(attempt, random)
	if delay+attempt.MinDuration >= attempt.TimeLeft {
		return Decision{Reason: ReasonDeadline}
	}
	if !attempt.Rerouted && !budget.Spend(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Delay: delay}
}

// forbidden returns why a retry is not allowed regardless of deadline and budget, or "".
func (p Policy) forbidden(attempt Attempt) Reason {
	switch {
	case attempt.Outcome == Answered:
		return ReasonAnswered
	case attempt.Outcome == Unknown && !attempt.Repeatable:
		return ReasonNotRepeatable
	case attempt.Overloaded:
		return ReasonOverload
	case attempt.Bulk && attempt.CrossRegion:
		return ReasonBulkAcrossRegions
	case attempt.Number >= p.MaxAttempts:
		return ReasonMaxAttempts
	default:
		return ""
	}
}

// backoff returns an exponential delay with full jitter (Brooker, "Exponential Backoff And Jitter",
// AWS Architecture Blog, 2015).
func (p Policy) backoff(attempt Attempt, random *rand.Rand) time.Duration {
	if attempt.Rerouted {
		return 0
	}
	maxDelay := p.BackoffBase
	for i := 1; i < attempt.Number && maxDelay < p.BackoffMax; i++ {
		maxDelay *= 2
	}
	maxDelay = min(maxDelay, p.BackoffMax)
	return time.Duration(random.Int64N(int64(maxDelay) + 1))
}
