package ledger

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// attempt is one sender's attempt to run a request.
type attempt struct {
	begin  Begin
	number uint64 // attempt number; 0 until the sender may send
	ended  bool
}

// history records which attempts were permitted to send.
type history struct {
	owner  map[string]string        // by run, the nonce of the attempt that may have run
	active map[string]time.Duration // by run, the time of its last change
}

// cluster is a replicated ledger with the leader's clock. The follower is a second replica that the
// test restores from snapshots and swaps with the leader at random.
type cluster struct {
	leader, follower *Ledger
	clock            Clock
	now              time.Duration // real time, monotonic
	index            uint64
	attempts         []*attempt
	history          history
}

func (c *cluster) commit(t *rapid.T, command Command) Reply {
	c.index++
	data, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range []*Ledger{c.follower, c.leader} {
		decoded, err := DecodeCommand(data)
		if err != nil {
			t.Fatal(err)
		}
		if reply := l.Apply(c.index, decoded); l == c.leader {
			return reply
		}
	}
	return Reply{}
}

// begin proposes the Begin of an attempt. A lost reply is ignored.
func (c *cluster) begin(t *rapid.T, a *attempt, lost bool) {
	a.begin.At = c.clock.At(c.now)
	reply := c.commit(t, Command{Begin: &a.begin})
	if reply.State != StateNew || lost {
		return
	}
	run, nonce := a.begin.Key, string(a.begin.Nonce)
	owner := c.history.owner[run]
	if owner != "" && owner != nonce && c.now < c.history.active[run]+window {
		t.Fatalf("%s: attempt %s may run within the window of attempt %s", run, nonce, owner)
	}
	c.history.owner[run], c.history.active[run] = nonce, c.now
	a.number = reply.Attempt
}

func (c *cluster) finish(t *rapid.T, a *attempt, state State) {
	f := Finish{Service: "orders", Customer: "uniform", Key: a.begin.Key, Attempt: a.number, State: state, Status: 201, At: c.clock.At(c.now)}
	reply := c.commit(t, Command{Finish: &f})
	a.ended = true
	ownsRun := c.history.owner[a.begin.Key] == string(a.begin.Nonce)
	switch {
	case reply.State == StateNotRun && !ownsRun:
		t.Fatalf("%s: an attempt that does not own the run removed it", a.begin.Key)
	case reply.State == StateNotRun:
		delete(c.history.owner, a.begin.Key)
	case reply.Refusal == "" && reply.Attempt == a.number:
		c.history.active[a.begin.Key] = c.now
	}
}

const window = 600 * time.Second // that of DefaultLimits

func (c *cluster) step(t *rapid.T) {
	a := c.attempts[rapid.IntRange(0, len(c.attempts)-1).Draw(t, "try")]
	action := rapid.SampledFrom([]string{"try", "begin", "finish", "wait", "long wait", "elect", "restore", "move"}).Draw(t, "action")
	switch action {
	case "try":
		c.attempts = append(c.attempts, newAttempt(rapid.IntRange(1, 3).Draw(t, "run"), len(c.attempts)))
	case "begin":
		// Includes delayed duplicates of a Begin whose attempt has ended.
		c.begin(t, a, a.ended || rapid.Bool().Draw(t, "lost"))
	case "finish":
		if a.number != 0 {
			state := rapid.SampledFrom([]State{StateAnswered, StateUnknown, StateNotRun}).Draw(t, "state")
			if a.ended && state == StateNotRun {
				state = StateUnknown // no sender reports StateNotRun for an attempt that it ended before
			}
			c.finish(t, a, state)
		}
	case "wait":
		c.now += time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond
	case "long wait":
		c.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "s")) * time.Second
	case "elect":
		c.clock = NewClock(c.leader.Now(), c.now)
	case "restore":
		c.follower = restored(t, c.follower)
		c.leader, c.follower = c.follower, c.leader
	case "move":
		c.move(t)
	}
}

// move moves the slot to a new group, whose log index and logical time start at 0.
func (c *cluster) move(t *rapid.T) {
	next := c.leader.SlotStatus("orders", 5).Move + 1
	c.commit(t, Command{Seal: &Seal{Service: "orders", Slot: 5, Move: next}})
	whole, err := c.leader.Extract("orders", 5)
	if err != nil {
		t.Fatal(err)
	}
	c.leader, c.follower, c.index, c.clock = New(), New(), 0, NewClock(0, c.now)
	chunks := whole.Split(rapid.IntRange(1, 1000).Draw(t, "bytes"))
	for next := 0; next < len(chunks); {
		sent := rapid.IntRange(0, next).Draw(t, "part") // may repeat an earlier chunk
		if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
			c.leader, c.follower = restored(t, c.follower), c.leader
		}
		r := c.commit(t, Command{Adopt: &Adopt{Chunk: chunks[sent]}})
		if r.Refusal != "" {
			t.Fatal(r.Refusal)
		}
		if sent == next {
			next++
		}
	}
	if state := c.leader.SlotStatus("orders", 5); state.Sealed || c.leader.Len() < len(whole.Records) {
		t.Fatalf("slot status %+v after the move, %d of %d records", state, c.leader.Len(), len(whole.Records))
	}
}

func newAttempt(run, number int) *attempt {
	return &attempt{begin: Begin{Service: "orders", Slot: 5, Customer: "uniform", Key: fmt.Sprint("run-", run),
		Digest: []byte("digest-of-request"), Host: "entry-1", Nonce: fmt.Appendf(nil, "nonce-%03d", number), DeadlineMillis: 5000}}
}

// TestAtMostOnce checks that at most one attempt of a run may send within the window, under random
// schedules of resends, delayed duplicates, restores, moves and leader changes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{leader: New(), follower: New(), attempts: []*attempt{newAttempt(1, 0)}}
		c.history = history{owner: map[string]string{}, active: map[string]time.Duration{}}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c.step(t)
		}
		leader, _ := c.leader.Snapshot()
		follower, _ := c.follower.Snapshot()
		if !bytes.Equal(leader, follower) {
			t.Fatal("replicas differ")
		}
	})
}
