package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalug/galenalug/placement"
)

func TestHotKeysBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counters := rapid.IntRange(1, 8).Draw(t, "counters")
		keys := rapid.SliceOf(rapid.IntRange(0, 20)).Draw(t, "keys")
		sketch := placement.NewHotKeys(counters)
		trueCounts := map[string]float64{}
		for _, k := range keys {
			key := fmt.Sprint(k)
			sketch.Observe("orders", key)
			trueCounts[key]++
		}
		top := sketch.Top(1000)
		if len(top) > counters {
			t.Fatalf("Top returned %d keys for %d counters", len(top), counters)
		}
		found := map[string]bool{}
		for _, k := range top {
			found[k.Key] = true
			if k.Load < trueCounts[k.Key] || k.Load-k.Error > trueCounts[k.Key] {
				t.Fatalf("got %+v, true count %v is out of bounds", k, trueCounts[k.Key])
			}
		}
		for key, count := range trueCounts {
			if count > float64(len(keys))/float64(counters) && !found[key] {
				t.Fatalf("key %s has no counter, with %v of %d requests", key, count, len(keys))
			}
		}
	})
}

func TestHotKeysFollowTheLoad(t *testing.T) {
	sketch := placement.NewHotKeys(64)
	random := rand.New(rand.NewPCG(1, 1))
	hottest := func(hot string) string {
		for range 10 {
			for range 1000 {
				sketch.Observe("orders", fmt.Sprint(random.IntN(5000)))
			}
			for range 100 {
				sketch.Observe("orders", hot)
			}
			sketch.Decay(0.5)
		}
		return placement.MergeKeyLoads([][]placement.KeyLoad{sketch.Top(9), sketch.Top(9)}, 1)[0].Key
	}
	for _, hot := range []string{"depot", "uniforms"} {
		if got := hottest(hot); got != hot {
			t.Errorf("hottest key is %s, want %s", got, hot)
		}
	}
}

func TestIsolationIgnoresShortPeaksAndNoise(t *testing.T) {
	p := placement.NewIsolationPlanner(placement.DefaultIsolationSettings())
	load := func(second int) float64 {
		switch {
		case second == 5: // short peak
			return 500
		case second < 20:
			return 50
		case second%2 == 0: // alternates around IsolateThreshold, above ReturnThreshold
			return 80
		default:
			return 120
		}
	}
	changes := 0
	for second := range 1000 {
		keys := []placement.KeyLoad{{Key: "depot", Load: load(second)}}
		plan := p.Plan(time.Duration(second)*time.Second, keys, 1000)
		changes += len(plan.Isolate) + len(plan.Return)
	}
	if changes != 0 {
		t.Errorf("%d keys isolated or returned, want none", changes)
	}
}

func TestIsolationTableIsBounded(t *testing.T) {
	p := placement.NewIsolationPlanner(placement.DefaultIsolationSettings())
	keys := func(prefix string) []placement.KeyLoad {
		var loads []placement.KeyLoad
		for i := range 400 {
			loads = append(loads, placement.KeyLoad{Key: fmt.Sprint(prefix, i), Load: 1000 + float64(i)})
		}
		return loads
	}
	isolated := map[string]bool{}
	for second := range 20 {
		prefix := "old-"
		if second >= 10 {
			prefix = "new-"
		}
		plan := p.Plan(time.Duration(second)*time.Second, keys(prefix), 1000)
		for _, key := range plan.Return {
			delete(isolated, key)
		}
		for _, key := range plan.Isolate {
			isolated[key] = true
		}
		if len(isolated) > placement.MaxIsolatedKeys {
			t.Fatalf("%d keys isolated, limit %d", len(isolated), placement.MaxIsolatedKeys)
		}
	}
	if len(isolated) != placement.MaxIsolatedKeys || !isolated["new-399"] || isolated["old-399"] {
		t.Errorf("hot keys did not replace cool ones; %d keys isolated", len(isolated))
	}
}

func TestPlanHomes(t *testing.T) {
	settings := placement.DefaultHomeSettings()
	apply := func(homes []placement.Home, regions ...placement.Region) int {
		moves := placement.PlanHomes(homes, regions, settings)
		for _, m := range moves {
			homes[m.Slot].Region = m.To
		}
		return len(moves)
	}
	norte := func(capacity float64, empty time.Duration) placement.Region {
		return placement.Region{Name: "norte", Capacity: capacity, EmptyFor: empty}
	}
	lisboa := placement.Region{Name: "lisboa", Capacity: 60}
	homes := make([]placement.Home, 120)
	for _, step := range []struct {
		what  string
		moves int
		norte placement.Region
	}{
		{"initial homes", 120, norte(60, 0)},
		{"small change of capacity", 0, norte(42, 0)},
		{"large change of capacity", 30, norte(20, 0)},
		{"empty for a short time", 0, norte(0, time.Minute)},
		{"empty for a long time", 30, norte(0, time.Hour)},
		{"capacity is back", 60, norte(60, 0)},
	} {
		if got := apply(homes, step.norte, lisboa); got != step.moves {
			t.Errorf("%s: %d moves, want %d", step.what, got, step.moves)
		}
	}
	homes[0].CallerRegion, homes[119].CallerRegion = "lisboa", "norte"
	if apply(homes, norte(60, 0), lisboa) > 2 || apply(homes, norte(60, 0), lisboa) != 0 {
		t.Error("moves to the callers' region do not converge")
	}
	if homes[0].Region != "lisboa" || homes[119].Region != "norte" {
		t.Errorf("slots did not move to the region of their callers: %+v", homes)
	}
	if placement.PlanHomes(homes, []placement.Region{norte(0, time.Hour)}, settings) != nil {
		t.Error("got home moves although no region has capacity")
	}
}
