// Package bodybuffer bounds the memory for message bodies that are read before they are passed on.
//
// A Pool is shared by all bodies of a process. The first bytes of each body are always read; what follows only as long
// as the pool has memory for it. The rest of a body that was not read completely is to be passed on as it arrives.
// A pool may be a part of the memory budget of the process (internal/membudget).
package bodybuffer

import (
	"io"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/galenalug/galenalug/internal/membudget"
)

const (
	// MinBytes is the part of a body that is always read, bytes.
	MinBytes = 16 << 10
	// DefaultBytes is the memory of a Pool for all bodies beyond MinBytes, bytes.
	DefaultBytes = 16 << 20
)

// Pool is the memory for bodies. It is safe for concurrent use.
type Pool struct {
	size   int64 // bytes
	bytes  *semaphore.Weighted
	budget *membudget.Budget // nil if the pool is no part of one
}

// NewPool returns a pool of a number of bytes.
func NewPool(size int64) *Pool { return &Pool{size: size, bytes: semaphore.NewWeighted(size)} }

// budgetShare is the part of a budget that a pool may take, as a divisor.
const budgetShare = 2

// NewPoolOf returns a pool that is a part of a budget, and has at most DefaultBytes.
func NewPoolOf(budget *membudget.Budget) *Pool {
	p := NewPool(min(budget.Size()/budgetShare, DefaultBytes))
	p.budget = budget
	return p
}

// tryTake takes memory, and reports whether there was enough.
func (p *Pool) tryTake(bytes int64) bool {
	if !p.bytes.TryAcquire(bytes) {
		return false
	}
	if p.budget != nil && !p.budget.TryTake(membudget.ResponseBodies, bytes) {
		p.bytes.Release(bytes)
		return false
	}
	return true
}

func (p *Pool) giveBack(bytes int64) {
	p.charge(-bytes)
	p.bytes.Release(bytes)
}

// charge counts the first part of a body, which is read even if there is no memory for it.
func (p *Pool) charge(bytes int64) {
	if p.budget != nil {
		p.budget.Charge(membudget.ResponseBodies, bytes)
	}
}

// Idle reports whether no body takes memory of the pool.
func (p *Pool) Idle() bool {
	idle := p.bytes.TryAcquire(p.size)
	if idle {
		p.bytes.Release(p.size)
	}
	return idle
}

// Start is the part of a body that was read.
type Start struct {
	Data     []byte
	Complete bool   // there is no more
	Release  func() // returns the memory; must be called once
}

// Read reads the start of a body of the given length, -1 if that is not known, up to a limit. After an error nothing
// needs to be released.
func (p *Pool) Read(body io.Reader, length, limit int64) (Start, error) {
	limit = partOf(length, limit)
	firstBytes := min(limit, MinBytes)
	p.charge(firstBytes)
	first := Start{Release: func() { p.charge(-firstBytes) }}
	if err := first.extend(body, length, firstBytes); err != nil {
		first.Release()
		return Start{}, err
	}
	if first.Complete || limit <= MinBytes || !p.tryTake(limit) {
		return first, nil
	}
	first.Release()
	start := Start{Data: first.Data, Release: func() { p.giveBack(limit) }}
	if err := start.extend(body, length, limit); err != nil {
		start.Release()
		return Start{}, err
	}
	return start, nil
}

// Extend reads the rest of a body behind its start, up to a limit for both. Data is nil if there is no memory for them. After an
// error nothing needs to be released.
func (p *Pool) Extend(start []byte, rest io.Reader, length, limit int64) (Start, error) {
	limit = partOf(length, limit)
	if !p.tryTake(limit) {
		return Start{}, nil
	}
	whole := Start{Data: start, Release: func() { p.giveBack(limit) }}
	if err := whole.extend(rest, length, limit); err != nil {
		whole.Release()
		return Start{}, err
	}
	return whole, nil
}

// partOf returns the size of the part of a body that is within a limit, as far as it is known.
func partOf(length, limit int64) int64 {
	if length < 0 {
		return limit
	}
	return min(limit, length)
}

// extend reads the body up to a size into memory of that size.
func (s *Start) extend(body io.Reader, length, size int64) error {
	data := make([]byte, size)
	n, ended, err := readUntilFull(body, data, copy(data, s.Data))
	s.Data, s.Complete = data[:n], ended || int64(n) == length
	return err
}

// readUntilFull fills data from its nth byte on. It returns the number of bytes in data, and whether the reader has
// ended. A body that breaks off is an error.
func readUntilFull(reader io.Reader, data []byte, n int) (filled int, ended bool, err error) {
	for n < len(data) {
		read, err := reader.Read(data[n:])
		n += read
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}
