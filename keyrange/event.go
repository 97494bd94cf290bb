package keyrange

import "time"

// EventKind says what happened to a run of keys.
type EventKind string

// Kinds of events.
const (
	EventGranted  EventKind = "granted"       // a server got free keys
	EventRevoking EventKind = "leaving"       // a server is told to give keys back
	EventReleased EventKind = "released"      // a server gave keys back
	EventExpired  EventKind = "lease-expired" // a holder's lease ran out
	EventAdopted  EventKind = "adopted"       // keys of an earlier leader's grant were reported
	EventEnded    EventKind = "server-ended"  // the holder's process ended
)

// Event is one change of who holds keys.
type Event struct {
	Kind    EventKind
	Service string
	From    int64
	To      int64
	Server  string
	Token   uint64
	Age     time.Duration // since the server's last heartbeat
	Load    float64       // requests a second of the keys
}

// maxEvents bounds the events that wait for Events.
const maxEvents = 256

// Events returns what happened since the last call, and how many events were
// dropped because too many waited.
func (c *Coordinator) Events() (events []Event, dropped int) {
	events, dropped = c.events, c.droppedEvents
	c.events, c.droppedEvents = nil, 0
	return events, dropped
}

func (c *Coordinator) recordEvent(now time.Duration, kind EventKind, svc *service, seg *segment) {
	if len(c.events) >= maxEvents {
		c.droppedEvents++
		return
	}
	e := Event{
		Kind: kind, Service: svc.name, From: seg.from, To: seg.to, Server: seg.holder, Token: seg.token,
		Load: svc.load.rangeRate(seg.from, seg.to),
	}
	if s := c.servers[seg.holder]; s != nil {
		e.Age = now - s.lastSeen
	}
	c.events = append(c.events, e)
}
