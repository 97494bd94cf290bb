package entry

import (
	"sync"
	"time"
)

// gateIdleTimeout is how long an unused gate is kept.
const gateIdleTimeout = time.Minute

// gates holds the gate of each backend server session.
// Lock order: gates.mu before gate.mu.
type gates struct {
	now         func() time.Duration
	queueLength int

	mu        sync.Mutex // guards bySession
	bySession map[sessionKey]*gate
}

// sessionKey identifies a session across groups: session ids are unique only within a group.
type sessionKey struct {
	group   string
	session uint64
}

func sessionKeyOf(server Server) sessionKey { return sessionKey{server.Group, server.Session} }

func newGates(now func() time.Duration, queueLength int) *gates {
	return &gates{now: now, queueLength: queueLength, bySession: map[sessionKey]*gate{}}
}

func (g *gates) gateFor(server Server) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := sessionKeyOf(server)
	found := g.bySession[key]
	if found == nil {
		found = newGate(server, g.queueLength, g.now)
		found.lastUsed = g.now()
		g.bySession[key] = found
	}
	return found
}

func (g *gates) has(group string, session uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bySession[sessionKey{group, session}] != nil
}

// sweep removes gates that have not been used for gateIdleTimeout.
func (g *gates) sweep() {
	before := g.now() - gateIdleTimeout
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, gate := range g.bySession {
		if gate.unusedSince(before) {
			delete(g.bySession, key)
		}
	}
}

func (g *gates) each(visit func(key sessionKey, state gateState)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, gate := range g.bySession {
		visit(key, gate.state())
	}
}
