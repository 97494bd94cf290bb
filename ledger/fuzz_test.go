package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/pkg/errors"
)

// filled returns a ledger with the given number of records, half of them with a response body of
// the given length, and one sealed slot.
func filled(records, body int) *Ledger {
	l := New()
	l.limits.AccountRecords = records
	for i := range records {
		a := newAttempt(i, i%1000)
		a.begin.Key = fmt.Sprintf("%036d", i) // as long as a UUID
		reply := l.Apply(uint64(i+1), Command{Begin: &a.begin})
		if i%2 == 0 {
			l.Apply(0, Command{Finish: &Finish{Service: "orders", Customer: "uniform", Key: a.begin.Key,
				Attempt: reply.Attempt, State: StateAnswered, Status: 200, ContentType: "application/json", Body: make([]byte, body)}})
		}
	}
	l.Apply(0, Command{Seal: &Seal{Service: "orders", Slot: 9, Move: 1}})
	return l
}

func FuzzRestore(f *testing.F) {
	encoded, _ := filled(3, 8).Snapshot()
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := Restore(data)
		if err != nil {
			if !errors.Is(err, ErrSnapshotCorrupt) && !errors.Is(err, ErrSnapshotVersion) {
				t.Fatalf("error %v has no documented cause", err)
			}
			return
		}
		first, _ := l.Snapshot()
		second, _ := restored(t, l).Snapshot()
		if !bytes.Equal(first, second) {
			t.Fatal("snapshot changes over a restore")
		}
		l.Apply(1, Command{Tick: &Tick{At: l.Now() + 10*maxWindowMillis}})
		if l.Now() < maxTime/2 && l.Len() != 0 {
			t.Fatal("records remain after the longest window")
		}
	})
}

func FuzzCommand(f *testing.F) {
	a := newAttempt(1, 1)
	l := filled(3, 8)
	l.Apply(0, Command{Seal: &Seal{Service: "orders", Slot: 5, Move: 1}})
	chunk, _ := l.Extract("orders", 5)
	for _, c := range []Command{{Begin: &a.begin}, {Tick: &Tick{At: 7}}, {Adopt: &Adopt{Chunk: chunk}}, {Finish: &Finish{State: StateUnknown}}} {
		data, _ := c.Encode()
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			if !errors.Is(err, ErrInvalidCommand) {
				t.Fatalf("error %v has no documented cause", err)
			}
			return
		}
		l := filled(3, 8)
		l.Apply(7, c)
		restored(t, l)
	})
}

// TestRestoreRefusesDamage checks that Restore detects a flipped bit in every byte of a snapshot.
func TestRestoreRefusesDamage(t *testing.T) {
	encoded, _ := filled(3, 8).Snapshot()
	for i := range encoded {
		damaged := bytes.Clone(encoded)
		damaged[i] ^= 1
		_, err := Restore(damaged)
		if !errors.Is(err, ErrSnapshotCorrupt) && !errors.Is(err, ErrSnapshotVersion) {
			t.Fatalf("bit flipped in byte %d: error %v, want a snapshot error", i, err)
		}
	}
}
