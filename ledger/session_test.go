package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// session applies the commands of a test file to the ledgers of named groups.
type session struct {
	groups map[string]*Ledger
	index  map[string]uint64
	chunks map[int]SlotChunk // by slot, the last extracted records
}

func (s *session) apply(t *testing.T, group string, c Command) string {
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeCommand(data)
	if err != nil {
		t.Fatal(err)
	}
	s.index[group]++
	return describe(s.groups[group].Apply(s.index[group], decoded))
}

func describe(r Reply) string {
	if r.Refusal != "" {
		return "refused: " + string(r.Refusal)
	}
	out := []string{string(r.State)}
	for _, field := range []struct {
		name  string
		value any
		show  bool
	}{
		{"attempt", r.Attempt, r.Attempt != 0}, {"reason", r.Reason, r.Reason != ""},
		{"status", r.Status, r.Status != 0}, {"body", len(r.Body), len(r.Body) > 0},
	} {
		if field.show {
			out = append(out, fmt.Sprintf("%s=%v", field.name, field.value))
		}
	}
	return strings.TrimSpace(strings.Join(out, " "))
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	group, key, digest, nonce, host, state := "norte", "k1", "digest-of-request", "nonce-01", "entry-1", "answered"
	at, attempt, slot, move, body, total, chunk := uint64(0), uint64(0), 5, uint64(1), 2, 100, -1
	for name, value := range map[string]any{
		"group": &group, "key": &key, "digest": &digest, "nonce": &nonce, "host": &host, "state": &state,
		"at": &at, "attempt": &attempt, "slot": &slot, "move": &move, "body": &body, "total": &total, "part": &chunk,
	} {
		d.MaybeScanArgs(t, name, value)
	}
	if s.groups[group] == nil {
		s.groups[group] = New()
	}
	l := s.groups[group]
	var c Command
	switch d.Cmd {
	case "begin":
		c.Begin = &Begin{Service: "orders", Slot: slot, Customer: "uniform", Key: key, Digest: []byte(digest),
			Host: host, Nonce: []byte(nonce), DeadlineMillis: 5000, At: at}
	case "finish":
		c.Finish = &Finish{Service: "orders", Customer: "uniform", Key: key, Attempt: attempt, State: State(state), At: at}
		if state == "answered" || state == "not_kept" {
			c.Finish.Status, c.Finish.Body = 201, make([]byte, body)
		}
	case "tick":
		c.Tick = &Tick{At: at}
	case "seal":
		c.Seal = &Seal{Service: "orders", Slot: slot, Move: move}
	case "drop":
		c.Drop = &Drop{Service: "orders", Slot: slot, Move: move}
	case "adopt":
		c.Adopt = &Adopt{Chunk: s.chunks[slot]}
		if chunk >= 0 {
			c.Adopt.Chunk = s.chunks[slot].Split(1)[chunk] // one record per chunk
		}
	case "limits":
		limits := l.Limits()
		limits.AccountRecords, limits.TotalBodyBytes = total, total*1000
		c.Configure = &limits
	default:
		return s.query(t, d.Cmd, group, key, slot)
	}
	return s.apply(t, group, c)
}

func (s *session) query(t *testing.T, command, group, key string, slot int) string {
	l := s.groups[group]
	switch command {
	case "lookup":
		r, found := l.Lookup("orders", "uniform", key)
		return fmt.Sprintf("%v %s", found, describe(r))
	case "extract":
		chunk, err := l.Extract("orders", slot)
		if err == nil {
			s.chunks[slot] = chunk
		}
		return fmt.Sprintf("records=%d move=%d err=%v", len(chunk.Records), chunk.Move, err)
	case "restore":
		s.groups[group] = restored(t, l)
		return fmt.Sprintf("now=%d records=%d", s.groups[group].Now(), s.groups[group].Len())
	}
	t.Fatalf("unknown command %q", command)
	return ""
}

// restored returns a copy of a ledger, made by a snapshot and Restore.
func restored(t interface{ Fatal(...any) }, l *Ledger) *Ledger {
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	copied, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	return copied
}

// TestSessions compares the replies to scripted command sequences with the expected ones.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{groups: map[string]*Ledger{}, index: map[string]uint64{}, chunks: map[int]SlotChunk{}}
		datadriven.RunTest(t, path, s.run)
	})
}
