package gateway

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalug/galenalug/keyrange"
)

// Guards against servers that stay in the table of a gateway that was disconnected while they were
// removed: the full table of the same leader lists all servers.
func TestFullTableReplacesServersOfSameTerm(t *testing.T) {
	v := newView(time.Second)
	server := func(id string) keyrange.Server { return keyrange.Server{ID: id, Service: "photos", Slots: 6} }
	v.apply(time.Second, keyrange.TableUpdate{Term: 1, Version: 1, Full: true, Servers: []keyrange.Server{server("a"), server("b")}})
	v.apply(2*time.Second, keyrange.TableUpdate{Term: 1, Version: 5, Full: true, Servers: []keyrange.Server{server("b")}})
	if v.has("a") || !v.has("b") {
		t.Errorf("server a known: %v, server b known: %v; want only b", v.has("a"), v.has("b"))
	}
}

// Guards against requests to a server that left while the report of its leaving waited in a full link:
// its drain time is counted from when the table was last up to date.
func TestDrainTimeCountsFromLastKnownTable(t *testing.T) {
	const drainTime = 2500 * time.Millisecond
	for _, c := range []struct {
		delay, usedFor time.Duration // of the report; after its arrival
	}{
		{300 * time.Millisecond, drainTime - drainMargin}, {1500 * time.Millisecond, 600 * time.Millisecond}, {3 * time.Second, 0},
	} {
		v := newView(drainTime)
		v.confirmTable(10 * time.Second)
		learned := 10*time.Second + c.delay
		v.apply(learned, keyrange.TableUpdate{Term: 1, Version: 1, Full: true, Servers: []keyrange.Server{
			{ID: "leaving", Service: "photos", Draining: true},
		}})
		if c.usedFor > 0 && len(v.serversOf(learned+c.usedFor-time.Millisecond, "photos", nil)) != 1 {
			t.Errorf("report delayed by %v: server unused before %v have passed", c.delay, c.usedFor)
		}
		if len(v.serversOf(learned+c.usedFor, "photos", nil)) != 0 {
			t.Errorf("report delayed by %v: server in use after %v", c.delay, c.usedFor)
		}
	}
}

// The owner of a key is the one that was added last, regardless of how the ranges overlap.
func TestOverlayKeepsLatestOwner(t *testing.T) {
	const keys = 20
	rapid.Check(t, func(t *rapid.T) {
		var list []ownerRange
		newest := map[int64]string{}
		for i := range rapid.IntRange(1, 40).Draw(t, "owners") {
			from := rapid.Int64Range(0, keys-1).Draw(t, "from")
			o := ownerRange{Owner: keyrange.Owner{From: from, To: rapid.Int64Range(from, keys-1).Draw(t, "to"), ServerID: fmt.Sprint("s", i)}}
			list = overlay(list, o)
			for key := o.From; key <= o.To; key++ {
				newest[key] = o.ServerID
			}
		}
		seen := 0
		for i, o := range list {
			if i > 0 && list[i-1].To >= o.From || o.From > o.To {
				t.Fatalf("range %+v is empty or overlaps the previous range %+v", o, list[max(i-1, 0)])
			}
			for key := o.From; key <= o.To; key++ {
				seen++
				if newest[key] != o.ServerID {
					t.Fatalf("key %d: owner %s, want %s", key, o.ServerID, newest[key])
				}
			}
		}
		if seen != len(newest) {
			t.Fatalf("%d keys have an owner, want %d", seen, len(newest))
		}
	})
}
