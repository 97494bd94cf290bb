package control

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/wire"
)

// countingWatcher counts the bytes that it receives and never blocks.
type countingWatcher struct{ bytes int }

func (w *countingWatcher) Notify(_ int, body []byte) error {
	w.bytes += len(body)
	return nil
}

// BenchmarkPublish measures queueing one table update for all watchers.
func BenchmarkPublish(b *testing.B) {
	body := make([]byte, 1300) // about the size of the changes after the loss of a server
	for _, watchers := range []int{10, 100, 440} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) {
			f := newFeed("mien-trung")
			all := make([]countingWatcher, watchers)
			for i := range all {
				f.watch(&all[i], 0, func() []byte { return nil })
			}
			sent := all[0].bytes
			for version := uint64(1); b.Loop(); version++ {
				f.publish(version, body)
			}
			b.ReportMetric(float64(all[0].bytes-sent)/float64(b.N), "bytes/watcher")
		})
	}
}

// TestFullTableIsEncodedOnce checks that watchers that subscribe at the same version share one
// encoding of the full table, and that later ones get the later table.
func TestFullTableIsEncodedOnce(t *testing.T) {
	f := newFeed("mien-trung")
	encoded := 0
	encodeFull := func() []byte { encoded++; return make([]byte, encoded) }
	f.publish(1, nil)
	watchers := make([]countingWatcher, 3)
	f.watch(&watchers[0], 0, encodeFull)
	f.watch(&watchers[1], 0, encodeFull)
	if encoded != 1 || watchers[0].bytes != watchers[1].bytes {
		t.Fatalf("encoded %d times, want 1; watchers got %d and %d bytes, want equal sizes", encoded, watchers[0].bytes, watchers[1].bytes)
	}
	f.publish(2, nil)
	f.watch(&watchers[2], 0, encodeFull)
	if encoded != 2 {
		t.Fatalf("encoded %d times after an update, want 2; watcher got %d bytes", encoded, watchers[2].bytes)
	}
	f.reset(2, nil)
	f.watch(&countingWatcher{}, 0, encodeFull)
	if encoded != 3 {
		t.Fatalf("encoded %d times after a reset, want 3", encoded)
	}
}

func benchAnnouncement(released int) wire.Announcement {
	a := wire.Announcement{
		Name: "wheel-swap-001", Incarnation: "0123456789abcdef0123456789abcdef", Service: "wheel-swap", Address: "10.0.0.1:8080",
		Region: "mien-trung", Domain: "mien-trung-1", Keyed: true, Fencing: true, Slots: 6, Connections: 110, Session: 1 << 20,
		GrantsVersion: 1 << 20, Load: 3,
	}
	for slot := range released {
		a.Released = append(a.Released, wire.Grant{Slot: slot, Token: 1<<40 + 1<<20})
	}
	return a
}

func benchRenewal(loads, shares int) wire.Renewal {
	r := wire.Renewal{
		Group: "mien-trung", Name: "entry-001", Incarnation: "0123456789abcdef0123456789abcdef", Region: "mien-trung",
		Domain: "mien-trung-1", Version: 1 << 20,
	}
	if loads > 0 {
		r.Loads = []wire.ServiceLoads{{Service: "wheel-swap", Total: 90 * loads}}
	}
	for i := range loads {
		r.Loads[0].Slots = append(r.Loads[0].Slots, 1000+i)
		r.Loads[0].Requests = append(r.Loads[0].Requests, 90)
	}
	for i := range shares {
		r.Shares = append(r.Shares, wire.Share{Customer: fmt.Sprintf("depot-%04d", i), Service: "wheel-swap", Held: 50, Number: 1 << 20, Wanted: 60})
	}
	return r
}

// BenchmarkDecode measures the size and decoding time of the messages that servers and entry hosts
// send to the leader every 100 ms.
func BenchmarkDecode(b *testing.B) {
	for _, released := range []int{0, 16, 128} {
		b.Run(fmt.Sprintf("announcement/released=%d", released), func(b *testing.B) {
			benchDecode(b, benchAnnouncement(released))
		})
	}
	for _, loads := range []int{0, 64, 256} {
		b.Run(fmt.Sprintf("renewal/loads=%d", loads), func(b *testing.B) { benchDecode(b, benchRenewal(loads, 0)) })
	}
	for _, count := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("renewal/evidence=%d", count), func(b *testing.B) {
			r := benchRenewal(0, 0)
			for i := range count {
				r.Evidence = append(r.Evidence, wire.Evidence{Session: 1<<20 + uint64(i), Answered: 900})
			}
			benchDecode(b, r)
		})
		b.Run(fmt.Sprintf("renewal/keys=%d", count), func(b *testing.B) {
			r := benchRenewal(0, 0)
			for i := range count {
				r.KeyLoads = append(r.KeyLoads, wire.KeyLoad{Service: "wheel-swap", Key: fmt.Sprintf("pram-%08d", i), Requests: 900})
			}
			benchDecode(b, r)
		})
	}
	for _, shares := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("renewal/shares=%d", shares), func(b *testing.B) { benchDecode(b, benchRenewal(0, shares)) })
	}
}

func benchDecode[Message any](b *testing.B, message Message) {
	data, err := cbor.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var decoded Message
		if err := cbor.Unmarshal(data, &decoded); err != nil {
			b.Fatal(err)
		}
	}
	text, err := json.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportMetric(float64(len(text)), "json-bytes")
}
