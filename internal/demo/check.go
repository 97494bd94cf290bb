// Package demo drives the demo's load and checks what the callers were told
// against the backend servers' histories.
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

// Outcome is what a caller was told about one request.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// stillFailing marks a key without an answer at the end of the load.
const stillFailing Outcome = "still failing"

// Order is what the caller was told about one idempotency key over all its tries.
type Order struct {
	IdempotencyKey string
	Outcome        Outcome
}

// Faults are the faults found in the histories. All counts should be 0.
type Faults struct {
	WrongOwner int // runs that broke the ownership of their slot
	Doubled    int // idempotency keys that ran more than once
	Untruthful int // orders refused as not run that ran
	Missing    int // orders answered that ran on no server
	Stray      int // idempotency keys that ran and that nobody sent
}

// Any reports whether a fault was found.
func (f Faults) Any() bool { return f != Faults{} }

// Check compares what callers were told with the servers' runs.
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
			faults.Doubled++
		}
		if count == 0 && order.Outcome == Answered {
			faults.Missing++
		}
		if count > 0 && order.Outcome == NotRun {
			faults.Untruthful++
		}
	}
	faults.Stray = len(counts)
	return faults
}

// owner is one incarnation of a server.
type owner struct{ server, incarnation string }

func ownerOf(run backend.Run) owner { return owner{run.Server, run.Incarnation} }

// wrongOwners counts the runs that overlap with a run of the same slot on another
// server, or that follow a run of the same slot under a higher token.
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
	ends := map[owner]int64{} // latest end of each owner's runs so far
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

// ReadHistory reads the runs of one history file. A line that is cut off
// is an error: servers write a line by one call, which a kill does not cut.
func ReadHistory(path string) ([]backend.Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open history")
	}
	defer func() { _ = file.Close() }() // read only
	var runs []backend.Run
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var run backend.Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return nil, errors.Wrapf(err, "history %s, line %d", path, len(runs)+1)
		}
		runs = append(runs, run)
	}
	return runs, errors.Wrap(lines.Err(), "read history")
}
