package routes

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// identity is what identifies a change. Two changes are the same if what was sent is the same, byte for byte: a decoded
// configuration lacks what this release has no use for, so that different ones may look alike.
type identity struct {
	version uint64
	base    uint64
	digest  uint64 // of the decoded configuration
	sent    uint64 // of what was sent; 0 in log entries of releases that did not keep it
}

// identify returns the identity of a change.
func identify(p Put) (identity, error) {
	digest, err := digest(p.Config)
	if err != nil {
		return identity{}, err
	}
	id := identity{version: p.Config.Version, base: p.Base, digest: digest, sent: digest}
	if len(p.Document) > 0 {
		id.sent = xxhash.Sum64(p.Document)
	}
	return id, nil
}

// digest returns a hash of a decoded configuration.
func digest(c Config) (uint64, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return 0, errors.Wrap(ErrEncoding, err.Error())
	}
	return xxhash.Sum64(data), nil
}

// match says whether an accepted change is the same as another one.
type match int

const (
	otherChange match = iota
	sameChange
	maybeSameChange // an earlier release has accepted it, which did not keep a digest of what was sent
)

// match compares a change to the accepted ones.
func (s *Store) match(id identity) match {
	for _, a := range s.history {
		if a.Version == id.version && a.Base == id.base {
			return id.matches(a)
		}
	}
	return otherChange
}

// matches compares a change to an accepted one of the same version and base.
func (id identity) matches(a Accepted) match {
	if id.sent != 0 && a.Sent != 0 {
		return sameIf(id.sent == a.Sent)
	}
	if id.sent == 0 { // an entry in the log of an earlier release, which compared what was decoded
		return sameIf(id.digest == a.Digest)
	}
	if id.digest == a.Digest {
		return maybeSameChange
	}
	return otherChange
}

func sameIf(equal bool) match {
	if equal {
		return sameChange
	}
	return otherChange
}
