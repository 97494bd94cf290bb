package trace

import (
	"sync"
	"time"
)

// historyLength is the number of entries that a History keeps. They cover a few minutes on a busy
// control host and take a few hundred kilobytes.
const historyLength = 1024

// Timestamped is an entry of a History with the wall-clock time at which it was added.
type Timestamped[T any] struct {
	At    time.Time `json:"at"`
	Entry T         `json:"entry"`
}

// History is a ring buffer of the newest entries. Its zero value is empty.
type History[T any] struct {
	mu      sync.Mutex // guards entries and next; no other lock is acquired while it is held
	entries []Timestamped[T]
	next    int // index of the oldest entry once the history is full
}

// Add adds an entry. It replaces the oldest one if the history is full.
func (h *History[T]) Add(at time.Time, entry T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) < historyLength {
		h.entries = append(h.entries, Timestamped[T]{at, entry})
		return
	}
	h.entries[h.next] = Timestamped[T]{at, entry}
	h.next = (h.next + 1) % historyLength
}

// All returns a copy of the entries, oldest first.
func (h *History[T]) All() []Timestamped[T] {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(append([]Timestamped[T]{}, h.entries[h.next:]...), h.entries[:h.next]...)
}
