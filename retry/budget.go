package retry

import (
	"math"
	"time"
)

// BudgetConfig limits the retries of one service.
type BudgetConfig struct {
	Ratio          float64 // retries allowed per first attempt, e.g. 0.1
	FloorPerSecond float64 // retries allowed per second regardless of load
	Burst          float64 // maximum number of accumulated retries
}

// unitsPerRetry is the number of token units that make up one retry. Tokens are integers, so that
// ten times a tenth is exactly one retry. The unit is so small that a floor of one retry per second
// adds a whole unit in each nanosecond, rather than a fraction that is rounded to 0.
const unitsPerRetry = 1_000_000_000

// Budget is a token bucket that is filled by first attempts and at a low constant rate.
type Budget struct {
	config BudgetConfig
	tokens int64         // in units of 1/unitsPerRetry
	last   time.Duration // time of the last refill
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: units(config.Burst)}
}

// FirstAttempt adds the tokens earned by one first attempt.
func (b *Budget) FirstAttempt(now time.Duration) {
	b.refill(now)
	b.add(units(b.config.Ratio))
}

// Spend takes one retry from the budget, or returns false if less than one is left.
func (b *Budget) Spend(now time.Duration) bool {
	b.refill(now)
	if b.tokens < unitsPerRetry {
		return false
	}
	b.tokens -= unitsPerRetry
	return true
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 { return float64(b.tokens) / unitsPerRetry }

func (b *Budget) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	b.add(units(b.config.FloorPerSecond * (now - b.last).Seconds()))
	b.last = now
}

func (b *Budget) add(tokens int64) {
	b.tokens = min(b.tokens+tokens, units(b.config.Burst))
}

func units(retries float64) int64 { return int64(math.Round(retries * unitsPerRetry)) }
