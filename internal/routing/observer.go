package routing

import (
	"sync"
	"time"

	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/wire"
)

// Observer collects what this host sees of backend servers, between two renewals.
type Observer struct {
	table *Table

	mu       sync.Mutex
	evidence map[sessionKey]*wire.Evidence
	loads    map[loadKey]int
}

type loadKey struct {
	group   string
	service string
	slot    int
}

func newObserver(table *Table) *Observer {
	return &Observer{table: table, evidence: map[sessionKey]*wire.Evidence{}, loads: map[loadKey]int{}}
}

// Answered reports an answer.
func (o *Observer) Answered(server entry.Server, _ time.Duration) {
	o.count(server, func(e *wire.Evidence) { e.Answered++ })
}

// TimedOut reports a request without an answer within its deadline.
func (o *Observer) TimedOut(server entry.Server) {
	o.count(server, func(e *wire.Evidence) { e.TimedOut++ })
}

// ConnectionFailed reports a connection that was refused or broke.
func (o *Observer) ConnectionFailed(server entry.Server) {
	o.count(server, func(e *wire.Evidence) { e.ConnectionErrors++ })
}

// Routed reports one request for a key.
func (o *Observer) Routed(service string, slot int, key string) {
	group, _, err := o.table.Home(service, key)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loads[loadKey{group, service, slot}]++
}

func (o *Observer) count(server entry.Server, add func(*wire.Evidence)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := sessionKey{server.Group, server.Session}
	evidence := o.evidence[key]
	if evidence == nil {
		evidence = &wire.Evidence{Session: server.Session}
		o.evidence[key] = evidence
	}
	add(evidence)
}

// take returns and forgets what was seen of a group's servers.
func (o *Observer) take(group string) ([]wire.Evidence, []wire.SlotLoad) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var evidence []wire.Evidence
	for key, seen := range o.evidence {
		if key.group == group {
			evidence = append(evidence, *seen)
			delete(o.evidence, key)
		}
	}
	var loads []wire.SlotLoad
	for key, requests := range o.loads {
		if key.group == group {
			loads = append(loads, wire.SlotLoad{Service: key.service, Slot: key.slot, Requests: requests})
			delete(o.loads, key)
		}
	}
	return evidence, loads
}
