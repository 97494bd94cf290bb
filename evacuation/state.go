package evacuation

import (
	"slices"
	"strings"
)

// State is the replicated state of the evacuations: the set, and a sequence number for each failure domain. Each replica
// must apply the same changes in the same order. It is not safe for concurrent use.
type State struct {
	set       Set
	sequences []DomainSequence // by name; without the domains whose number is 0
}

// NewState returns a state with the given content, such as that of a snapshot.
func NewState(set Set, sequences []DomainSequence) State {
	return State{set: set, sequences: slices.Clone(sequences)}
}

// Set returns the set. It must not be modified.
func (s *State) Set() Set { return s.set }

// Sequences returns the sequence numbers, by name of the failure domain.
func (s *State) Sequences() []DomainSequence { return slices.Clone(s.sequences) }

// Sequence returns the sequence number of a failure domain.
func (s *State) Sequence(domain string) uint64 {
	if i, known := s.find(domain); known {
		return s.sequences[i].Number
	}
	return 0
}

// Apply applies a change if it is based on the current sequence number of its failure domain. A change that asks for what
// is in force takes effect whatever it is based on: it may be the repetition of one that was applied. It raises the number,
// too, so that its acknowledgement outdates all other changes that are still on their way.
func (s *State) Apply(c ConditionalChange) ChangeReply {
	domain := c.Change.Domain
	if c.Sequence != s.Sequence(domain) && !s.set.InForce(c.Change) {
		return ChangeReply{Outdated: true, Sequence: s.Sequence(domain), Revision: s.set.Revision}
	}
	s.set = s.set.Apply(c.Change)
	return ChangeReply{Sequence: s.advance(domain), Revision: s.set.revisionOf(domain)}
}

// ApplyUnconditionally applies a change from a log that was written before there were sequence numbers. It raises none, so
// that replicas agree with those that have restored a snapshot from that time.
func (s *State) ApplyUnconditionally(c Change) ChangeReply {
	s.set = s.set.Apply(c)
	return ChangeReply{Sequence: s.Sequence(c.Domain), Revision: s.set.revisionOf(c.Domain)}
}

// advance raises the sequence number of a failure domain, and returns it.
func (s *State) advance(domain string) uint64 {
	i, known := s.find(domain)
	if !known {
		s.sequences = slices.Insert(s.sequences, i, DomainSequence{Name: domain})
	}
	s.sequences[i].Number++
	return s.sequences[i].Number
}

// find returns the index of a failure domain in sequences, or the one at which it is to be inserted.
func (s *State) find(domain string) (index int, known bool) {
	return slices.BinarySearchFunc(s.sequences, domain, func(d DomainSequence, name string) int {
		return strings.Compare(d.Name, name)
	})
}
