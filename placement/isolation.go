package placement

import (
	"cmp"
	"slices"
	"time"
)

// MaxIsolatedKeys is the maximum number of keys of one service that have a dedicated slot.
const MaxIsolatedKeys = 256

// maxIsolationCandidates bounds the hot keys that are tracked before they are isolated.
const maxIsolationCandidates = 2 * MaxIsolatedKeys

// IsolationSettings are the thresholds of IsolationPlanner.
type IsolationSettings struct {
	// IsolateThreshold is the fraction of a server's fair load from which a key is hot.
	IsolateThreshold float64
	// ReturnThreshold is the fraction of a server's fair load below which an isolated key is cool.
	// It is lower than IsolateThreshold, so that noise does not move a key back and forth.
	ReturnThreshold float64
	// IsolateAfter is the time for which a key must be hot before it is isolated.
	IsolateAfter time.Duration
	// ReturnAfter is the time for which an isolated key must be cool before it returns to its
	// base slot.
	ReturnAfter time.Duration
	// MaxKeys bounds the number of isolated keys; it is capped at MaxIsolatedKeys.
	MaxKeys int
}

// Defaults of IsolationSettings.
const (
	defaultIsolateThreshold = 0.10
	defaultReturnThreshold  = 0.03
	defaultIsolateAfter     = 3 * time.Second
	defaultReturnAfter      = 5 * time.Minute
)

// DefaultIsolationSettings returns the default settings.
func DefaultIsolationSettings() IsolationSettings {
	return IsolationSettings{
		IsolateThreshold: defaultIsolateThreshold,
		ReturnThreshold:  defaultReturnThreshold,
		IsolateAfter:     defaultIsolateAfter,
		ReturnAfter:      defaultReturnAfter,
		MaxKeys:          MaxIsolatedKeys,
	}
}

// IsolationPlan lists the keys that get a dedicated slot, hottest first, and the keys that return to
// their base slot, in alphabetical order. A key is isolated at the server that owns it already, so
// that isolation by itself causes no handover.
type IsolationPlan struct {
	Isolate []string
	Return  []string
}

// IsolationPlanner decides which keys of one service get a dedicated slot. Its state is bounded and
// kept in memory only: a new leader restores the isolated keys with Restore, and tracks all other
// keys from scratch. It is not safe for concurrent use.
type IsolationPlanner struct {
	settings    IsolationSettings
	hotSince    map[string]time.Duration // by candidate: time from which it has been hot
	lastNotCool map[string]time.Duration // by isolated key: last time at which it was not cool
}

// NewIsolationPlanner returns a planner without isolated keys.
func NewIsolationPlanner(settings IsolationSettings) *IsolationPlanner {
	settings.MaxKeys = min(settings.MaxKeys, MaxIsolatedKeys)
	return &IsolationPlanner{
		settings:    settings,
		hotSince:    make(map[string]time.Duration),
		lastNotCool: make(map[string]time.Duration),
	}
}

// Restore replaces the state by the given isolated keys, as after a change of leader. Each of them
// counts as not cool at now.
func (p *IsolationPlanner) Restore(now time.Duration, keys []string) {
	p.hotSince = make(map[string]time.Duration)
	p.lastNotCool = make(map[string]time.Duration, len(keys))
	for _, key := range keys {
		p.lastNotCool[key] = now
	}
}

// Plan takes the service's hottest keys with their loads summed over all entry hosts, and a server's
// fair load (the service's load divided by its number of servers), both in requests/s. A key that is
// not in keys counts as cool. The planner assumes that the returned plan is carried out.
func (p *IsolationPlanner) Plan(now time.Duration, keys []KeyLoad, fairLoad float64) IsolationPlan {
	if fairLoad <= 0 {
		return IsolationPlan{}
	}
	sorted := slices.Clone(keys)
	slices.SortFunc(sorted, hottestFirst)
	p.recordHotKeys(now, sorted, fairLoad)
	plan := IsolationPlan{Return: p.returnCoolKeys(now)}
	plan.Isolate = p.isolateHotKeys(now, sorted)
	return plan
}

// recordHotKeys updates since when candidates are hot, and when isolated keys were last not cool.
// The keys are sorted, hottest first.
func (p *IsolationPlanner) recordHotKeys(now time.Duration, keys []KeyLoad, fairLoad float64) {
	before := p.hotSince
	p.hotSince = make(map[string]time.Duration)
	for _, k := range keys {
		if _, isolated := p.lastNotCool[k.Key]; isolated {
			if k.Load >= p.settings.ReturnThreshold*fairLoad {
				p.lastNotCool[k.Key] = now
			}
			continue
		}
		// The sketch may overestimate a load, so isolation requires the lower bound to be hot.
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

// returnCoolKeys removes and returns the keys that have been cool for ReturnAfter. If candidates
// exceed the free capacity, cool keys make room for them even earlier, longest cool first.
func (p *IsolationPlanner) returnCoolKeys(now time.Duration) []string {
	var cool []string
	for key, last := range p.lastNotCool {
		if last < now {
			cool = append(cool, key)
		}
	}
	slices.SortFunc(cool, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.lastNotCool[a], p.lastNotCool[b]), cmp.Compare(a, b))
	})
	excess := len(p.lastNotCool) + len(p.hotSince) - p.settings.MaxKeys
	var returned []string
	for _, key := range cool {
		if now-p.lastNotCool[key] < p.settings.ReturnAfter && len(returned) >= excess {
			break
		}
		delete(p.lastNotCool, key)
		returned = append(returned, key)
	}
	slices.Sort(returned)
	return returned
}

// isolateHotKeys isolates and returns the candidates that have been hot for IsolateAfter, hottest
// first, as far as there is room.
func (p *IsolationPlanner) isolateHotKeys(now time.Duration, keys []KeyLoad) []string {
	var isolated []string
	for _, k := range keys {
		since, hot := p.hotSince[k.Key]
		if !hot || now-since < p.settings.IsolateAfter || len(p.lastNotCool) >= p.settings.MaxKeys {
			continue
		}
		delete(p.hotSince, k.Key)
		p.lastNotCool[k.Key] = now
		isolated = append(isolated, k.Key)
	}
	return isolated
}
