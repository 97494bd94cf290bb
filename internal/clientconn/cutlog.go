package clientconn

import (
	"time"

	"github.com/apex/log"
)

// cutLogInterval is the least time between two log lines of one cause. Thousands of connections may be refused
// in a second.
const cutLogInterval = time.Second

// cutLine is a log line about clients that were cut off for one cause.
type cutLine struct {
	cause  Cause
	count  int        // clients for which it stands
	fields log.Fields // of the last one
}

// cutLog decides when a log line about clients that are cut off is due. The first client of a cause is logged at once,
// and those that follow within cutLogInterval together in a later line. The zero value has logged nothing. It is not
// safe for concurrent use.
type cutLog struct {
	byCause map[Cause]*cutState
}

// cutState is the state of a cause.
type cutState struct {
	loggedAt time.Time
	pending  cutLine // count is 0 if there is none
}

// add counts a client that is cut off, and returns the lines that are due.
func (l *cutLog) add(now time.Time, cause Cause, fields log.Fields) []cutLine {
	if l.byCause == nil {
		l.byCause = map[Cause]*cutState{}
	}
	state := l.byCause[cause]
	if state == nil {
		state = &cutState{}
		l.byCause[cause] = state
	}
	state.pending = cutLine{cause: cause, count: state.pending.count + 1, fields: fields}
	return l.due(now)
}

// due returns the lines that are due.
func (l *cutLog) due(now time.Time) []cutLine {
	var lines []cutLine
	for _, state := range l.byCause {
		if state.pending.count > 0 && now.Sub(state.loggedAt) >= cutLogInterval {
			lines = append(lines, state.pending)
			state.loggedAt, state.pending = now, cutLine{}
		}
	}
	return lines
}
