package routes

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/delta"
)

// MaxHistory is the number of accepted configurations that a Store records. It covers more than two
// days of changes in the largest supported deployment.
const MaxHistory = 4096

// maxPutBytes limits the size of an encoded Put.
const maxPutBytes = 64 << 20

// ErrEncoding means that a configuration or snapshot could not be encoded or decoded.
var ErrEncoding = errors.New("routes: cannot encode or decode")

// Store is the state machine of the configuration. Each replica must apply the same changes in the
// same order.
type Store struct {
	current  Config
	document []byte
	encoded  []byte // the Put in force, as first encoded; deltas are differences from these bytes
	history  []Accepted
	changes  changeLog // up to the current configuration; not part of the durable state
}

// Current returns the configuration in force. Its version is 0 before the first Put is accepted.
func (s *Store) Current() Config { return s.current }

// Document returns the operator's original text of the configuration in force.
func (s *Store) Document() []byte { return s.document }

// Check returns the reply that applying p would give, except that Current is the version in force now.
// It does not change the state.
func (s *Store) Check(p Put) PutReply {
	digest, err := Digest(p.Config)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	return s.check(p, digest)
}

// check returns the reply to a change whose configuration has the given digest.
func (s *Store) check(p Put, digest uint64) PutReply {
	if s.accepted(p.Config.Version, p.Base, digest) {
		return s.reply(OutcomeAccepted, "")
	}
	if p.Base != s.current.Version {
		return s.conflict()
	}
	if p.Config.Version <= s.current.Version {
		return s.reply(OutcomeInvalid, "the version is not above the one in force")
	}
	if err := Validate(p.Config); err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	return s.reply(OutcomeAccepted, "")
}

// Delta returns a change as its difference from the configuration in force. Only replicas with that
// configuration can apply it; for others it is a conflict.
func (s *Store) Delta(p Put) (Delta, error) {
	digest, err := Digest(p.Config)
	if err != nil {
		return Delta{}, err
	}
	target, err := cbor.Marshal(p)
	if err != nil {
		return Delta{}, errors.Wrap(ErrEncoding, err.Error())
	}
	encoded, err := delta.Encode(s.encoded, target)
	if err != nil {
		return Delta{}, errors.Wrap(ErrEncoding, err.Error())
	}
	return Delta{Base: p.Base, Version: p.Config.Version, Digest: digest, Sum: xxhash.Sum64(target), Encoded: encoded}, nil
}

// ApplyDelta puts a change into force if it is accepted, and returns the reply to it.
func (s *Store) ApplyDelta(d Delta) PutReply {
	if s.accepted(d.Version, d.Base, d.Digest) {
		return s.reply(OutcomeAccepted, "")
	}
	if d.Base != s.current.Version {
		return s.conflict()
	}
	encoded, err := delta.Decode(s.encoded, d.Encoded, maxPutBytes)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	if xxhash.Sum64(encoded) != d.Sum {
		return s.reply(OutcomeInvalid, "the change was made from another configuration")
	}
	var p Put
	if err := cbor.Unmarshal(encoded, &p); err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	return s.apply(p, d.Digest, encoded)
}

// Apply puts a change into force if it is accepted, and returns the reply to it.
func (s *Store) Apply(p Put) PutReply {
	digest, err := Digest(p.Config)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	encoded, err := cbor.Marshal(p)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	return s.apply(p, digest, encoded)
}

func (s *Store) apply(p Put, digest uint64, encoded []byte) PutReply {
	reply := s.check(p, digest)
	if reply.Outcome != OutcomeAccepted || s.accepted(p.Config.Version, p.Base, digest) {
		return reply
	}
	if s.current.Version > 0 {
		s.changes.add(Diff(s.current, p.Config))
	}
	s.current, s.document, s.encoded = p.Config, p.Document, encoded
	s.history = append(s.history, Accepted{Version: p.Config.Version, Base: p.Base, Digest: digest})
	if extra := len(s.history) - MaxHistory; extra > 0 {
		s.history = s.history[extra:]
	}
	reply.Current = p.Config.Version
	return reply
}

func (s *Store) reply(outcome Outcome, detail string) PutReply {
	return PutReply{Outcome: outcome, Current: s.current.Version, Detail: detail}
}

func (s *Store) conflict() PutReply { return s.reply(OutcomeConflict, "another version is in force") }

// accepted reports whether an identical change was accepted before.
func (s *Store) accepted(version, base, digest uint64) bool {
	for _, a := range s.history {
		if a.Version == version && a.Base == base && a.Digest == digest {
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
	put, err := delta.Encode(nil, s.encoded)
	if err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	data, err := cbor.Marshal(Snapshot{Put: put, History: s.history})
	if err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	return data, nil
}

// Restore replaces the state by a snapshot. After an error the state is unchanged.
func (s *Store) Restore(data []byte) error {
	var image Snapshot
	if err := cbor.Unmarshal(data, &image); err != nil {
		return errors.Wrap(ErrEncoding, err.Error())
	}
	p, encoded, err := image.put()
	if err != nil {
		return errors.Wrap(ErrEncoding, err.Error())
	}
	*s = Store{current: p.Config, document: p.Document, encoded: encoded, history: image.History}
	return nil
}

// put returns the Put in force and its encoding; both are empty if there is none.
func (s *Snapshot) put() (p Put, encoded []byte, err error) {
	switch {
	case len(s.Put) > 0:
		if encoded, err = delta.Decode(nil, s.Put, maxPutBytes); err != nil || len(encoded) == 0 {
			return p, nil, err
		}
		return p, encoded, cbor.Unmarshal(encoded, &p)
	case s.Current != nil && s.Current.Version > 0:
		p.Config, p.Document = *s.Current, s.Document
		if len(s.History) > 0 {
			p.Base = s.History[len(s.History)-1].Base
		}
		encoded, err = cbor.Marshal(p)
		return p, encoded, err
	}
	return p, nil, nil
}
