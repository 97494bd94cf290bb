package backend

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Run is one executed request. The history file has one run per line, as JSON.
type Run struct {
	Server         string    `json:"server"`
	Incarnation    string    `json:"incarnation"`
	Slot           int       `json:"slot"`
	Token          uint64    `json:"token"`
	Key            string    `json:"key"`
	Customer       string    `json:"customer"`
	IdempotencyKey string    `json:"idempotency_key"`
	RequestID      string    `json:"request_id"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	StartNanos     int64     `json:"start_ns"` // CLOCK_MONOTONIC, comparable between processes on one host
	EndNanos       int64     `json:"end_ns"`   // CLOCK_MONOTONIC
	StartedAt      time.Time `json:"started_at"`
	EndedAt        time.Time `json:"ended_at"`
}

// monotonicNanos reads CLOCK_MONOTONIC, which is the same for all processes on a host.
func monotonicNanos() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return now.Nano()
}

// history appends runs to a file, or discards them if there is no file.
type history struct {
	mu   sync.Mutex
	file *os.File
}

func openHistory(path string) (*history, error) {
	if path == "" {
		return &history{}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open history file")
	}
	return &history{file: file}, nil
}

func (h *history) add(run Run) error {
	if h.file == nil {
		return nil
	}
	line, err := json.Marshal(run)
	if err != nil {
		return errors.Wrap(err, "encode run")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err = h.file.Write(append(line, '\n'))
	return errors.Wrap(err, "append to history file")
}

func (h *history) close() error {
	if h.file == nil {
		return nil
	}
	return errors.Wrap(h.file.Close(), "close history file")
}
