package demo

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Mark says what a script did to the processes, and when.
type Mark struct {
	At   time.Time
	Name string
}

// Window is what happened from one mark to the next one.
type Window struct {
	Mark    Mark
	Counts  map[Outcome]int // requests sent in the window, by outcome
	Longest time.Duration   // longest unavailability of a key to one caller that began in the window
	Gap     time.Duration   // longest part of one without an answer to any caller
}

// readMarks reads lines of Unix seconds and a name, oldest first.
func readMarks(path string) ([]Mark, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read marks")
	}
	var marks []Mark
	for line := range strings.Lines(string(content)) {
		at, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		seconds, err := strconv.ParseFloat(at, 64)
		if err != nil {
			return nil, errors.Wrap(err, "read marks")
		}
		marks = append(marks, Mark{At: time.UnixMicro(int64(seconds * 1e6)), Name: name})
	}
	return marks, nil
}

// windowsOf assigns each event to the last mark before it. Events before the first
// mark are left out.
func windowsOf(marks []Mark, events []event) []Window {
	windows := make([]Window, 0, len(marks))
	for _, mark := range marks {
		windows = append(windows, Window{Mark: mark, Counts: map[Outcome]int{}})
	}
	for _, e := range events {
		after := slices.IndexFunc(marks, func(mark Mark) bool { return mark.At.After(e.at) })
		if after < 0 {
			after = len(marks)
		}
		if after == 0 {
			continue
		}
		window := &windows[after-1]
		window.Counts[e.outcome]++
		window.Longest = max(window.Longest, e.unavailable)
		window.Gap = max(window.Gap, e.gap)
	}
	return windows
}

func printWindows(w io.Writer, windows []Window) error {
	if len(windows) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "FAULT\tANSWERED\tNOT RUN\tUNKNOWN\tLONGEST TO ONE CALLER\tTO ALL CALLERS")
	for _, window := range windows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%v\t%v\n", window.Mark.Name, window.Counts[Answered],
			window.Counts[NotRun], window.Counts[Unknown], window.Longest.Round(time.Millisecond),
			window.Gap.Round(time.Millisecond))
	}
	return errors.Wrap(table.Flush(), "print windows")
}
