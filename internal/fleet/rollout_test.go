package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against acknowledgements before the gateways have the configuration: one gateway reports it,
// another one, with a lease on the old version, no longer answers.
func TestAcknowledgementWaitsForGateways(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	c.putUntilAccepted(put(0, 1))
	answering, silent := c.subscribeStub(leader, "answering"), c.subscribeStub(leader, "silent")
	reportConfig(t, answering, 1)
	if reply := reportConfig(t, silent, 1); reply.LeaseMillis != 5000 {
		t.Errorf("lease: got %d ms, want the bound of 2500 ms and 2500 ms", reply.LeaseMillis)
	}
	leased := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := leader.Put(ctx, put(1, 2)); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("put while two gateways use version 1: got error %v, want %v", err, ErrUnknownOutcome)
	}
	if reply := reportConfig(t, answering, 2); reply.LeaseMillis == 0 {
		t.Error("no lease on the newest version before its acknowledgement")
	}
	reportConfig(t, silent, 1)
	if _, err := leader.Put(context.Background(), put(1, 2)); err != nil {
		t.Fatal(err)
	}
	if waited := time.Since(leased); waited < maxAcknowledgeDelay {
		t.Errorf("acknowledged %v after the silent gateway's lease began, want at least %v", waited, maxAcknowledgeDelay)
	}
}

// Guards against a new leader that acknowledges a change at once, although a gateway that it doesn't
// know may hold a lease on the former configuration.
func TestNewLeaderWaitsForLeasesOfItsPredecessor(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	killed := time.Now()
	c.kill(c.leader())
	c.wait("a second leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(1, 2))
	if waited := time.Since(killed); waited < maxAcknowledgeDelay {
		t.Errorf("acknowledged %v after the loss of the leader, want at least %v", waited, maxAcknowledgeDelay)
	}
}

// Guards against calls of operators that delay the stop of a leader: a waiting acknowledgement ends
// with the leadership.
func TestWaitingAcknowledgementEndsWithLeadership(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	c.putUntilAccepted(put(0, 1))
	reportConfig(t, c.subscribeStub(leader, "silent"), 1)
	result := make(chan error, 1)
	go func() {
		_, err := leader.Put(context.Background(), put(1, 2))
		result <- err
	}()
	c.wait("the change to be committed", func() bool { return leader.state.config().Version == 2 })
	started := time.Now()
	leader.onLeader(false, 0)
	if err := <-result; !errors.Is(err, ErrUnknownOutcome) || time.Since(started) > time.Second {
		t.Errorf("error %v after %v, want %v at once", err, time.Since(started), ErrUnknownOutcome)
	}
}
