// Package groupcall calls the leader of a log group, wherever it stands. It
// remembers each group's leader, follows hints to a new one, and tries the other
// control hosts in turn. Every call it makes must be idempotent, since a call
// whose answer is lost is made again.
package groupcall

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
)

// Errors of Call.
var (
	// ErrUnavailable means that no leader answered in time. The call may have
	// taken effect.
	ErrUnavailable = errors.New("no leader of the group answered in time")
	// ErrRefused means that the leader refused the call, and that it had no effect.
	ErrRefused = errors.New("the leader refused the call")
)

// Times of a call.
const (
	// attemptTimeout bounds the wait for one host, so that a silent connection
	// does not use up the whole time.
	attemptTimeout = 400 * time.Millisecond
	// roundPause is the wait after every host was tried.
	roundPause = 20 * time.Millisecond
)

// Target is one control host.
type Target interface {
	Call(ctx context.Context, kind int, body []byte) ([]byte, error)
}

// Caller calls leaders of groups. It is safe for concurrent use.
type Caller struct {
	targets map[string]Target
	order   []string // names of the targets, nearest first

	mu      sync.Mutex
	leaders map[string]string // guarded by mu; last known leader by group
}

// New returns a Caller of the given control hosts; order names them, nearest
// first.
func New(targets map[string]Target, order []string) *Caller {
	return &Caller{targets: targets, order: order, leaders: map[string]string{}}
}

// Call calls the group's leader and decodes its answer into reply. It fails with
// ErrRefused or ErrUnavailable.
func (c *Caller) Call(ctx context.Context, group string, kind int, request, reply any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	answer, err := c.try(ctx, group, kind, body)
	if err != nil {
		return err
	}
	return errors.Wrap(cbor.Unmarshal(answer, reply), "decode answer")
}

// try calls one host after the other until one answers as the leader.
func (c *Caller) try(ctx context.Context, group string, kind int, body []byte) ([]byte, error) {
	var last error
	for attempt := 0; ; attempt++ {
		name := c.candidate(group, attempt)
		answer, err := c.attempt(ctx, name, kind, body)
		if err == nil {
			c.setLeader(group, name)
			return answer, nil
		}
		last = err
		if refused(err) {
			return nil, errors.Wrapf(ErrRefused, "%s: %v", group, err)
		}
		c.learn(group, name, err)
		if (attempt+1)%len(c.order) == 0 && !sleep(ctx, roundPause) || ctx.Err() != nil {
			return nil, errors.Wrapf(ErrUnavailable, "%s: %v", group, last)
		}
	}
}

func (c *Caller) attempt(ctx context.Context, name string, kind int, body []byte) ([]byte, error) {
	target, ok := c.targets[name]
	if !ok {
		return nil, errors.Errorf("unknown control host %q", name)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return target.Call(ctx, kind, body)
}

// candidate returns the known leader, or the next host in turn.
func (c *Caller) candidate(group string, attempt int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader, ok := c.leaders[group]; ok {
		return leader
	}
	return c.order[attempt%len(c.order)]
}

func (c *Caller) setLeader(group, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = name
}

// learn takes the hint of a host that does not lead, and forgets a leader that
// failed.
func (c *Caller) learn(group, name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var remote *peer.Error
	if errors.As(err, &remote) && remote.Code == wire.CodeNotLeader && remote.Detail != name {
		if _, known := c.targets[remote.Detail]; known {
			c.leaders[group] = remote.Detail
			return
		}
	}
	delete(c.leaders, group)
}

func refused(err error) bool {
	var remote *peer.Error
	if !errors.As(err, &remote) {
		return false
	}
	return remote.Code == wire.CodeInvalid || remote.Code == wire.CodeConflict
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
