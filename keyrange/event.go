package keyrange

import "time"

// EventKind is the kind of a change of key ownership.
type EventKind string

// Kinds of events.
const (
	EventGranted  EventKind = "granted"       // free keys were granted to a server
	EventRevoking EventKind = "leaving"       // a server is told to release keys
	EventReleased EventKind = "released"      // a server released keys or does not report them
	EventExpired  EventKind = "lease-expired" // a holder's lease expired
	EventAdopted  EventKind = "adopted"       // a server reported keys that an earlier leader granted
	EventEnded    EventKind = "server-ended"  // the holder's process ended
	EventAccepted EventKind = "accepted"      // the server has answered the call that granted the keys
)

// Event is one change of key ownership.
type Event struct {
	Kind    EventKind
	Service string
	From    int64
	To      int64
	Server  string
	Token   uint64
	Age     time.Duration // since the server's last heartbeat
	Load    float64       // of the keys, requests per second
}

// maxEvents bounds the number of events that are kept until the next call of Events.
const maxEvents = 256

// Events returns the events since the last call, and the number of events that were dropped
// because of maxEvents.
func (c *Coordinator) Events() (events []Event, dropped int) {
	events, dropped = c.events, c.droppedEvents
	c.events, c.droppedEvents = nil, 0
	return events, dropped
}

// recordEvent records that the keys of a segment have changed.
func (c *Coordinator) recordEvent(now time.Duration, kind EventKind, svc *service, seg *segment) {
	svc.changes++
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
