package routes

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxHistory is the number of accepted configurations that a Store records. It covers more than two
// days of changes in the largest supported deployment.
const MaxHistory = 4096

// ErrEncoding means that a configuration or snapshot could not be encoded or decoded.
var ErrEncoding = errors.New("routes: cannot encode or decode")

// Store is the state machine of the configuration. Each replica must apply the same changes in the
// same order.
type Store struct {
	state   Snapshot
	changes changeLog // up to the current configuration; not part of the durable state
}

// Current returns the configuration in force. Its version is 0 before the first Put is accepted.
func (s *Store) Current() Config { return s.state.Current }

// Document returns the operator's original text of the configuration in force.
func (s *Store) Document() []byte { return s.state.Document }

// Check returns the reply that Apply would give, except that Current is the version in force now. It
// does not change the state.
func (s *Store) Check(p Put) PutReply {
	digest, err := Digest(p.Config)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	return s.check(p, digest)
}

// check returns the reply to a change whose configuration has the given digest.
func (s *Store) check(p Put, digest uint64) PutReply {
	if s.accepted(p, digest) {
		return s.reply(OutcomeAccepted, "")
	}
	if p.Base != s.state.Current.Version {
		return s.reply(OutcomeConflict, "another version is in force")
	}
	if p.Config.Version <= s.state.Current.Version {
		return s.reply(OutcomeInvalid, "the version is not above the one in force")
	}
	if err := Validate(p.Config); err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	return s.reply(OutcomeAccepted, "")
}

// Apply puts a change into force if it is accepted, and returns the reply to it.
func (s *Store) Apply(p Put) PutReply {
	digest, err := Digest(p.Config)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	reply := s.check(p, digest)
	if reply.Outcome != OutcomeAccepted || s.accepted(p, digest) {
		return reply
	}
	if s.state.Current.Version > 0 {
		s.changes.add(Diff(s.state.Current, p.Config))
	}
	s.state.Current = p.Config
	s.state.Document = p.Document
	s.state.History = append(s.state.History, Accepted{Version: p.Config.Version, Base: p.Base, Digest: digest})
	if extra := len(s.state.History) - MaxHistory; extra > 0 {
		s.state.History = s.state.History[extra:]
	}
	reply.Current = p.Config.Version
	return reply
}

func (s *Store) reply(outcome Outcome, detail string) PutReply {
	return PutReply{Outcome: outcome, Current: s.state.Current.Version, Detail: detail}
}

// accepted reports whether an identical change was accepted before.
func (s *Store) accepted(p Put, digest uint64) bool {
	for _, a := range s.state.History {
		if a.Version == p.Config.Version && a.Base == p.Base && a.Digest == digest {
			return true
		}
	}
	return false
}

// Digest returns a hash of a configuration's content.
func Digest(c Config) (uint64, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return 0, errors.Wrap(ErrEncoding, err.Error())
	}
	return xxhash.Sum64(data), nil
}

// Snapshot returns the encoded state.
func (s *Store) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(s.state)
	if err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	return data, nil
}

// Restore replaces the state by a snapshot. After an error the state is unchanged.
func (s *Store) Restore(data []byte) error {
	var state Snapshot
	if err := cbor.Unmarshal(data, &state); err != nil {
		return errors.Wrap(ErrEncoding, err.Error())
	}
	s.state, s.changes = state, nil
	return nil
}
