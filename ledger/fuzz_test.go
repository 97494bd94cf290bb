package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/pkg/errors"
)

func filled(records, body int) *Ledger {
	l := New()
	l.limits.AccountRecords = records
	for i := range records {
		y := newTry(i, i%1000)
		y.begin.Key = fmt.Sprintf("%036d", i) // as long as a UUID
		reply := l.Apply(uint64(i+1), Command{Begin: &y.begin})
		if i%2 == 0 {
			l.Apply(0, Command{Finish: &Finish{Service: "orders", Customer: "uniform", Key: y.begin.Key,
				Attempt: reply.Attempt, State: StateAnswered, Status: 200, ContentType: "application/json", Body: make([]byte, body)}})
		}
	}
	l.Apply(0, Command{Seal: &Seal{Service: "orders", Slot: 9, Move: 1}})
	return l
}

func FuzzRestore(f *testing.F) {
	whole, _ := filled(3, 8).Snapshot()
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := Restore(data)
		if err != nil {
			if !errors.Is(err, ErrSnapshotCorrupt) && !errors.Is(err, ErrSnapshotVersion) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		first, _ := l.Snapshot()
		second, _ := restored(t, l).Snapshot()
		if !bytes.Equal(first, second) {
			t.Fatal("snapshot is not deterministic")
		}
		l.Apply(1, Command{Tick: &Tick{At: l.Now() + 10*maxWindowMillis}})
		if l.Now() < maxTime/2 && l.Len() != 0 {
			t.Fatal("records outlive every window")
		}
	})
}

func FuzzCommand(f *testing.F) {
	y := newTry(1, 1)
	l := filled(3, 8)
	l.Apply(0, Command{Seal: &Seal{Service: "orders", Slot: 5, Move: 1}})
	part, _ := l.Extract("orders", 5)
	for _, c := range []Command{{Begin: &y.begin}, {Tick: &Tick{At: 7}}, {Adopt: &Adopt{Chunk: part}}, {Finish: &Finish{State: StateUnknown}}} {
		data, _ := c.Encode()
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			if !errors.Is(err, ErrCommand) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		l := filled(3, 8)
		l.Apply(7, c)
		restored(t, l)
	})
}

// Each changed byte of a snapshot is found.
func TestRestoreRefusesDamage(t *testing.T) {
	whole, _ := filled(3, 8).Snapshot()
	for i := range whole {
		damaged := bytes.Clone(whole)
		damaged[i] ^= 1
		_, err := Restore(damaged)
		if !errors.Is(err, ErrSnapshotCorrupt) && !errors.Is(err, ErrSnapshotVersion) {
			t.Fatalf("byte %d: error %v", i, err)
		}
	}
}
