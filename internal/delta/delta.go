// Package delta encodes a text as its difference from an earlier one: Zstandard (RFC 8878) with the earlier text as
// raw-content dictionary. What both have in common takes a few bytes, wherever it moved. An empty earlier text gives
// plain compression.
package delta

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// ErrEncoding is the cause of all errors of this package.
var ErrEncoding = errors.New("delta: cannot encode or decode")

const (
	// dictionaryID marks the frames; Zstandard reserves 0 for none.
	dictionaryID = 1
	// minWindowBytes and maxWindowBytes bound how far back the encoder looks for what both texts share.
	minWindowBytes = 64 << 10
	maxWindowBytes = 64 << 20
	// maxFastestBytes and maxDefaultBytes are the sizes of earlier texts up to which the tables of the encoder's two
	// fastest levels index enough of the text. The tables of a higher level take several megabytes.
	maxFastestBytes = 256 << 10
	maxDefaultBytes = 1 << 20
)

// Encode returns what turns base into target.
func Encode(base, target []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(level(len(base))), zstd.WithWindowSize(windowBytes(len(base) + len(target))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	encoded := encoder.EncodeAll(target, nil)
	return encoded, errors.Wrap(encoder.Close(), "close encoder")
}

// level returns the encoder's level for an earlier text of the given size.
func level(size int) zstd.EncoderLevel {
	switch {
	case size <= maxFastestBytes:
		return zstd.SpeedFastest
	case size <= maxDefaultBytes:
		return zstd.SpeedDefault
	default:
		return zstd.SpeedBetterCompression
	}
}

// windowBytes returns the smallest power of two within the bounds that covers size bytes.
func windowBytes(size int) int {
	return min(max(1<<bits.Len(uint(size)), minWindowBytes), maxWindowBytes)
}

// Decode returns the target of a difference from base. It fails if the target has more than maxBytes bytes. The
// target of a difference from another text is wrong, not an error: the caller checks it.
func Decode(base, encoded []byte, maxBytes int) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxBytes))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	defer decoder.Close()
	target, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	return target, nil
}
