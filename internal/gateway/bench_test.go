package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalug/galenalug/keyrange"
)

// BenchmarkTableUpdate takes in an update of a table of hundreds of servers in
// which a few ranges changed hands.
func BenchmarkTableUpdate(b *testing.B) {
	const servers, rows, changes = 353, 1750, 6
	const keys = 1 << 16
	v := newView(time.Second)
	whole := keyrange.TableUpdate{Term: 1, Full: true}
	for i := range servers {
		whole.Servers = append(whole.Servers, keyrange.Server{ID: fmt.Sprint("s", i), Service: "stock", Slots: 6})
	}
	owner := func(i int) keyrange.Owner {
		return keyrange.Owner{
			Service: "stock", From: int64(i * keys / rows), To: int64((i+1)*keys/rows - 1), ServerID: fmt.Sprint("s", i%servers),
		}
	}
	for i := range rows {
		whole.Owners = append(whole.Owners, owner(i))
	}
	v.apply(time.Second, whole)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		update := keyrange.TableUpdate{Term: 1, Version: uint64(n)}
		for c := range changes {
			update.Owners = append(update.Owners, owner((n*changes+c*97)%rows))
		}
		v.apply(time.Second, update)
	}
}

// BenchmarkRequest serves one request after another, each on the owner of its key.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b)
	server := newStandIn(b, ok("yes"))
	f.tell(server)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.do("GET", "/look/1", nil)
	}
}
