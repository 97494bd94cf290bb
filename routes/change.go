package routes

import (
	"reflect"
	"slices"

	"github.com/pkg/errors"
)

// ErrMismatch means that a change does not apply to the configuration at hand.
var ErrMismatch = errors.New("routes: change does not apply")

// Diff returns the change from one valid configuration to another.
func Diff(from, to Config) Change {
	change := Change{
		Base: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits,
		Routes: []Route{}, RemovedRoutes: []string{},
	}
	old := make(map[string]*Route, len(from.Routes))
	for i := range from.Routes {
		old[from.Routes[i].Name] = &from.Routes[i]
	}
	for _, r := range to.Routes {
		if before := old[r.Name]; before == nil || !before.equal(r) {
			change.Routes = append(change.Routes, r)
		}
		delete(old, r.Name)
	}
	for i := range from.Routes {
		if name := from.Routes[i].Name; old[name] != nil {
			change.RemovedRoutes = append(change.RemovedRoutes, name)
		}
	}
	return change
}

// equal reports whether two routes are the same.
func (r *Route) equal(other Route) bool {
	return reflect.DeepEqual(*r, other)
}

// Apply returns the configuration that results from a change. It may list the routes in another
// order than the configuration that the change was made from; the order has no meaning. The
// configuration that it is called on stays as it is.
func (c Config) Apply(change Change) (Config, error) {
	if change.Base != c.Version {
		return Config{}, errors.Wrapf(ErrMismatch, "change from version %d to %d, but version %d is at hand", change.Base, change.Version, c.Version)
	}
	result := Config{Version: change.Version, Services: change.Services, Limits: change.Limits}
	replaced := make(map[string]bool, len(change.Routes)+len(change.RemovedRoutes))
	for _, name := range change.RemovedRoutes {
		replaced[name] = true
	}
	for _, r := range change.Routes {
		replaced[r.Name] = true
	}
	result.Routes = make([]Route, 0, len(c.Routes)+len(change.Routes))
	for _, r := range c.Routes {
		if !replaced[r.Name] {
			result.Routes = append(result.Routes, r)
		}
	}
	result.Routes = append(result.Routes, change.Routes...)
	return result, nil
}

// Apply returns the configuration to which the update brings a replica.
func (u Update) Apply(current Config) (Config, error) {
	if u.Full != nil {
		current = *u.Full
	}
	for _, change := range u.Changes {
		var err error
		if current, err = current.Apply(change); err != nil {
			return Config{}, err
		}
	}
	return current, nil
}

const (
	// maxChanges is the number of changes that a Store remembers for replicas that are behind.
	maxChanges = 64
	// maxChangedRoutes limits the memory that these changes use.
	maxChangedRoutes = 4096
)

// changeLog is the list of the latest consecutive changes, oldest first.
type changeLog []Change

// add appends a change, and drops the oldest ones beyond the limits.
func (l *changeLog) add(change Change) {
	*l = append(*l, change)
	for len(*l) > maxChanges || l.size() > maxChangedRoutes {
		*l = (*l)[1:]
	}
}

// size returns the number of routes in the changes.
func (l *changeLog) size() int {
	size := 0
	for _, change := range *l {
		size += len(change.Routes) + len(change.RemovedRoutes)
	}
	return size
}

// since returns the changes that follow a version, and false if they are not all known.
func (l *changeLog) since(version uint64) (changeLog, bool) {
	for i, change := range *l {
		if change.Base == version {
			return (*l)[i:], true
		}
	}
	return nil, false
}

// UpdateSince returns the smallest update for a replica that has a version, 0 for none.
func (s *Store) UpdateSince(version uint64) Update {
	current := s.current
	if version == current.Version {
		return Update{}
	}
	changes, known := s.changes.since(version)
	if !known || changes.size() >= len(current.Routes) {
		return Update{Full: &current}
	}
	return Update{Changes: slices.Clone(changes)}
}
