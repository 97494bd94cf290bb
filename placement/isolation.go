package placement

import (
	"cmp"
	"slices"
	"time"
)

// MaxIsolatedKeys is the most keys of one service that stand in slots of their own.
const MaxIsolatedKeys = 256

// maxIsolationCandidates bounds the keys watched before they are isolated.
const maxIsolationCandidates = 2 * MaxIsolatedKeys

// IsolationSettings are the thresholds of IsolationPlanner.
type IsolationSettings struct {
	// IsolateThreshold is the part of a server's fair load from which a key is hot.
	IsolateThreshold float64
	// ReturnThreshold is the part of a server's fair load below which an isolated key has
	// cooled down. It is below Isolate, so that noise changes nothing.
	ReturnThreshold float64
	// IsolateAfter is the time for which a key must be hot before it is isolated.
	IsolateAfter time.Duration
	// ReturnAfter is the time for which an isolated key must be cool before it
	// returns.
	ReturnAfter time.Duration
	// MaxKeys bounds the isolated keys, up to MaxIsolatedKeys.
	MaxKeys int
}

// Defaults of IsolationSettings.
const (
	defaultIsolateFraction = 0.10
	defaultReturnFraction  = 0.03
	defaultHotFor          = 3 * time.Second
	defaultCoolFor         = 5 * time.Minute
)

// DefaultIsolationSettings returns the defaults.
func DefaultIsolationSettings() IsolationSettings {
	return IsolationSettings{
		IsolateThreshold: defaultIsolateFraction,
		ReturnThreshold:  defaultReturnFraction,
		IsolateAfter:     defaultHotFor,
		ReturnAfter:      defaultCoolFor,
		MaxKeys:          MaxIsolatedKeys,
	}
}

// IsolationPlan lists keys that get a slot of their own, the hottest first, and
// keys that return to the slot of their hash, in alphabetical order. A key is
// isolated at the server that owns it already, so that isolating it alone moves
// nothing.
type IsolationPlan struct {
	Isolate []string
	Return  []string
}

// IsolationPlanner decides which keys of one service get a slot of their own. Its
// state is bounded and in memory; a new leader restores the isolated keys with
// Restore and watches the others anew. It is not safe for concurrent use.
type IsolationPlanner struct {
	settings IsolationSettings
	hotSince map[string]time.Duration // candidates
	lastHot  map[string]time.Duration // isolated keys: when they were last not cool
}

// NewIsolationPlanner returns a planner without isolated keys.
func NewIsolationPlanner(settings IsolationSettings) *IsolationPlanner {
	settings.MaxKeys = min(settings.MaxKeys, MaxIsolatedKeys)
	return &IsolationPlanner{
		settings: settings,
		hotSince: make(map[string]time.Duration),
		lastHot:  make(map[string]time.Duration),
	}
}

// Restore takes the keys that are isolated already, as after a change of leader.
// Each counts as hot at now.
func (p *IsolationPlanner) Restore(now time.Duration, keys []string) {
	p.hotSince = make(map[string]time.Duration)
	p.lastHot = make(map[string]time.Duration, len(keys))
	for _, key := range keys {
		p.lastHot[key] = now
	}
}

// Plan takes the hottest keys of the service with their loads summed over all
// entry hosts, and a server's fair load (the service's load over its servers),
// both in requests/s. A key that is not among them counts as cool. The returned
// keys count as isolated or returned from then on.
func (p *IsolationPlanner) Plan(now time.Duration, keys []KeyLoad, fairLoad float64) IsolationPlan {
	if fairLoad <= 0 {
		return IsolationPlan{}
	}
	sorted := slices.Clone(keys)
	slices.SortFunc(sorted, hottestFirst)
	p.watch(now, sorted, fairLoad)
	plan := IsolationPlan{Return: p.cooled(now)}
	plan.Isolate = p.isolate(now, sorted)
	return plan
}

// watch notes which candidates are hot and which isolated keys are not cool. The
// keys are sorted, the hottest first.
func (p *IsolationPlanner) watch(now time.Duration, keys []KeyLoad, fairLoad float64) {
	before := p.hotSince
	p.hotSince = make(map[string]time.Duration)
	for _, k := range keys {
		if _, isolated := p.lastHot[k.Key]; isolated {
			if k.Load >= p.settings.ReturnThreshold*fairLoad {
				p.lastHot[k.Key] = now
			}
			continue
		}
		// The sketch may count a key too high; only what is certain isolates it.
		if k.Load-k.Error < p.settings.IsolateThreshold*fairLoad || len(p.hotSince) >= maxIsolationCandidates {
			continue
		}
		since, known := before[k.Key]
		if !known {
			since = now
		}
		p.hotSince[k.Key] = since
	}
}

// cooled removes and returns the keys that were cool for long. When the table is
// full, keys that are cool now make room for waiting ones, the longest cool
// first.
func (p *IsolationPlanner) cooled(now time.Duration) []string {
	var cool []string
	for key, last := range p.lastHot {
		if last < now {
			cool = append(cool, key)
		}
	}
	slices.SortFunc(cool, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.lastHot[a], p.lastHot[b]), cmp.Compare(a, b))
	})
	wanted := len(p.lastHot) + len(p.hotSince) - p.settings.MaxKeys
	var returned []string
	for _, key := range cool {
		if now-p.lastHot[key] < p.settings.ReturnAfter && len(returned) >= wanted {
			break
		}
		delete(p.lastHot, key)
		returned = append(returned, key)
	}
	slices.Sort(returned)
	return returned
}

func (p *IsolationPlanner) isolate(now time.Duration, keys []KeyLoad) []string {
	var isolated []string
	for _, k := range keys {
		since, hot := p.hotSince[k.Key]
		if !hot || now-since < p.settings.IsolateAfter || len(p.lastHot) >= p.settings.MaxKeys {
			continue
		}
		delete(p.hotSince, k.Key)
		p.lastHot[k.Key] = now
		isolated = append(isolated, k.Key)
	}
	return isolated
}
