package retry

import "time"

// BudgetConfig bounds the retries of one service.
type BudgetConfig struct {
	Ratio          float64 // retries allowed for each first attempt, e.g. 0.1
	FloorPerSecond float64 // retries a second allowed without any load
	Burst          float64 // most retries saved up
}

// Budget is a token bucket filled by first attempts and by a small floor.
type Budget struct {
	config BudgetConfig
	tokens float64
	last   time.Duration
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: config.Burst}
}

// FirstAttempt adds the share of one first attempt.
func (b *Budget) FirstAttempt(now time.Duration) {
	b.refill(now)
	b.add(b.config.Ratio)
}

// Spend takes one retry from the budget, or returns false.
func (b *Budget) Spend(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 { return b.tokens }

func (b *Budget) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	b.add(b.config.FloorPerSecond * (now - b.last).Seconds())
	b.last = now
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.config.Burst)
}
