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

// unfencedTable is a table in which a server without token checks owns the only
// slot, at a host whose session is valid.
func unfencedTable(t *testing.T) *Table {
	t.Helper()
	table := newTable([]string{testGroup}, func() time.Duration { return 0 })
	table.renewed(testGroup, 0, time.Second)
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
		t.Fatal("the update was refused")
	}
}

func newAttempt(token uint64) *attempt {
	return &attempt{group: testGroup, server: ownership.Server{Session: 1, Name: "a", Service: testKeyed}, token: token}
}

// TestConfirmWaitsForAttempts confirms a revocation only once the request that runs
// under the revoked grant has ended.
func TestConfirmWaitsForAttempts(t *testing.T) {
	table := unfencedTable(t)
	running := newAttempt(9)
	for range 2 { // asked again for each connection that is tried
		if !table.writable(running) {
			t.Fatal("the owner may not be sent to")
		}
	}
	if got := table.confirm(testGroup); got != testVersion {
		t.Fatalf("confirmed %d while the grant stands, want %d", got, testVersion)
	}
	apply(t, table, testVersion, testVersion+1, slotChange(ownership.Releasing, 9))
	if table.writable(newAttempt(9)) {
		t.Error("a request may be sent under a released grant")
	}
	table.ended(newAttempt(9), time.Time{}) // never sent, so it counts for nothing
	table.ended(running, time.Now().Add(time.Hour))
	if got := table.confirm(testGroup); got != testVersion {
		t.Fatalf("confirmed %d while a request may run, want %d", got, testVersion)
	}
	table.ended(running, time.Time{})
	if got := table.confirm(testGroup); got != testVersion+1 {
		t.Fatalf("confirmed %d after the request ended, want %d", got, testVersion+1)
	}
}

// TestNoSendingAfterTheSession sends nothing to an owner without token checks once
// this host's session is over.
func TestNoSendingAfterTheSession(t *testing.T) {
	table := unfencedTable(t)
	now := time.Duration(0)
	table.now = func() time.Duration { return now }
	now = 999 * time.Millisecond
	if !table.writable(newAttempt(9)) {
		t.Error("refused within the session")
	}
	now = time.Second
	if table.writable(newAttempt(9)) {
		t.Error("allowed after the session")
	}
}

// TestTablesAreCompleteOnceAllCame counts an empty table as one that has come.
func TestTablesAreCompleteOnceAllCame(t *testing.T) {
	table := unfencedTable(t)
	if table.complete(testGroup, wire.GroupGlobal) {
		t.Error("complete without the global table")
	}
	empty, err := catalog.NewState().Encode()
	if err != nil {
		t.Fatal(err)
	}
	table.update(wire.TableUpdate{Group: wire.GroupGlobal, Body: empty})
	if !table.complete(testGroup, wire.GroupGlobal) {
		t.Error("incomplete with both tables")
	}
}
