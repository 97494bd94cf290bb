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

// try is one sender's attempt to run a request.
type try struct {
	begin   Begin
	attempt uint64 // 0 until the sender heard that it may send
	ended   bool
}

// history checks the recorded rights to send.
type history struct {
	owner  map[string]string        // run: nonce of the try that may have run
	active map[string]time.Duration // run: its last change
}

// cluster is a replicated ledger with its leader's clock. follower is a second
// replica, restored from snapshots now and then.
type cluster struct {
	leader, follower *Ledger
	clock            Clock
	now              time.Duration // real time, monotonic
	index            uint64
	tries            []*try
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

// begin proposes a try's Begin. Its reply may be lost, and is then not heeded.
func (c *cluster) begin(t *rapid.T, y *try, lost bool) {
	y.begin.At = c.clock.At(c.now)
	reply := c.commit(t, Command{Begin: &y.begin})
	if reply.State != StateNew || lost {
		return
	}
	run, nonce := y.begin.Key, string(y.begin.Nonce)
	owner := c.history.owner[run]
	if owner != "" && owner != nonce && c.now < c.history.active[run]+window {
		t.Fatalf("%s: %s may run within the window of %s", run, nonce, owner)
	}
	c.history.owner[run], c.history.active[run] = nonce, c.now
	y.attempt = reply.Attempt
}

func (c *cluster) finish(t *rapid.T, y *try, state State) {
	f := Finish{Service: "orders", Customer: "uniform", Key: y.begin.Key, Attempt: y.attempt, State: state, Status: 201, At: c.clock.At(c.now)}
	reply := c.commit(t, Command{Finish: &f})
	y.ended = true
	mine := c.history.owner[y.begin.Key] == string(y.begin.Nonce)
	switch {
	case reply.State == StateNotRun && !mine:
		t.Fatalf("%s: a try that does not own the run removed it", y.begin.Key)
	case reply.State == StateNotRun:
		delete(c.history.owner, y.begin.Key)
	case reply.Refusal == "" && reply.Attempt == y.attempt:
		c.history.active[y.begin.Key] = c.now
	}
}

const window = 600 * time.Second

func (c *cluster) step(t *rapid.T) {
	y := c.tries[rapid.IntRange(0, len(c.tries)-1).Draw(t, "try")]
	action := rapid.SampledFrom([]string{"try", "begin", "finish", "wait", "long wait", "elect", "restore", "move"}).Draw(t, "action")
	switch action {
	case "try":
		c.tries = append(c.tries, newTry(rapid.IntRange(1, 3).Draw(t, "run"), len(c.tries)))
	case "begin":
		// Also a delayed copy of a Begin whose try has ended.
		c.begin(t, y, y.ended || rapid.Bool().Draw(t, "lost"))
	case "finish":
		if y.attempt != 0 {
			state := rapid.SampledFrom([]State{StateAnswered, StateUnknown, StateNotRun}).Draw(t, "state")
			if y.ended && state == StateNotRun {
				state = StateUnknown // a sender says not run only of a try that it then gives up
			}
			c.finish(t, y, state)
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

// move moves the slot to a group with an index and a time of its own.
func (c *cluster) move(t *rapid.T) {
	next := c.leader.SlotStatus("orders", 5).Move + 1
	c.commit(t, Command{Seal: &Seal{Service: "orders", Slot: 5, Move: next}})
	part, err := c.leader.Extract("orders", 5)
	if err != nil {
		t.Fatal(err)
	}
	c.leader, c.follower, c.index, c.clock = New(), New(), 0, NewClock(0, c.now)
	parts := part.Split(rapid.IntRange(1, 1000).Draw(t, "bytes"))
	for next := 0; next < len(parts); {
		sent := rapid.IntRange(0, next).Draw(t, "part") // also copies of earlier parts
		if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
			c.leader, c.follower = restored(t, c.follower), c.leader
		}
		r := c.commit(t, Command{Adopt: &Adopt{Chunk: parts[sent]}})
		if r.Refusal != "" {
			t.Fatal(r.Refusal)
		}
		if sent == next {
			next++
		}
	}
	if state := c.leader.SlotStatus("orders", 5); state.Sealed || c.leader.Len() < len(part.Records) {
		t.Fatalf("%+v with %d of %d records", state, c.leader.Len(), len(part.Records))
	}
}

func newTry(run, number int) *try {
	return &try{begin: Begin{Service: "orders", Slot: 5, Customer: "uniform", Key: fmt.Sprint("run-", run),
		Digest: []byte("digest-of-request"), Host: "entry-1", Nonce: fmt.Appendf(nil, "nonce-%03d", number), DeadlineMillis: 5000}}
}

// A sender that may send is alone for the window, over random schedules of
// resends, late copies, restores, moves and changes of leader.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{leader: New(), follower: New(), tries: []*try{newTry(1, 0)}}
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
