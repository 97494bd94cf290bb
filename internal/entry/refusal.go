package entry

import (
	"fmt"
	"time"

	"github.com/galenalug/galenalug/retry"
)

// Reasons of wire.Refusal, besides those in wire.HeaderRefused and of package
// forward. docs/design/entry.md says what each means.
const (
	reasonBadRequest     = "bad-request"
	reasonTooLarge       = "too-large"
	reasonUnknownService = "unknown-service"
	reasonAllowance      = "allowance"
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

// refusal is a request that ends without a backend server's answer.
type refusal struct {
	status     int
	outcome    retry.Outcome
	reason     string
	detail     string
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.reason + ": " + r.detail }

func notRun(status int, reason, format string, arguments ...any) *refusal {
	return &refusal{status: status, outcome: retry.NotRun, reason: reason, detail: fmt.Sprintf(format, arguments...)}
}

func unknown(status int, reason, format string, arguments ...any) *refusal {
	return &refusal{status: status, outcome: retry.Unknown, reason: reason, detail: fmt.Sprintf(format, arguments...)}
}
