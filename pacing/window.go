package pacing

import "time"

const (
	// targetQueueing is the queueing delay on the link up to which a window grows. RFC 6817, section
	// 2.4.2, allows at most 100 ms.
	targetQueueing = 100 * time.Millisecond
	// windowStep is by how much a window grows in a round trip, bytes.
	windowStep = 16 << 10
	// minWindow is the smallest window, bytes. Below the size of a request, it limits the rate at which
	// such requests are sent one at a time.
	minWindow = 8 << 10
	// initialWindow is the window before the first acknowledgement, bytes.
	initialWindow = 128 << 10
	// baseHistory is how long the smallest delay of an interval counts. Routes may change.
	baseHistory = 5 * time.Minute
)

// Window bounds the bulk bytes that a host has under way over a link that it shares with others, without
// knowing the link's rate: by the queueing delay that its own bytes meet, as LEDBAT++ does
// (draft-irtf-iccrg-ledbat-plus-plus, section 4.2; RFC 6817). Hosts that do the same keep the link's queue
// short for interactive requests. The window decides on whole requests: one that does not fit can still be
// sent elsewhere, or refused. Use NewWindow.
type Window struct {
	size       float64 // bytes
	inFlight   int     // bytes
	base       baseDelay
	queueing   time.Duration // of the latest sample
	sentAt     time.Duration // of the latest request
	shrunkAt   time.Duration
	everShrunk bool
}

// NewWindow returns a window with nothing under way.
func NewWindow() *Window { return &Window{size: initialWindow} }

// Wait returns how long a request of the given size would have to wait if the given bytes are sent before
// it; 0 if it may be sent now.
func (w *Window) Wait(now time.Duration, bytes, ahead int) time.Duration {
	excess := float64(w.inFlight+ahead+bytes) - w.size
	switch {
	case excess <= 0:
		return 0
	case w.inFlight+ahead > 0:
		return w.transferTime(excess)
	case float64(bytes) > w.size:
		return max(0, w.sentAt+w.transferTime(excess)-now)
	}
	return 0
}

// transferTime returns the time in which the window lets the given bytes pass.
func (w *Window) transferTime(bytes float64) time.Duration {
	return time.Duration(bytes / w.size * float64(w.roundTrip()))
}

// roundTrip returns the time from a write to its acknowledgement, as far as it is known.
func (w *Window) roundTrip() time.Duration {
	return max(w.base.value()+w.queueing, time.Millisecond)
}

// Send counts bytes as under way.
func (w *Window) Send(now time.Duration, bytes int) {
	w.inFlight += bytes
	w.sentAt = now
}

// Remove counts bytes as no longer under way: they were acknowledged, or given up.
func (w *Window) Remove(bytes int) { w.inFlight = max(0, w.inFlight-bytes) }

// Acknowledged adjusts the window to a request of the given size whose first bytes were acknowledged, or
// are still not acknowledged, after the given delay. It must be called before Remove.
func (w *Window) Acknowledged(now time.Duration, bytes int, delay time.Duration) {
	w.base.observe(now, delay)
	w.queueing = delay - w.base.value()
	off := float64(w.queueing)/float64(targetQueueing) - 1
	if off > 0 {
		w.shrink(now, off)
		return
	}
	if 2*float64(w.inFlight) >= w.size { // a window that is not used says nothing about the link
		w.size += windowStep * min(1, float64(bytes)/w.size)
	}
}

// shrink reduces the window in proportion to the excess of the queueing delay, at most by half and at most
// once in a round trip.
func (w *Window) shrink(now time.Duration, off float64) {
	if w.everShrunk && now-w.shrunkAt < w.roundTrip() {
		return
	}
	w.everShrunk, w.shrunkAt = true, now
	w.size = max(minWindow, w.size-min(w.size/2, w.size*off))
}

// Size returns the window, bytes.
func (w *Window) Size() int { return int(w.size) }

// InFlight returns the bytes under way.
func (w *Window) InFlight() int { return w.inFlight }

// Queueing returns the queueing delay of the latest sample.
func (w *Window) Queueing() time.Duration { return w.queueing }

// Stalled reports whether a delay without an acknowledgement alone shows that the queue is too long.
func (w *Window) Stalled(delay time.Duration) bool {
	return w.base.known() && delay > w.base.value()+2*targetQueueing
}

// baseDelay is the smallest delay of the current and the previous interval of baseHistory.
type baseDelay struct {
	current, previous time.Duration // 0 for none
	since             time.Duration // start of the current interval
}

func (b *baseDelay) observe(now, delay time.Duration) {
	if now-b.since >= baseHistory {
		b.previous, b.current, b.since = b.current, 0, now
	}
	if b.current == 0 || delay < b.current {
		b.current = delay
	}
}

func (b *baseDelay) known() bool { return b.current > 0 || b.previous > 0 }

func (b *baseDelay) value() time.Duration {
	if b.previous == 0 || b.current > 0 && b.current < b.previous {
		return b.current
	}
	return b.previous
}
