// Package membudget bounds the memory that all clients of a process hold together: heads, request bodies and response
// bodies.
//
// A Budget is shared by all connections of a process. What one request holds is an Account. Memory is taken as bytes
// arrive, not by the length that a client announces. When the budget is short, accounts that have made no progress for
// StallTime give way, the one without progress for longest first; if there is none, the account that asks for memory
// gets none. An account whose request is at a server doesn't give way.
//
// An account that holds much can't use the last quarter of the budget, so that small requests are served while large
// ones are refused.
package membudget

import (
	"sync"
	"time"
)

const (
	// StallTime is how long an account must have been without progress before it gives way to others.
	StallTime = time.Second
	// ProgressBytes is how many bytes count as progress. A client that sends a few bytes from time to time makes none;
	// one on a line of 2 kB/s makes some every half second.
	ProgressBytes = 1 << 10
	// SmallBytes is what an account may hold and still use the whole budget, bytes. It has room for the head and the
	// first part of the body of an ordinary request.
	SmallBytes = 64 << 10
	// largeShare is the share of the budget that accounts beyond SmallBytes may fill, in quarters.
	largeShare = 3
)

// Kind is a use of memory.
type Kind int

// The uses of memory.
const (
	Heads Kind = iota
	RequestBodies
	ResponseBodies
	numKinds
)

// Kinds lists all uses of memory.
var Kinds = []Kind{Heads, RequestBodies, ResponseBodies}

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [numKinds]string{"heads", "request_bodies", "response_bodies"}[k]
}

// Budget is the memory of a process for its clients. It is safe for concurrent use.
type Budget struct {
	size int64 // bytes

	mu       sync.Mutex // guards the fields below, and those of all accounts; no other lock is acquired while it is held
	total    int64
	held     [numKinds]int64
	accounts map[*Account]struct{}
}

// New returns a budget of a number of bytes.
func New(size int64) *Budget { return &Budget{size: size, accounts: map[*Account]struct{}{}} }

// Size returns the size of the budget, bytes.
func (b *Budget) Size() int64 { return b.size }

// Held returns the memory in use of a kind, bytes.
func (b *Budget) Held(kind Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[kind]
}

// TryTake takes memory that belongs to no account, and reports whether there was enough. Nobody gives way to it.
func (b *Budget) TryTake(kind Kind, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total+bytes > b.size*largeShare/4 {
		return false
	}
	b.add(kind, bytes)
	return true
}

// Charge takes memory that is in use already, even beyond the size.
func (b *Budget) Charge(kind Kind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(kind, bytes)
}

// Return returns memory that TryTake or Charge has taken.
func (b *Budget) Return(kind Kind, bytes int64) { b.Charge(kind, -bytes) }

// add changes what is in use. The caller holds mu.
func (b *Budget) add(kind Kind, bytes int64) {
	b.held[kind] += bytes
	b.total += bytes
}

// Account is what one request of a client holds.
type Account struct {
	budget *Budget
	evict  func()

	held     [numKinds]int64
	total    int64
	moved    int64         // bytes since progressAt
	progress time.Duration // when the client last made progress
	atServer bool
	evicted  bool
	closed   bool
}

// Open returns an account. evict is called once, without a lock held, if the account has to give way: it must let the
// request end soon, and may not block.
func (b *Budget) Open(now time.Duration, evict func()) *Account {
	a := &Account{budget: b, evict: evict, progress: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Take takes memory, and reports whether there was enough.
func (a *Account) Take(now time.Duration, kind Kind, bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	if a.evicted || a.closed {
		b.mu.Unlock()
		return false
	}
	limit := b.size
	if a.total+bytes > SmallBytes {
		limit = b.size * largeShare / 4
	}
	var victims []*Account
	for b.total+bytes > limit {
		victim := b.mostStalled(now, a)
		if victim == nil {
			break
		}
		victims = append(victims, victim)
		victim.release()
		victim.evicted = true
	}
	enough := b.total+bytes <= limit
	if enough {
		a.add(kind, bytes)
	}
	b.mu.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
	return enough
}

// TryTake takes memory for work that can wait, and reports whether there was enough. Nobody gives way to it, and it leaves
// the last quarter of the budget to others.
func (a *Account) TryTake(kind Kind, bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted || a.closed || b.total+bytes > b.size*largeShare/4 {
		return false
	}
	a.add(kind, bytes)
	return true
}

// add changes what the account holds. The caller holds mu.
func (a *Account) add(kind Kind, bytes int64) {
	a.held[kind] += bytes
	a.total += bytes
	a.budget.add(kind, bytes)
}

// mostStalled returns the account that gives way first, or nil. The caller holds mu.
func (b *Budget) mostStalled(now time.Duration, except *Account) *Account {
	var found *Account
	for a := range b.accounts {
		if a == except || a.evicted || a.atServer || a.total == 0 || now-a.progress < StallTime {
			continue
		}
		if found == nil || a.progress < found.progress {
			found = a
		}
	}
	return found
}

// Moved records that bytes came from the client, or that it took some.
func (a *Account) Moved(now time.Duration, bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.moved += bytes
	if a.moved >= ProgressBytes {
		a.moved, a.progress = 0, now
	}
}

// SetAtServer states whether the request is at a server, so that the client is not what it waits for.
func (a *Account) SetAtServer(now time.Duration, atServer bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.atServer, a.progress = atServer, now
}

// Evicted reports whether the account had to give way. What it held counts as returned.
func (a *Account) Evicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Close returns all memory of the account.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.release()
	delete(a.budget.accounts, a)
}

// release returns what the account holds. The caller holds mu.
func (a *Account) release() {
	for kind, bytes := range a.held {
		a.budget.add(Kind(kind), -bytes)
	}
	a.held, a.total = [numKinds]int64{}, 0
}
