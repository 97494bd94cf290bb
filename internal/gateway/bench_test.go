package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalug/galenalug/keyrange"
)

// BenchmarkTableUpdate applies updates that change a few ranges of a table of hundreds of servers.
func BenchmarkTableUpdate(b *testing.B) {
	const servers, rows, changes = 353, 1750, 6
	const keys = 1 << 16
	v := newView(time.Second)
	full := keyrange.TableUpdate{Term: 1, Full: true}
	for i := range servers {
		full.Servers = append(full.Servers, keyrange.Server{ID: fmt.Sprint("s", i), Service: "stock", Slots: 6})
	}
	owner := func(i int) keyrange.Owner {
		return keyrange.Owner{
			Service: "stock", From: int64(i * keys / rows), To: int64((i+1)*keys/rows - 1), ServerID: fmt.Sprint("s", i%servers),
		}
	}
	for i := range rows {
		full.Owners = append(full.Owners, owner(i))
	}
	v.apply(time.Second, full)
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

// BenchmarkRequest sends requests for one key, one after another.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b)
	server := newFakeBackend(b, okResponse("yes"))
	f.publish(server)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.do("GET", "/look/1", nil)
	}
}
