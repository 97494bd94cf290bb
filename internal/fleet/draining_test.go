package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/keyrange"
)

// Guards against requests that reach a server after its drain time, since the leader that acknowledged its draining
// was lost, and the next one does not hear from the server.
func TestAcknowledgedDrainingOutlivesTheLeader(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	leader := c.leader()
	hb := keyrange.Heartbeat{Server: keyrange.Server{ID: "s1", StartMillis: 1, Service: "stock", Address: "s1:80", Slots: 6}}
	c.wait("the server to be known", func() bool {
		hb.Sequence++
		reply, err := leader.Heartbeat(t.Context(), hb)
		return err == nil && len(reply.Grants) > 0
	})
	for _, change := range []func(*keyrange.Server){
		func(s *keyrange.Server) { s.Service = "unknown" },
		func(s *keyrange.Server) { s.Address = "s2:80" },
	} {
		foreign := hb
		foreign.Server.Draining, foreign.Sequence = true, hb.Sequence+10
		change(&foreign.Server)
		if _, err := leader.Heartbeat(t.Context(), foreign); err != nil {
			t.Fatal(err)
		}
	}
	if leaves := leader.state.recordedLeaves(); len(leaves) != 0 {
		t.Errorf("recorded: %v, want nothing from heartbeats that s1 did not send", leaves)
	}
	hb.Server.Draining = true
	for range 2 {
		hb.Sequence++
		if _, err := leader.Heartbeat(t.Context(), hb); err != nil {
			t.Fatal(err)
		}
	}
	if leaves := leader.state.recordedLeaves(); len(leaves) != 1 {
		t.Errorf("recorded: %v, want the draining of s1 once", leaves)
	}
	foreign := hb
	foreign.Server.ID, foreign.Server.Service, foreign.Server.Address = "s2", "unknown", "s2:80"
	if _, err := leader.Heartbeat(t.Context(), foreign); err != nil {
		t.Fatal(err)
	}
	c.kill(leader)
	c.wait("the next leader to withdraw the server from the gateways", func() bool {
		next := c.leader()
		if next == nil {
			return false
		}
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.leading != nil && slices.Equal(next.leading.coordinator.Snapshot().RemovedServers, []string{"s1"})
	})
}

// Guards against a draining that is acknowledged and not known, because another heartbeat had a higher sequence number: the
// server would get requests after its drain time (review/6, second effect).
func TestDrainingInAnOutdatedHeartbeatIsRecorded(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	leader := c.leader()
	hb := keyrange.Heartbeat{Server: keyrange.Server{ID: "s1", StartMillis: 1, Service: "stock", Address: "s1:80", Slots: 6}, Sequence: 100}
	c.wait("the server to be known", func() bool {
		hb.Sequence++
		reply, err := leader.Heartbeat(t.Context(), hb)
		return err == nil && len(reply.Grants) > 0
	})
	hb.Sequence, hb.Server.Draining = 5, true
	if _, err := leader.Heartbeat(t.Context(), hb); err != nil {
		t.Fatal(err)
	}
	c.wait("the server to be withdrawn from the gateways", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return slices.Equal(leader.leading.coordinator.Snapshot().RemovedServers, []string{"s1"}) ||
			slices.ContainsFunc(leader.leading.coordinator.PublishedServers(), func(s keyrange.Server) bool { return s.ID == "s1" && s.Draining })
	})
}

// Guards against a leave that a control host reads long after it arrived, and that marks a process as leaving which has
// started since under the same ID.
func TestLateLeaveWithoutStartIsRefused(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	late := clock.Now() - maxLeaveAge - time.Second
	if err := leader.Leave(t.Context(), keyrange.Leave{ID: "s1"}, late); !errors.Is(err, ErrUnavailable) {
		t.Errorf("late leave that names no process: %v, want %v", err, ErrUnavailable)
	}
	if err := leader.Leave(t.Context(), keyrange.Leave{ID: "s1", StartMillis: 7}, late); err != nil {
		t.Errorf("late leave that names its process: %v", err)
	}
	if err := leader.Leave(t.Context(), keyrange.Leave{ID: "s2"}, clock.Now()); err != nil {
		t.Errorf("leave in time that names no process: %v", err)
	}
	left := leader.state.recordedLeaves()
	if len(left) != 2 || left[0].StartMillis != 7 || left[1].ReceivedMillis == 0 {
		t.Errorf("recorded: %+v, want s1 with its start time and s2 with the time of the call", left)
	}
}
