// Package demo generates the load of the demo, and checks the outcomes that callers received against
// the history files of the backend servers.
package demo

import (
	"bufio"
	"encoding/json"
	"os"
	"sort"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/backend"
)

const maxLineBytes = 1 << 20

// Outcome is the outcome of a request as the caller received it.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// stillFailing is the outcome of the event for a key that is unavailable at the end of the load.
const stillFailing Outcome = "still failing"

// Order is the outcome of all attempts with one idempotency key.
type Order struct {
	IdempotencyKey string
	Outcome        Outcome
}

// Faults counts the faults found in the histories. All counts should be 0.
type Faults struct {
	WrongOwner    int // runs that violate the exclusive ownership of their slot
	Duplicated    int // idempotency keys that ran more than once
	RanButRefused int // orders that were refused as not run, but ran
	NotFound      int // orders that were answered, but are in no history
	NotSent       int // idempotency keys that ran, but were not sent
}

// Any reports whether any fault was found.
func (f Faults) Any() bool { return f != Faults{} }

// Check compares the outcomes that callers received with the servers' runs.
func Check(orders []Order, runs []backend.Run) Faults {
	faults := Faults{WrongOwner: wrongOwners(runs)}
	counts := map[string]int{}
	for _, run := range runs {
		if run.IdempotencyKey != "" {
			counts[run.IdempotencyKey]++
		}
	}
	for _, order := range orders {
		count := counts[order.IdempotencyKey]
		delete(counts, order.IdempotencyKey)
		if count > 1 {
			faults.Duplicated++
		}
		if count == 0 && order.Outcome == Answered {
			faults.NotFound++
		}
		if count > 0 && order.Outcome == NotRun {
			faults.RanButRefused++
		}
	}
	faults.NotSent = len(counts)
	return faults
}

// owner is one incarnation of a server.
type owner struct{ server, incarnation string }

func ownerOf(run backend.Run) owner { return owner{run.Server, run.Incarnation} }

// wrongOwners counts the runs that overlap with an earlier run of the same slot by another owner, or
// that follow a run of the same slot with a higher fencing token.
func wrongOwners(runs []backend.Run) int {
	bySlot := map[int][]backend.Run{}
	for _, run := range runs {
		bySlot[run.Slot] = append(bySlot[run.Slot], run)
	}
	wrong := 0
	for _, slotRuns := range bySlot {
		wrong += wrongOwnersOfSlot(slotRuns)
	}
	return wrong
}

func wrongOwnersOfSlot(runs []backend.Run) int {
	sort.Slice(runs, func(i, j int) bool { return runs[i].StartNanos < runs[j].StartNanos })
	wrong := 0
	highest := runs[0].Token
	ends := map[owner]int64{} // latest end of the runs so far, by owner
	for _, run := range runs {
		if run.Token < highest || overlaps(run, ends) {
			wrong++
		}
		highest = max(highest, run.Token)
		ends[ownerOf(run)] = max(ends[ownerOf(run)], run.EndNanos)
	}
	return wrong
}

func overlaps(run backend.Run, ends map[owner]int64) bool {
	for other, end := range ends {
		if other != ownerOf(run) && run.StartNanos < end {
			return true
		}
	}
	return false
}

// ReadHistory reads the runs from a history file. A truncated line is an error: servers write each line
// with one system call, which killing the process does not interrupt.
func ReadHistory(path string) ([]backend.Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open history file")
	}
	defer func() { _ = file.Close() }() // read only
	var runs []backend.Run
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var run backend.Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return nil, errors.Wrapf(err, "decode history file %s, line %d", path, len(runs)+1)
		}
		runs = append(runs, run)
	}
	return runs, errors.Wrapf(lines.Err(), "read history file %s", path)
}
