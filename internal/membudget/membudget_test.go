package membudget

import (
	"testing"
	"time"
)

const second = time.Second

func open(b *Budget, now time.Duration, evicted *int) *Account {
	return b.Open(now, func() { *evicted++ })
}

// Guards against clients that stop just short of the end of their body and keep all memory.
func TestStalledAccountGivesWayFirst(t *testing.T) {
	b := New(4 << 20)
	var longer, shorter, none int
	stalledLonger, stalled := open(b, 0, &longer), open(b, 0, &shorter)
	if !stalledLonger.Take(0, RequestBodies, 1<<20) || !stalled.Take(0, RequestBodies, 1<<20) {
		t.Fatal("the budget is short though it is not used up")
	}
	stalled.Moved(time.Second/2, ProgressBytes)
	asks := open(b, 2*time.Second, &none)
	if !asks.Take(2*time.Second, RequestBodies, 2<<20) {
		t.Error("the stalled account did not give way")
	}
	if longer != 1 || shorter != 0 || none != 0 {
		t.Errorf("evicted %d, %d and %d times, want only the one stalled for longest", longer, shorter, none)
	}
	if held := b.Held(RequestBodies); held != 3<<20 {
		t.Errorf("%d bytes are held, want what the two others hold", held)
	}
	stalledLonger.Close()
	if stalledLonger.Take(2*second, RequestBodies, 1) || b.Held(RequestBodies) != 3<<20 {
		t.Error("an evicted account took or returned memory again")
	}
}

// Guards against eviction of requests whose client has done its part, and of clients that are sending.
func TestOthersDoNotGiveWay(t *testing.T) {
	b := New(4 << 20)
	var evicted int
	atServer, sending := open(b, 0, &evicted), open(b, 0, &evicted)
	atServer.Take(0, RequestBodies, 1<<20)
	atServer.SetAtServer(0, true)
	sending.Take(0, RequestBodies, 2<<20)
	sending.Moved(3*second, ProgressBytes)
	asks := open(b, 3*second, &evicted)
	if asks.Take(3*second, RequestBodies, 1<<20) || evicted != 0 {
		t.Errorf("a request gave way that should not: %d evicted", evicted)
	}
	asks.Close()
	atServer.SetAtServer(3*second, false)
	if asks = open(b, 5*second, &evicted); !asks.Take(5*second, RequestBodies, 1<<20) {
		t.Error("an account that has stalled since did not give way")
	}
}

// Guards against large requests that leave nothing for small ones.
func TestLargeAccountsLeaveQuarter(t *testing.T) {
	b := New(4 << 20)
	var evicted int
	large := open(b, 0, &evicted)
	if large.Take(0, RequestBodies, 4<<20) {
		t.Error("a large account took the whole budget")
	}
	if !large.Take(0, RequestBodies, 3<<20) || b.TryTake(ResponseBodies, 1) {
		t.Error("the share of large accounts is not three quarters")
	}
	for i := range (1 << 20) / SmallBytes {
		if small := open(b, 0, &evicted); !small.Take(0, Heads, SmallBytes) {
			t.Fatalf("small account %d got nothing", i)
		}
	}
	if open(b, 0, &evicted).Take(0, Heads, 1) {
		t.Error("more than the budget was taken")
	}
}

// Guards against a client that stays in place by a few bytes from time to time.
func TestFewBytesAreNoProgress(t *testing.T) {
	b := New(4 << 20)
	var drips int
	dripping := open(b, 0, &drips)
	dripping.Take(0, RequestBodies, 3<<20)
	for now := time.Duration(0); now < 3*second; now += second / 4 {
		dripping.Moved(now, 10)
	}
	if asks := open(b, 3*second, &drips); !asks.Take(3*second, RequestBodies, 1<<20) || drips != 1 {
		t.Error("a client that sends 40 bytes a second did not give way")
	}
}

// Guards against work that can wait and makes others give way, or leaves nothing to them.
func TestWorkThatCanWaitGetsNoMemoryOfOthers(t *testing.T) {
	b := New(4 << 20)
	var evicted int
	open(b, 0, &evicted).Take(0, RequestBodies, 3<<20-10)
	waits := open(b, 2*second, &evicted)
	if !waits.TryTake(Heads, 10) || waits.TryTake(Heads, 1) || evicted != 0 {
		t.Errorf("three quarters of the budget are not the bound, or %d accounts gave way", evicted)
	}
	if waits.Close(); b.Held(Heads) != 0 {
		t.Errorf("%d bytes are held after the end", b.Held(Heads))
	}
}
