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
	id, err := identify(p)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	return s.check(p, id)
}

// check returns the reply to a change with the given identity.
func (s *Store) check(p Put, id identity) PutReply {
	switch s.match(id) {
	case sameChange:
		return s.reply(OutcomeAccepted, "")
	case maybeSameChange:
		return s.unclear()
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
	id, err := identify(p)
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
	return Delta{
		Base: p.Base, Version: p.Config.Version, Digest: id.digest, Sent: id.sent, Sum: xxhash.Sum64(target), Encoded: encoded,
	}, nil
}

// ApplyDelta puts a change into force if it is accepted, and returns the reply to it.
func (s *Store) ApplyDelta(d Delta) PutReply {
	id := identity{version: d.Version, base: d.Base, digest: d.Digest, sent: d.Sent}
	switch s.match(id) {
	case sameChange:
		return s.reply(OutcomeAccepted, "")
	case maybeSameChange:
		return s.unclear()
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
	if id.sent == 0 {
		if id, err = identify(p); err != nil {
			return s.reply(OutcomeInvalid, err.Error())
		}
	}
	return s.apply(p, id, encoded)
}

// Apply puts a change into force if it is accepted, and returns the reply to it.
func (s *Store) Apply(p Put) PutReply {
	id, err := identify(p)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	encoded, err := cbor.Marshal(p)
	if err != nil {
		return s.reply(OutcomeInvalid, err.Error())
	}
	return s.apply(p, id, encoded)
}

func (s *Store) apply(p Put, id identity, encoded []byte) PutReply {
	reply := s.check(p, id)
	if reply.Outcome != OutcomeAccepted || s.match(id) == sameChange {
		return reply
	}
	if s.current.Version > 0 {
		s.changes.add(Diff(s.current, p.Config))
	}
	s.current, s.document, s.encoded = p.Config, p.Document, encoded
	s.history = append(s.history, Accepted{Version: p.Config.Version, Base: p.Base, Digest: id.digest, Sent: id.sent})
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

// unclear is the reply to a change that may have been accepted.
func (s *Store) unclear() PutReply {
	return s.reply(OutcomeUnclear, "an earlier release accepted a change like this one and did not record exactly what was sent")
}

// completeNewest adds the digest of what was sent to the newest record, which is of the change in force, if an earlier
// release has left it out.
func (s *Store) completeNewest(inForce Put) error {
	if len(s.history) == 0 || s.history[len(s.history)-1].Sent != 0 {
		return nil
	}
	id, err := identify(inForce)
	s.history[len(s.history)-1].Sent = id.sent
	return err
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
	restored := Store{current: p.Config, document: p.Document, encoded: encoded, history: image.History}
	if err := restored.completeNewest(p); err != nil {
		return err
	}
	*s = restored
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
