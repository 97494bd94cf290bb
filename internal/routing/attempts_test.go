package routing

import (
	"testing"
	"time"

	"github.com/galenalug/galenalug/catalog"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ownership"
)

const (
	testGroup   = "norte"
	testKeyed   = "orders"
	testVersion = 5
)

// unfencedTable returns a table in which a server that does not check tokens owns the only slot. The
// host's session is valid for one second from time 0.
func unfencedTable(t *testing.T) *Table {
	t.Helper()
	table := newTable([]string{testGroup}, func() time.Duration { return 0 })
	table.renewLease(testGroup, 0, time.Second)
	server := ownership.Server{Session: 1, Name: "a", Service: testKeyed, Keyed: true}
	apply(t, table, 0, testVersion, ownership.Change{Server: &server}, slotChange(ownership.Owned, 9))
	return table
}

func slotChange(status ownership.Status, token uint64) ownership.Change {
	slot := ownership.SlotChange{Slot: 0, Status: status, Owner: 1, Token: token, Generation: 1}
	return ownership.Change{Slots: &ownership.SlotChanges{Service: testKeyed, BaseSlots: 1, Slots: []ownership.SlotChange{slot}}}
}

func apply(t *testing.T, table *Table, from, to uint64, changes ...ownership.Change) {
	t.Helper()
	body, err := ownership.EncodeChanges(changes)
	if err != nil {
		t.Fatal(err)
	}
	if !table.update(wire.TableUpdate{Group: testGroup, From: from, Version: to, Body: body}) {
		t.Fatal("table update rejected")
	}
}

func newAttempt(token uint64) *attempt {
	return &attempt{group: testGroup, server: ownership.Server{Session: 1, Name: "a", Service: testKeyed}, token: token}
}

// TestConfirmWaitsForAttempts checks that a revocation is not confirmed while a request runs under the
// revoked grant. Otherwise the slot's next owner could run requests at the same time.
func TestConfirmWaitsForAttempts(t *testing.T) {
	table := unfencedTable(t)
	running := newAttempt(9)
	for range 2 { // called again for each connection that is tried
		if !table.writable(running) {
			t.Fatal("writable = false for the current owner")
		}
	}
	if got := table.confirmVersion(testGroup); got != testVersion {
		t.Fatalf("confirmed version %d while the grant is current, want %d", got, testVersion)
	}
	apply(t, table, testVersion, testVersion+1, slotChange(ownership.Releasing, 9))
	if table.writable(newAttempt(9)) {
		t.Error("writable = true under a grant that is being released")
	}
	table.endAttempt(newAttempt(9), time.Time{}) // never sent, so it must have no effect
	table.endAttempt(running, time.Now().Add(time.Hour))
	if got := table.confirmVersion(testGroup); got != testVersion {
		t.Fatalf("confirmed version %d while a request may run, want %d", got, testVersion)
	}
	table.endAttempt(running, time.Time{})
	if got := table.confirmVersion(testGroup); got != testVersion+1 {
		t.Fatalf("confirmed version %d after the request ended, want %d", got, testVersion+1)
	}
}

// TestNotWritableAfterSessionExpired checks that nothing is sent to an owner that does not check tokens once
// this host's session has expired: its table may be out of date, and the owner would not notice.
func TestNotWritableAfterSessionExpired(t *testing.T) {
	table := unfencedTable(t)
	now := time.Duration(0)
	table.now = func() time.Duration { return now }
	now = 999 * time.Millisecond
	if !table.writable(newAttempt(9)) {
		t.Error("writable = false within the session")
	}
	now = time.Second
	if table.writable(newAttempt(9)) {
		t.Error("writable = true after the session expired")
	}
}

// TestEmptyTableCountsAsReceived checks that an empty table counts as received. Otherwise an entry
// host of a system without services would never become ready.
func TestEmptyTableCountsAsReceived(t *testing.T) {
	table := unfencedTable(t)
	if table.hasReceived(testGroup, wire.GroupGlobal) {
		t.Error("hasReceived = true without the global table")
	}
	empty, err := catalog.NewState().Encode()
	if err != nil {
		t.Fatal(err)
	}
	table.update(wire.TableUpdate{Group: wire.GroupGlobal, Body: empty})
	if !table.hasReceived(testGroup, wire.GroupGlobal) {
		t.Error("hasReceived = false with both tables")
	}
}
