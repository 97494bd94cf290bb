package gateway

import (
	"strconv"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/retry"
)

const (
	// retryBudgetFraction is the fraction of the retry budget that is used. The margin is needed
	// because requests reach the servers slightly later than they are counted here.
	retryBudgetFraction = 0.85
	// slackFraction is the fraction that a gateway uses of its share of the retry slack. Its count
	// of the gateways may be too low for a while.
	slackFraction = 0.5
)

func (h *Host) countRequest(service string, key int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retryLimiter(service).RecordRequest(clockNow())
	if key != NoKey {
		h.keyCounts.add(service, key)
	}
}

// allowRetry takes one retry from the service's retry budget, or returns false if it is used up.
func (h *Host) allowRetry(service string) bool {
	slack := slackFraction * h.settings.RetrySlack / float64(h.view.gateways())
	h.mu.Lock()
	defer h.mu.Unlock()
	allowed := h.retryLimiter(service).AllowRetry(clockNow(), slack)
	h.metrics.retries.WithLabelValues(strconv.FormatBool(allowed)).Inc()
	return allowed
}

// retryLimiter returns the retry limiter of a service. The caller holds h.mu.
func (h *Host) retryLimiter(service string) *retry.WindowLimiter {
	w := h.retryLimiters[service]
	if w == nil {
		w = retry.NewWindowLimiter(retryBudgetFraction*h.settings.RetryRatio, clock.Seconds(h.settings.RetryWindowSeconds))
		h.retryLimiters[service] = w
	}
	return w
}

// takeLoadReport returns the load since the last call.
func (h *Host) takeLoadReport() keyrange.LoadReport {
	report := keyrange.LoadReport{Servers: h.backends.takeObservations(clockNow())}
	h.mu.Lock()
	defer h.mu.Unlock()
	report.Services = h.keyCounts.take()
	return report
}
