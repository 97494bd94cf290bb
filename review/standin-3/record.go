package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is what the stand-ins sent, answered and ran, with the time since the start of the case.
type record struct {
	mu      sync.Mutex // guards the fields below
	out     io.Writer
	started time.Time
	broken  []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: io.MultiWriter(file, os.Stdout), started: time.Now()}, nil
}

// logf writes a line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that the rule was broken.
func (r *record) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// violations returns how often the rule was broken.
func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}
