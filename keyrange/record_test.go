package keyrange

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Grants that overlap in any way leave the newest grant of each key in the record. Adjacent
// entries of one holder are merged; otherwise repeated splits would make the record grow.
func TestRecordHoldsTheNewestGrantOfEachKey(t *testing.T) {
	const keys = 24
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		newest := map[string]Assignment{}
		for token := range uint64(rapid.IntRange(1, 60).Draw(t, "grants")) {
			from := rapid.Int64Range(0, keys-1).Draw(t, "from")
			g := Assignment{
				Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), From: from,
				To:       rapid.Int64Range(from, keys-1).Draw(t, "to"),
				ServerID: rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "server"), StartMillis: 1, Token: token + 1,
			}
			r.Apply([]Assignment{g})
			for key := g.From; key <= g.To; key++ {
				newest[fmt.Sprint(g.Service, key)] = g
			}
		}
		all := r.All()
		seen := 0
		for i, a := range all {
			if i > 0 && !all[i-1].before(a) {
				t.Fatalf("%+v and %+v are not in order", all[i-1], a)
			}
			if i > 0 && all[i-1].continuedBy(a) {
				t.Fatalf("%+v and %+v are adjacent and have one holder, but are not merged", all[i-1], a)
			}
			for key := a.From; key <= a.To; key++ {
				seen++
				want := newest[fmt.Sprint(a.Service, key)]
				if want.ServerID != a.ServerID || a.Token < want.Token {
					t.Fatalf("key %d: recorded %+v, newest grant %+v", key, a, want)
				}
			}
		}
		if seen != len(newest) {
			t.Fatalf("%d keys recorded, want %d", seen, len(newest))
		}
	})
}
