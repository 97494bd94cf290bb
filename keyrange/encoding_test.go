package keyrange

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const (
	// largeServers is the number of servers of the largest service that is deployed today.
	largeServers = 657
	// slowLinkBytes is what the smallest entry hosts' links carry in a second: 2 Mbit/s.
	slowLinkBytes = 250_000
)

// largeTable is the table of a service with hundreds of servers.
func largeTable() TableUpdate {
	random := rand.New(rand.NewPCG(1, 1))
	u := TableUpdate{Term: 7, Version: 1, Full: true, EntryHosts: 195}
	for i := range largeServers {
		u.Servers = append(u.Servers, Server{
			ID: fmt.Sprintf("i-%010x", random.Uint64()>>24), StartMillis: 1_780_000_000_000 + random.Int64N(60_000), Service: "miny49a",
			Address: fmt.Sprintf("10.%d.64.%d:8284", 1+i%8, 4+i/8), Domain: fmt.Sprintf("zone-%d", i%8), Slots: 6,
		})
	}
	const ranges = 4 * largeServers
	for i := range int64(ranges) {
		u.Owners = append(u.Owners, Owner{
			Service: "miny49a", From: i * 65536 / ranges, To: (i+1)*65536/ranges - 1, ServerID: u.Servers[random.IntN(largeServers)].ID,
		})
	}
	return u
}

// Hundreds of servers and entry hosts with slow links. Guards against tables that keep such a link busy: after a
// change of the leader all entry hosts get the whole table at the same moment, while they serve requests.
func TestWholeTableTakesAQuarterSecondOnASlowLink(t *testing.T) {
	table := largeTable()
	body, err := EncodeTable(table)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes for %d servers and %d ranges", len(body), len(table.Servers), len(table.Owners))
	if len(body) > slowLinkBytes/4 {
		t.Errorf("the table takes %d bytes, %v of a slow link", len(body), time.Duration(len(body))*time.Second/slowLinkBytes)
	}
	again, err := DecodeTable(body)
	if err != nil || !reflect.DeepEqual(again, table) {
		t.Errorf("decoded table differs, %v", err)
	}
}
