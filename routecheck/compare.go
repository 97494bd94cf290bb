package routecheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/galenalug/galenalug/routes"
)

// Change says what happened to an entry.
type Change string

// Changes of entries.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is a difference of an entry from the configuration in force.
type Difference struct {
	Entry   Entry        `json:"entry"`
	Change  Change       `json:"change"`
	Fields  []FieldValue `json:"fields"`
	Effects []string     `json:"effects,omitempty"` // sentences without a full stop, where the effect is not obvious
}

// FieldValue is the value of a field before and after the change, in the notation of the YAML format; the field
// shares.SERVICE is the weight of a service. A value that is empty, 0 or false is left out if the entry was added or removed.
type FieldValue struct {
	Field string `json:"field"`
	Old   string `json:"old"` // empty if the entry or share was added
	New   string `json:"new"` // empty if the entry or share was removed
}

// field is one field of an entry.
type field struct {
	name, value string
	isDefault   bool // whether the value is the one of a field that a file omits
}

// compare returns the differences between two configurations. Of entries with the same name it uses the first.
func compare(before, after routes.Config) []Difference {
	list := []Difference{}
	if fields := changedFields(limitsFields(before.Limits), limitsFields(after.Limits)); len(fields) > 0 {
		list = append(list, Difference{Entry: Entry{Kind: KindLimits}, Change: Changed, Fields: fields})
	}
	list = append(list, compareServices(before.Services, after.Services)...)
	list = append(list, compareRoutes(before, after)...)
	slices.SortFunc(list, func(a, b Difference) int { return compareEntries(a.Entry, b.Entry) })
	return list
}

// byName maps the entries to their names.
func byName[T any](list []T, name func(*T) string) map[string]*T {
	entries := make(map[string]*T, len(list))
	for i := range list {
		if key := name(&list[i]); entries[key] == nil {
			entries[key] = &list[i]
		}
	}
	return entries
}

// entryDifference returns the difference of one entry, and false if there is none. The fields of an absent entry are nil.
func entryDifference(entry Entry, before, after []field) (Difference, bool) {
	d := Difference{Entry: entry, Change: Changed}
	switch {
	case before == nil:
		d.Change = Added
	case after == nil:
		d.Change = Removed
	}
	d.Fields = changedFields(before, after)
	return d, d.Change != Changed || len(d.Fields) > 0
}

// changedFields returns the fields with different values, first those of after in their order.
func changedFields(before, after []field) []FieldValue {
	changed := []FieldValue{}
	old := map[string]field{}
	for _, f := range before {
		old[f.name] = f
	}
	for _, f := range after {
		was, present := old[f.name]
		delete(old, f.name)
		if was.value != f.value && (present || !f.isDefault) {
			changed = append(changed, FieldValue{f.name, was.value, f.value})
		}
	}
	for _, f := range before {
		if _, missing := old[f.name]; missing && !f.isDefault {
			changed = append(changed, FieldValue{Field: f.name, Old: f.value})
		}
	}
	return changed
}

func textField(name, value string) field {
	if value == "" {
		return field{name, value, true}
	}
	return field{name, quoteIfNeeded(value), false}
}

func numberField(name string, value int64) field {
	return field{name, strconv.FormatInt(value, 10), value == 0}
}

func boolField(name string, value bool) field { return field{name, strconv.FormatBool(value), !value} }

func limitsFields(l routes.Limits) []field {
	return []field{
		numberField("header_bytes", l.HeaderBytes), numberField("body_bytes", l.BodyBytes),
		numberField("header_ms", l.HeaderMillis), numberField("idle_ms", l.IdleMillis),
	}
}

func serviceFields(s *routes.Service) []field {
	if s == nil {
		return nil
	}
	return []field{
		textField("health_path", s.HealthPath), numberField("max_connections", s.MaxConnections), boolField("keyed", s.Keyed),
		boolField("grants_by_call", s.Grants == routes.GrantsByCall), numberField("warm_ms", s.WarmMillis),
		numberField("warmup_ms", s.WarmupMillis),
		{"warmup_per_second", strconv.FormatFloat(s.WarmupPerSecond, 'f', -1, 64), s.WarmupPerSecond == 0},
	}
}

func routeFields(r *routes.Route) []field {
	if r == nil {
		return nil
	}
	fields := []field{
		textField("host", r.Host), textField("path_prefix", r.PathPrefix), textField("kind", string(r.Kind)),
		numberField("timeout_ms", r.TimeoutMillis), numberField("target_ms", r.TargetMillis), numberField("priority", r.Priority),
		numberField("max_attempts", r.MaxAttempts), {"allowed_regions", regionList(r), len(r.AllowedRegions) == 0},
	}
	sums := weights(r)
	for _, service := range slices.Sorted(maps.Keys(sums)) {
		fields = append(fields, field{"shares." + quoteIfNeeded(service), strconv.FormatInt(sums[service], 10), false})
	}
	return fields
}

func compareServices(before, after []routes.Service) []Difference {
	var list []Difference
	name := func(s *routes.Service) string { return s.Name }
	was, is := byName(before, name), byName(after, name)
	for _, service := range union(was, is) {
		d, differs := entryDifference(Entry{KindService, service}, serviceFields(was[service]), serviceFields(is[service]))
		if !differs {
			continue
		}
		if a, b := was[service], is[service]; a != nil && b != nil && a.Keyed != b.Keyed {
			d.Effects = append(d.Effects, keyedEffect(b.Keyed))
		}
		list = append(list, d)
	}
	return list
}

func keyedEffect(keyed bool) string {
	if keyed {
		return "the service starts being partitioned by key: requests without a key are refused, the others go only to the owner of their key"
	}
	return "the service stops being partitioned by key: keys lose their owners, and every server may get every request"
}

func union[T any](a, b map[string]*T) []string {
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func compareRoutes(before, after routes.Config) []Difference {
	var list []Difference
	name := func(r *routes.Route) string { return r.Name }
	was, is := byName(before.Routes, name), byName(after.Routes, name)
	oldTable, newTable := routes.NewTable(before), routes.NewTable(after)
	for _, route := range union(was, is) {
		a, b := was[route], is[route]
		d, differs := entryDifference(Entry{KindRoute, route}, routeFields(a), routeFields(b))
		if !differs {
			continue
		}
		if a != nil && unreachableHost(a.Host) == "" { // Table.Match would drop a port
			d.Effects = append(d.Effects, effectsOnOld(newTable, a)...)
		}
		if b != nil && unreachableHost(b.Host) == "" {
			d.Effects = append(d.Effects, effectsOnNew(oldTable, b)...)
		}
		list = append(list, d)
	}
	return list
}

// effectsOnOld describes the effects on the requests that a route had.
func effectsOnOld(table *routes.Table, old *routes.Route) []string {
	what := fmt.Sprintf("requests for host %s, prefix %s", quoteIfNeeded(old.Host), quoteIfNeeded(old.PathPrefix))
	successor := table.Match(old.Host, old.PathPrefix)
	switch {
	case successor == nil:
		return []string{what + " have no route and are answered with 404"}
	case successor.Name == old.Name:
		return routeEffects(old, successor)
	}
	return append([]string{fmt.Sprintf("%s use route %s", what, quoteIfNeeded(successor.Name))}, routeEffects(old, successor)...)
}

// effectsOnNew describes the effects on the requests that a route takes over from another one.
func effectsOnNew(table *routes.Table, r *routes.Route) []string {
	predecessor := table.Match(r.Host, r.PathPrefix)
	if predecessor == nil || predecessor.Name == r.Name {
		return nil
	}
	text := fmt.Sprintf("requests for host %s, prefix %s used route %s", quoteIfNeeded(r.Host), quoteIfNeeded(r.PathPrefix), quoteIfNeeded(predecessor.Name))
	return append([]string{text}, routeEffects(predecessor, r)...)
}

// routeEffects describes what changes for requests that use another route, or a changed one.
func routeEffects(before, after *routes.Route) []string {
	var effects []string
	was, is := weightedServices(before), weightedServices(after)
	kept := slices.DeleteFunc(slices.Clone(was), func(s string) bool { return !slices.Contains(is, s) })
	if len(kept) == 0 && len(was) > 0 && len(is) > 0 {
		effects = append(effects, fmt.Sprintf("requests move from %s to %s", serviceList(was), serviceList(is)))
	} else if lost := slices.DeleteFunc(was, func(s string) bool { return slices.Contains(is, s) }); len(lost) > 0 {
		effects = append(effects, serviceList(lost)+" gets no more of the requests")
	}
	switch {
	case before.Kind.Repeatable() && !after.Kind.Repeatable():
		effects = append(effects, "requests may no longer run more than once: one that may have run is not sent again")
	case !before.Kind.Repeatable() && after.Kind.Repeatable():
		effects = append(effects, "requests may run more than once: one that may have run is sent again")
	}
	return effects
}

// weightedServices returns the services that get requests of a route, in order.
func weightedServices(r *routes.Route) []string {
	sums := weights(r)
	maps.DeleteFunc(sums, func(_ string, weight int64) bool { return weight <= 0 })
	return slices.Sorted(maps.Keys(sums))
}

func serviceList(names []string) string {
	text := "service "
	for i, name := range names {
		if i > 0 {
			text += ", "
		}
		text += quoteIfNeeded(name)
	}
	return text
}
