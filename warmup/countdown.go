package warmup

import "time"

// Countdown is what one gateway knows of the time for which the current process of a server is slower since it warms up.
// Unlike Evidence it limits no requests. The zero value stands for a warm server. It is not safe for concurrent use.
type Countdown struct {
	until   time.Duration
	byReply bool // until is from a response, which is newer than what the table says
}

// Listed records for how long the server warms up according to the table; 0 if it is warm.
func (c *Countdown) Listed(now, left time.Duration) {
	if !c.byReply {
		c.until = now + left
	}
}

// Respond records a response.
func (c *Countdown) Respond(now time.Duration, r Response) {
	if r.SameProcess && r.Known {
		c.until, c.byReply = now+r.Left, true
	}
}

// WarmingUp reports whether the server warms up.
func (c *Countdown) WarmingUp(now time.Duration) bool { return now < c.until }

// Phase is the state of a server while it ran a request.
type Phase int

// Phases.
const (
	Warm  Phase = iota
	Mixed       // its warm-up ended meanwhile
	WarmingUp
)

// PhaseOf returns the phase of a request, according to whether the server was warming up when it was sent, as far as
// was known then, and at its end. A process warms up from its start on, so that one that still does at the end did before.
func PhaseOf(atStart, atEnd bool) Phase {
	switch {
	case atEnd:
		return WarmingUp
	case atStart:
		return Mixed
	}
	return Warm
}
