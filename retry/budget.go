package retry

import (
	"math"
	"time"
)

// BudgetConfig bounds the retries of one service.
type BudgetConfig struct {
	Ratio          float64 // retries allowed for each first attempt, e.g. 0.1
	FloorPerSecond float64 // retries a second allowed without any load
	Burst          float64 // most retries saved up
}

// tokenUnit is one retry. Tokens are counted in whole units of a billionth, so
// that ten tenths are one, and a nanosecond of the floor is not lost.
const tokenUnit = 1_000_000_000

// Budget is a token bucket filled by first attempts and by a small floor.
type Budget struct {
	config BudgetConfig
	tokens int64 // billionths of a retry
	last   time.Duration
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: units(config.Burst)}
}

// FirstAttempt adds the share of one first attempt.
func (b *Budget) FirstAttempt(now time.Duration) {
	b.refill(now)
	b.add(units(b.config.Ratio))
}

// Spend takes one retry from the budget, or returns false.
func (b *Budget) Spend(now time.Duration) bool {
	b.refill(now)
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 { return float64(b.tokens) / tokenUnit }

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

func units(retries float64) int64 { return int64(math.Round(retries * tokenUnit)) }
