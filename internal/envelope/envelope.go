// Package envelope wraps a snapshot of a state machine with the name and version of its format and a
// checksum, so that corrupt snapshots and those of another format or version are rejected.
package envelope

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Errors of Decode.
var (
	// ErrCorrupt means that the data is not a valid envelope or does not match its checksum.
	ErrCorrupt = errors.New("envelope is corrupt")
	// ErrFormat means that the envelope holds another format.
	ErrFormat = errors.New("envelope holds another format")
	// ErrVersion means that the version of the format is not supported.
	ErrVersion = errors.New("envelope version is not supported")
)

// Limits on decoded CBOR, since the data comes from a disk or a peer and may be corrupt.
const (
	maxNesting  = 16
	maxElements = 16 << 20
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a value as deterministic CBOR (RFC 8949, section 4.2.1).
func Marshal(value any) ([]byte, error) { return encMode.Marshal(value) }

// Unmarshal decodes CBOR. It rejects unknown fields and duplicate keys.
func Unmarshal(data []byte, value any) error { return decMode.Unmarshal(data, value) }

type frame struct {
	_        struct{} `cbor:",toarray"`
	Format   string
	Version  uint64
	Checksum uint64 // xxHash64 of Payload
	Payload  []byte
}

// Encode returns the value wrapped in an envelope.
func Encode(format string, version uint64, value any) ([]byte, error) {
	payload, err := Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode payload")
	}
	return Marshal(frame{Format: format, Version: version, Checksum: xxhash.Sum64(payload), Payload: payload})
}

// Decode verifies the envelope and decodes its value. Its errors wrap ErrCorrupt, ErrFormat or
// ErrVersion.
func Decode(data []byte, format string, version uint64, value any) error {
	var f frame
	if err := Unmarshal(data, &f); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	if f.Format != format {
		return errors.Wrapf(ErrFormat, "got %q, want %q", f.Format, format)
	}
	if f.Version != version {
		return errors.Wrapf(ErrVersion, "got %d, want %d", f.Version, version)
	}
	if xxhash.Sum64(f.Payload) != f.Checksum {
		return errors.Wrap(ErrCorrupt, "checksum mismatch")
	}
	if err := Unmarshal(f.Payload, value); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	return nil
}
