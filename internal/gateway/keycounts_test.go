package gateway

import "testing"

// Guards against memory that grows with the keys that clients name while there is no leader, and against a bound that
// drops the keys with the most requests.
func TestKeyCountsAreBounded(t *testing.T) {
	h := newFixture(t).host
	const others = 20 * maxKeyCounts
	for i := range int64(others) {
		h.countRequest("stock", 1000+i)
		if i%10 == 0 {
			h.countRequest("stock", 7)
		}
	}
	report := h.takeLoadReport()
	if len(report.Services) != 1 || len(report.Services[0].Keys) > maxKeyCounts {
		t.Fatalf("%d services, %d keys of the first one", len(report.Services), len(report.Services[0].Keys))
	}
	for _, load := range report.Services[0].Keys {
		if load.Key == 7 && load.Count > others/20 && load.Count <= others/10 {
			return
		}
	}
	t.Error("the key with the most requests is not reported with about its count")
}
