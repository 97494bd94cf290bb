package trace

import (
	"sync"
	"time"
)

// historyLength is the number of entries that a History keeps: some minutes of a
// busy control host, in a few hundred kilobytes.
const historyLength = 1024

// Stamped is an entry of a History with the time of day at which it was added.
type Stamped[T any] struct {
	At    time.Time `json:"at"`
	Entry T         `json:"entry"`
}

// History keeps the newest entries. Its zero value is empty.
type History[T any] struct {
	mu      sync.Mutex // guards entries; a leaf
	entries []Stamped[T]
	next    int // place of the oldest entry once the history is full
}

// Add adds an entry, in place of the oldest one if the history is full.
func (h *History[T]) Add(at time.Time, entry T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) < historyLength {
		h.entries = append(h.entries, Stamped[T]{at, entry})
		return
	}
	h.entries[h.next] = Stamped[T]{at, entry}
	h.next = (h.next + 1) % historyLength
}

// All returns the entries, the oldest first.
func (h *History[T]) All() []Stamped[T] {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(append([]Stamped[T]{}, h.entries[h.next:]...), h.entries[:h.next]...)
}
