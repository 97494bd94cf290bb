package entry

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/retry"
)

// Reasons of wire.Refusal, in addition to those of wire.HeaderRefused and of package forward. Their
// meanings are in docs/design/entry.md.
const (
	reasonBadRequest     = "bad-request"
	reasonTooLarge       = "too-large"
	reasonUnknownService = "unknown-service"
	reasonAllowance      = "allowance"
	reasonNoPlan         = "no-plan"
	reasonNotAllowed     = "not-allowed"
	reasonNoShare        = "no-share"
	reasonNoOwner        = "no-owner"
	reasonNoServer       = "no-server"
	reasonWaiters        = "too-many-waiting"
	reasonQueueFull      = "queue-full"
	reasonDeadline       = "deadline"
	reasonWorkers        = "workers"
	reasonStopping       = "stopping"
	reasonLedger         = "ledger"
	reasonConflict       = "idempotency-conflict"
	reasonInProgress     = "in-progress"
	reasonEarlierUnknown = "earlier-unknown"
	reasonNotKept        = "answer-not-kept"
	reasonCanceled       = "canceled"
	reasonInternal       = "internal"
)

// refusal describes why a request ends without a response of a backend server.
type refusal struct {
	status     int
	outcome    retry.Outcome
	reason     string
	detail     string
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.reason + ": " + r.detail }

func refuseNotRun(status int, reason, format string, arguments ...any) *refusal {
	return &refusal{status: status, outcome: retry.NotRun, reason: reason, detail: fmt.Sprintf(format, arguments...)}
}

func refuseUnknown(status int, reason, format string, arguments ...any) *refusal {
	return &refusal{status: status, outcome: retry.Unknown, reason: reason, detail: fmt.Sprintf(format, arguments...)}
}

// limitRefusal returns the refusal for an error of Limits.Admit.
func limitRefusal(err error) *refusal {
	switch {
	case errors.Is(err, ErrAllowanceSpent):
		return refuseNotRun(429, reasonAllowance, "%v", err)
	case errors.Is(err, ErrNoPlan):
		return refuseNotRun(403, reasonNoPlan, "%v", err)
	case errors.Is(err, ErrNotAllowed):
		return refuseNotRun(403, reasonNotAllowed, "%v", err)
	default:
		return refuseNotRun(503, reasonNoShare, "%v", err)
	}
}
