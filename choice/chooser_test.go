package choice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenalug/galenalug/choice"
)

const ms = time.Millisecond

func servers() []choice.Candidate {
	return []choice.Candidate{
		{ID: 1, Region: "norte", Capacity: 6},
		{ID: 2, Region: "norte", Capacity: 6},
		{ID: 3, Region: "lisboa", Capacity: 6},
	}
}

// picks starts n requests at the same time and returns the number of requests by server.
func picks(c *choice.Chooser, now time.Duration, candidates []choice.Candidate, n int) map[uint64]int {
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[uint64]int{}
	for range n {
		if i, ok := c.Pick(now, candidates, random); ok {
			c.Started(now, candidates[i].ID)
			counts[candidates[i].ID]++
		}
	}
	return counts
}

func TestPick(t *testing.T) {
	observe := func(c *choice.Chooser, id uint64, latency time.Duration, ok bool) {
		c.Started(0, id)
		c.Finished(latency, id, latency, ok)
	}
	for _, test := range []struct {
		what    string
		prepare func(c *choice.Chooser, s []choice.Candidate)
		n       int
		want    map[uint64]int
	}{
		{"spreads evenly within the own region", func(*choice.Chooser, []choice.Candidate) {}, 12, map[uint64]int{1: 6, 2: 6}},
		{"uses the other region once all own servers are overloaded", func(*choice.Chooser, []choice.Candidate) {}, 21, map[uint64]int{1: 9, 2: 9, 3: 3}},
		{"a slow server gets fewer requests", func(c *choice.Chooser, _ []choice.Candidate) {
			observe(c, 1, 30*ms, true)
			observe(c, 2, 10*ms, true)
			c.Started(30*ms, 1) // an outstanding request keeps the latency from decaying
			c.Started(30*ms, 2)
		}, 6, map[uint64]int{1: 1, 2: 5}},
		{"a server that fails fast gets no requests", func(c *choice.Chooser, _ []choice.Candidate) {
			observe(c, 1, ms, false)
			observe(c, 2, 10*ms, true)
		}, 8, map[uint64]int{2: 8}},
		{"a server that does not respond gets no requests", func(c *choice.Chooser, _ []choice.Candidate) {
			c.Started(-time.Minute, 1)
		}, 8, map[uint64]int{2: 8}},
		{"a new server gets fewer requests", func(_ *choice.Chooser, s []choice.Candidate) {
			s[0].Age, s[0].RampUp = time.Second, 4*time.Second
		}, 10, map[uint64]int{1: 2, 2: 8}},
		{"a reported load has little weight", func(_ *choice.Chooser, s []choice.Candidate) { s[0].ReportedLoad = 1 }, 12, map[uint64]int{1: 6, 2: 6}},
		{"a suspected server gets one probe request", func(_ *choice.Chooser, s []choice.Candidate) { s[0].Suspect = true }, 8, map[uint64]int{1: 1, 2: 7}},
		{"suspicion is ignored if all servers are suspected", func(_ *choice.Chooser, s []choice.Candidate) {
			for i := range s {
				s[i].Suspect = true
			}
		}, 9, map[uint64]int{1: 3, 2: 3, 3: 3}},
	} {
		c, candidates := choice.New(choice.DefaultSettings("norte")), servers()
		test.prepare(c, candidates)
		if got := picks(c, 30*ms, candidates, test.n); fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: requests by server are %v, want %v", test.what, got, test.want)
		}
	}
}

func TestSlowServerRecovers(t *testing.T) {
	c := choice.New(choice.DefaultSettings("norte"))
	c.Started(0, 1)
	c.Finished(time.Second, 1, time.Second, true)
	if got := picks(c, time.Second, servers(), 4); got[1] != 0 {
		t.Errorf("slow server was picked right after its slow response: %v", got)
	}
	if got := picks(c, time.Minute, servers()[:1], 1); got[1] != 1 {
		t.Errorf("slow server was not picked after a minute of idleness: %v", got)
	}
	c.Remove(1)
	if c.Outstanding(1) != 0 {
		t.Error("Remove kept the count of outstanding requests")
	}
}

func ExampleChooser() {
	chooser := choice.New(choice.DefaultSettings("norte"))
	random := rand.New(rand.NewPCG(1, 1))
	candidates := []choice.Candidate{
		{ID: 7, Region: "norte", Capacity: 6},
		{ID: 8, Region: "norte", Capacity: 6},
	}
	chooser.Started(0, 7)
	i, _ := chooser.Pick(10*ms, candidates, random)
	fmt.Println(candidates[i].ID)
	// Output: 8
}
