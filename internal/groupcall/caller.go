// Package groupcall calls the leader of a replication group. It caches each group's leader, follows
// redirects to a new one, and otherwise tries the control hosts in turn. All calls must be
// idempotent, because a call whose reply is lost is retried.
package groupcall

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
)

// Errors of Call.
var (
	// ErrUnavailable means that no leader replied in time. The call may have taken effect.
	ErrUnavailable = errors.New("no leader of the group answered in time")
	// ErrRefused means that the leader rejected the call and that it had no effect.
	ErrRefused = errors.New("the leader refused the call")
)

const (
	// attemptTimeout limits one attempt, so that an unresponsive host does not use up the whole
	// deadline of the call.
	attemptTimeout = 400 * time.Millisecond
	// roundPause is the delay after a round of attempts, one for each host.
	roundPause = 20 * time.Millisecond
)

// Target sends calls to one control host.
type Target interface {
	Call(ctx context.Context, kind int, body []byte) ([]byte, error)
}

// Caller calls the leaders of groups. It is safe for concurrent use.
type Caller struct {
	targets map[string]Target
	order   []string // target names, nearest first

	mu      sync.Mutex
	leaders map[string]string // guarded by mu; last known leader by group
}

// New returns a Caller for the given control hosts. order lists their names, nearest first.
func New(targets map[string]Target, order []string) *Caller {
	return &Caller{targets: targets, order: order, leaders: map[string]string{}}
}

// Call calls the group's leader and decodes its reply into reply. A failed call returns ErrRefused
// or ErrUnavailable; other errors mean that the request or reply could not be encoded or decoded.
func (c *Caller) Call(ctx context.Context, group string, kind int, request, reply any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	encoded, err := c.tryHosts(ctx, group, kind, body)
	if err != nil {
		return err
	}
	return errors.Wrap(cbor.Unmarshal(encoded, reply), "decode reply")
}

// tryHosts calls one host after another until one replies as the leader.
func (c *Caller) tryHosts(ctx context.Context, group string, kind int, body []byte) ([]byte, error) {
	var lastErr error
	for attempt := 0; ; attempt++ {
		name := c.candidate(group, attempt)
		reply, err := c.attempt(ctx, name, kind, body)
		if err == nil {
			c.setLeader(group, name)
			return reply, nil
		}
		lastErr = err
		if refused(err) {
			return nil, errors.Wrapf(ErrRefused, "%s: %v", group, err)
		}
		c.updateLeader(group, name, err)
		if (attempt+1)%len(c.order) == 0 && !clock.Sleep(ctx, roundPause) || ctx.Err() != nil {
			return nil, errors.Wrapf(ErrUnavailable, "%s: %v", group, lastErr)
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

// candidate returns the cached leader, or the next host in turn if there is none.
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

// updateLeader caches the leader that a not-leader error names, or clears the cached leader after
// any other failure.
func (c *Caller) updateLeader(group, name string, err error) {
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

// refused reports whether err is a rejection that a retry would repeat.
func refused(err error) bool {
	var remote *peer.Error
	if !errors.As(err, &remote) {
		return false
	}
	return remote.Code == wire.CodeInvalid || remote.Code == wire.CodeConflict
}
