package control

import (
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/catalog"
	"github.com/galenalug/galenalug/ownership"
)

// globalEntry is one entry of the global log. Exactly one field is set.
type globalEntry struct {
	Catalog *catalog.Command       `cbor:"1,keyasint,omitempty"`
	Lists   []byte                 `cbor:"2,keyasint,omitempty"` // allowance.Command
	Parts   *allowance.PartCommand `cbor:"3,keyasint,omitempty"`
}

// globalSnapshot is the encoded form of the global state.
type globalSnapshot struct {
	Catalog []byte `cbor:"1,keyasint"`
	Lists   []byte `cbor:"2,keyasint"`
	Parts   []byte `cbor:"3,keyasint"`
}

// globalState is the replicated state that all regions share: the services and the homes of
// their slots, the plans, and the allowances with their parts.
//
// Lock order: globalGroup.mu, globalState.mu, feed.mu. The mutex of the group's runner is also acquired
// while globalGroup.mu is held, but not while globalState.mu is held. globalState.mu may be acquired
// while regionGroup.mu is held, see regionState.
type globalState struct {
	feed *feed

	mu      sync.RWMutex
	catalog *catalog.State
	lists   *allowance.Lists
	parts   *allowance.Parts

	// cached holds the result of homes for the catalog at cachedVersion.
	cached        homes
	cachedVersion uint64
}

func newGlobalState(group string) *globalState {
	return &globalState{
		feed:    newFeed(group),
		catalog: catalog.NewState(),
		lists:   allowance.NewLists(),
		parts:   allowance.NewParts(),
	}
}

// Apply applies one log entry. It returns the allowance.Result of a change to a list, an error
// that wraps errInvalidEntry, or nil.
func (s *globalState) Apply(index uint64, data []byte) any {
	var entry globalEntry
	if err := cbor.Unmarshal(data, &entry); err != nil {
		return errors.Wrap(errInvalidEntry, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.Catalog != nil {
		s.applyCatalog(index, *entry.Catalog)
		return nil
	}
	if entry.Parts != nil {
		s.parts.Apply(index, *entry.Parts)
		return nil
	}
	command, err := allowance.DecodeCommand(entry.Lists)
	if err != nil {
		return errors.Wrap(errInvalidEntry, err.Error())
	}
	return s.lists.Apply(command)
}

func (s *globalState) applyCatalog(index uint64, command catalog.Command) {
	changed := s.catalog.Apply(index, command)
	if len(changed) == 0 {
		return
	}
	body, err := s.catalog.Encode(changed...)
	if err != nil {
		return
	}
	s.feed.publish(s.catalog.Version(), body)
}

// Snapshot encodes the state.
func (s *globalState) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	services, err := s.catalog.Encode()
	if err != nil {
		return nil, err
	}
	lists, err := s.lists.Snapshot()
	if err != nil {
		return nil, err
	}
	parts, err := s.parts.Snapshot()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(globalSnapshot{Catalog: services, Lists: lists, Parts: parts})
}

// Restore replaces the state with a snapshot.
func (s *globalState) Restore(_ uint64, data []byte) error {
	var decoded globalSnapshot
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(errInvalidEntry, err.Error())
	}
	services := catalog.NewState()
	if err := services.Update(decoded.Catalog); err != nil {
		return err
	}
	lists, err := allowance.RestoreLists(decoded.Lists)
	if err != nil {
		return err
	}
	parts, err := allowance.RestoreParts(decoded.Parts)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = services
	s.lists = lists
	s.parts = parts
	s.feed.reset(services.Version(), s.encodeTable())
	return nil
}

// encodeTable returns the encoded global table. The caller holds mu.
func (s *globalState) encodeTable() []byte {
	body, err := s.catalog.Encode()
	if err != nil {
		return nil
	}
	return body
}

// watch adds a watcher of the global table.
func (s *globalState) watch(w watcher, heldVersion uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.feed.watch(w, heldVersion, s.encodeTable)
}

// homes holds the homes of slots by service. It implements ownership.Homes.
type homes map[string][]ownership.Home

// homes returns the homes of all keyed services. The result is shared; the caller must not
// modify it.
func (s *globalState) homes() homes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached != nil && s.cachedVersion == s.catalog.Version() {
		return s.cached
	}
	all := homes{}
	for _, name := range s.catalog.Names() {
		service := s.catalog.Service(name)
		if !service.Keyed {
			continue
		}
		list := make([]ownership.Home, len(service.Homes))
		for i, home := range service.Homes {
			list[i] = ownership.Home{Region: home.Region, To: home.To, Generation: home.Generation}
		}
		all[name] = list
	}
	s.cached = all
	s.cachedVersion = s.catalog.Version()
	return all
}

// ServiceNames returns the names of the keyed services in sorted order.
func (h homes) ServiceNames() []string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Of returns the homes of a service's slots, indexed by slot.
func (h homes) Of(service string) []ownership.Home { return h[service] }
