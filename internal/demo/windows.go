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

// Mark is the time and name of an action of a script, such as killing a process.
type Mark struct {
	At   time.Time
	Name string
}

// Window holds the results from one mark to the next.
type Window struct {
	Mark         Mark
	Counts       map[Outcome]int // requests sent in the window, by outcome
	LongestToOne time.Duration   // longest unavailability of a key to one caller, of those that started in the window
	LongestToAll time.Duration   // longest part of such an unavailability without a response to any caller
}

// readMarks reads marks, oldest first. Each line holds the time in Unix seconds and the name.
func readMarks(path string) ([]Mark, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read file of marks")
	}
	var marks []Mark
	for line := range strings.Lines(string(content)) {
		at, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		seconds, err := strconv.ParseFloat(at, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "parse time of mark in line %q", line)
		}
		marks = append(marks, Mark{At: time.UnixMicro(int64(seconds * 1e6)), Name: name})
	}
	return marks, nil
}

// windowsOf assigns each event to the window of the last mark before it. Events before the first mark
// are ignored.
func windowsOf(marks []Mark, events []event) []Window {
	windows := make([]Window, 0, len(marks))
	for _, mark := range marks {
		windows = append(windows, Window{Mark: mark, Counts: map[Outcome]int{}})
	}
	for _, e := range events {
		next := slices.IndexFunc(marks, func(mark Mark) bool { return mark.At.After(e.at) })
		if next < 0 {
			next = len(marks)
		}
		if next == 0 {
			continue
		}
		window := &windows[next-1]
		window.Counts[e.outcome]++
		window.LongestToOne = max(window.LongestToOne, e.unavailable)
		window.LongestToAll = max(window.LongestToAll, e.unavailableToAll)
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
			window.Counts[NotRun], window.Counts[Unknown], window.LongestToOne.Round(time.Millisecond),
			window.LongestToAll.Round(time.Millisecond))
	}
	return errors.Wrap(table.Flush(), "print windows")
}
