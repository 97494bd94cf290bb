package entry

import (
	"sync"
	"time"

	"github.com/galenalug/galenalug/retry"
)

var retryPolicy = retry.Policy{MaxAttempts: 3, BackoffBase: 10 * time.Millisecond, BackoffMax: 200 * time.Millisecond}

var retryBudget = retry.BudgetConfig{Ratio: 0.1, FloorPerSecond: 1, Burst: 20}

// budgets holds one retry budget per service.
type budgets struct {
	mu        sync.Mutex // guards the fields below
	config    retry.BudgetConfig
	byService map[string]*retry.Budget
}

func newBudgets() *budgets {
	return &budgets{config: retryBudget, byService: map[string]*retry.Budget{}}
}

func (b *budgets) budgetFor(service string) *retry.Budget {
	found := b.byService[service]
	if found == nil {
		found = retry.NewBudget(b.config)
		b.byService[service] = found
	}
	return found
}

func (b *budgets) firstAttempt(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetFor(service).FirstAttempt(now)
}

// spendRetry takes one retry from the service's budget. It returns false if the budget is empty.
func (h *Host) spendRetry(service string) bool {
	h.budgets.mu.Lock()
	defer h.budgets.mu.Unlock()
	return h.budgets.budgetFor(service).Spend(h.now())
}

// decideRetry applies the retry policy to a failed attempt. It locks budgets.mu, then randomMu.
func (h *Host) decideRetry(service string, attempt retry.Attempt) retry.Decision {
	h.budgets.mu.Lock()
	defer h.budgets.mu.Unlock()
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return retryPolicy.Decide(h.now(), attempt, h.budgets.budgetFor(service), h.random)
}
