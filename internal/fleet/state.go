package fleet

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// maxLeft is the number of servers that left that the log remembers. A server is
// asked for only until its drain time is over.
const maxLeft = 512

// command is one entry of the log; one field is set.
type command struct {
	Put         *routes.Put     `cbor:"p,omitempty"`
	LeaseMillis int64           `cbor:"l,omitempty"` // lease that grants may carry from now on
	Left        *keyrange.Leave `cbor:"x,omitempty"`

	Granted []keyrange.Assignment `cbor:"g,omitempty"`
}

// stateImage is a snapshot of the state.
type stateImage struct {
	Routes      []byte           `cbor:"r"`
	LeaseMillis int64            `cbor:"l"`
	Left        []keyrange.Leave `cbor:"x"`

	Granted []keyrange.Assignment `cbor:"g"`
}

// fleetState is the replicated state. Apply, Snapshot and Restore are called by
// the log's goroutine, the others by any.
type fleetState struct {
	changed func() // called after a new configuration came into force

	mu          sync.Mutex // guards the fields below
	routes      routes.Store
	leaseMillis int64
	left        []keyrange.Leave
	record      keyrange.Record
	versions    trace.History[uint64] // configurations as this host applied them
}

// Apply takes in one command.
func (s *fleetState) Apply(_ uint64, data []byte) any {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		log.WithError(err).Error("log entry can't be read")
		return nil
	}
	defer s.changed()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Put != nil:
		return s.applyPut(*c.Put)
	case c.Left != nil:
		s.left = append(s.left, *c.Left)
		if extra := len(s.left) - maxLeft; extra > 0 {
			s.left = s.left[extra:]
		}
	case len(c.Granted) > 0:
		s.record.Apply(c.Granted)
	case c.LeaseMillis > 0:
		s.leaseMillis = max(s.leaseMillis, c.LeaseMillis)
	}
	return nil
}

// applyPut is called with the lock held.
func (s *fleetState) applyPut(put routes.Put) routes.PutReply {
	before := s.routes.Current().Version
	reply := s.routes.Apply(put)
	if reply.Current != before {
		s.versions.Add(time.Now(), reply.Current)
	}
	return reply
}

// Snapshot returns the state in CBOR.
func (s *fleetState) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	routesImage, err := s.routes.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(stateImage{Routes: routesImage, LeaseMillis: s.leaseMillis, Left: s.left, Granted: s.record.All()})
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state by that of a snapshot.
func (s *fleetState) Restore(_ uint64, data []byte) error {
	var image stateImage
	if err := cbor.Unmarshal(data, &image); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	defer s.changed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseMillis, s.left = image.LeaseMillis, image.Left
	s.record.Restore(image.Granted)
	return s.routes.Restore(image.Routes)
}

// config returns the configuration in force.
func (s *fleetState) config() routes.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Current()
}

// document returns the operator's text of the configuration in force.
func (s *fleetState) document() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Document()
}

// check tells what would become of a change.
func (s *fleetState) check(p routes.Put) routes.PutReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Check(p)
}

// lease returns the longest lease that was ever allowed; 0 for none.
func (s *fleetState) lease() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.leaseMillis) * time.Millisecond
}

// granted returns the newest grant of each key.
func (s *fleetState) granted() []keyrange.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.All()
}

// leavers returns the servers that said that they leave.
func (s *fleetState) leavers() []keyrange.Leave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]keyrange.Leave(nil), s.left...)
}
