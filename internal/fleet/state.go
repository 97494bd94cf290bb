package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// maxLeaves is the maximum number of leaves kept in the replicated state. A leave is needed only
// until the drain period of its server is over.
const maxLeaves = 512

// command is a log entry. Exactly one field is set.
type command struct {
	Delta       *routes.Delta   `cbor:"d,omitempty"`
	Put         *routes.Put     `cbor:"p,omitempty"` // complete configuration, in logs written before there were deltas
	LeaseMillis int64           `cbor:"l,omitempty"` // maximum lease of grants from this entry on
	Leave       *keyrange.Leave `cbor:"x,omitempty"`

	Grants []keyrange.Assignment `cbor:"g,omitempty"`

	Evacuation            *evacuation.Change            `cbor:"e,omitempty"` // in logs written before there were sequence numbers
	ConditionalEvacuation *evacuation.ConditionalChange `cbor:"c,omitempty"`
}

// stateSnapshot is the encoded form of fleetState.
type stateSnapshot struct {
	Routes      []byte           `cbor:"r"`
	LeaseMillis int64            `cbor:"l"`
	Leaves      []keyrange.Leave `cbor:"x"`

	Grants []keyrange.Assignment `cbor:"g"`

	Evacuations         *evacuation.Set             `cbor:"e,omitempty"` // nil if there never were any
	EvacuationSequences []evacuation.DomainSequence `cbor:"q,omitempty"`
}

// fleetState is the replicated state machine. Apply, Snapshot and Restore are called by the
// goroutine of the replicated log, the other methods by any goroutine.
type fleetState struct {
	onChange func() // called after each change of the state, without mu held

	mu              sync.Mutex // guards the fields below
	routes          routes.Store
	leaseMillis     int64
	leaves          []keyrange.Leave
	grantRecord     keyrange.Record
	appliedVersions trace.History[uint64] // configuration versions applied by this host
	evacuations     evacuation.State
	evacuationTrace trace.History[trace.Evacuation] // revisions applied by this host
}

// Apply applies one encoded command.
func (s *fleetState) Apply(_ uint64, data []byte) any {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		log.WithError(err).Error("invalid log entry ignored")
		return nil
	}
	defer s.onChange()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Delta != nil:
		return s.applyConfig(func() routes.PutReply { return s.routes.ApplyDelta(*c.Delta) })
	case c.Put != nil:
		return s.applyConfig(func() routes.PutReply { return s.routes.Apply(*c.Put) })
	case c.Leave != nil:
		if !slices.Contains(s.leaves, *c.Leave) {
			s.leaves = append(s.leaves, *c.Leave)
		}
		if extra := len(s.leaves) - maxLeaves; extra > 0 {
			s.leaves = s.leaves[extra:]
		}
	case c.Evacuation != nil:
		return s.applyEvacuation(func() evacuation.ChangeReply { return s.evacuations.ApplyUnconditionally(*c.Evacuation) })
	case c.ConditionalEvacuation != nil:
		return s.applyEvacuation(func() evacuation.ChangeReply { return s.evacuations.Apply(*c.ConditionalEvacuation) })
	case len(c.Grants) > 0:
		s.grantRecord.Apply(c.Grants)
	case c.LeaseMillis > 0:
		s.leaseMillis = max(s.leaseMillis, c.LeaseMillis)
	}
	return nil
}

// applyConfig calls apply and records the version that it puts into force. It must be called with s.mu held.
func (s *fleetState) applyConfig(apply func() routes.PutReply) routes.PutReply {
	before := s.routes.Current().Version
	reply := apply()
	if reply.Current != before {
		s.appliedVersions.Add(time.Now(), reply.Current)
	}
	return reply
}

// Snapshot returns the state encoded as CBOR.
func (s *fleetState) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	routesImage, err := s.routes.Snapshot()
	if err != nil {
		return nil, err
	}
	image := stateSnapshot{Routes: routesImage, LeaseMillis: s.leaseMillis, Leaves: s.leaves, Grants: s.grantRecord.All()}
	image.EvacuationSequences = s.evacuations.Sequences()
	if set := s.evacuations.Set(); set.Revision > 0 {
		image.Evacuations = &set
	}
	data, err := cbor.Marshal(image)
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state with a snapshot.
func (s *fleetState) Restore(_ uint64, data []byte) error {
	var image stateSnapshot
	if err := cbor.Unmarshal(data, &image); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	defer s.onChange()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseMillis, s.leaves = image.LeaseMillis, image.Leaves
	s.grantRecord.Restore(image.Grants)
	s.evacuations = evacuation.NewState(evacuation.Set{}, image.EvacuationSequences)
	if image.Evacuations != nil {
		s.evacuations = evacuation.NewState(*image.Evacuations, image.EvacuationSequences)
		s.traceEvacuations()
	}
	return s.routes.Restore(image.Routes)
}

// config returns the configuration in force.
func (s *fleetState) config() routes.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Current()
}

// updateSince returns the version of the configuration in force and the update to it for a gateway that
// has a version.
func (s *fleetState) updateSince(version uint64) (uint64, routes.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Current().Version, s.routes.UpdateSince(version)
}

// document returns the operator's source text of the configuration in force.
func (s *fleetState) document() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Document()
}

// checkPut returns the reply to p without applying it. Current in the reply is the version in force
// now: if p is accepted and Current is below p's version, p has yet to be applied, and change is the log
// entry for it.
func (s *fleetState) checkPut(p routes.Put) (reply routes.PutReply, change *command, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply = s.routes.Check(p)
	if reply.Outcome != routes.OutcomeAccepted || reply.Current >= p.Config.Version {
		return reply, nil, nil
	}
	delta, err := s.routes.Delta(p)
	return reply, &command{Delta: &delta}, err
}

// recordedLease returns the longest lease that was recorded, or 0 if there is none.
func (s *fleetState) recordedLease() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.leaseMillis) * time.Millisecond
}

// grants returns the newest recorded grant of each key.
func (s *fleetState) grants() []keyrange.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantRecord.All()
}

// recordedLeaves returns the recorded leaves, oldest first.
func (s *fleetState) recordedLeaves() []keyrange.Leave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]keyrange.Leave(nil), s.leaves...)
}

// applyEvacuation calls apply, and records a new revision. It must be called with s.mu held.
func (s *fleetState) applyEvacuation(apply func() evacuation.ChangeReply) evacuation.ChangeReply {
	before := s.evacuations.Set().Revision
	reply := apply()
	if s.evacuations.Set().Revision != before {
		s.traceEvacuations()
	}
	return reply
}

// traceEvacuations records that this host has the set. It must be called with s.mu held.
func (s *fleetState) traceEvacuations() {
	set := s.evacuations.Set()
	s.evacuationTrace.Add(time.Now(), trace.Evacuation{Revision: set.Revision, Domains: set.Names()})
}

// evacuationSet returns the evacuated failure domains. They must not be modified.
func (s *fleetState) evacuationSet() evacuation.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Set()
}

// evacuationSequence returns the sequence number of a failure domain.
func (s *fleetState) evacuationSequence(domain string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Sequence(domain)
}
