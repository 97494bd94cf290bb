// Package packed encodes large messages between processes: CBOR (RFC 8949), compressed with DEFLATE (RFC
// 1951). The entries of tables and configurations are much alike, and entry hosts may have slow links.
package packed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrEncoding is the cause of all errors of this package.
var ErrEncoding = errors.New("packed: invalid encoding")

// writers holds compressors, whose tables are large.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // only for an unknown level
	}
	return w
}}

// Encode returns the encoded value.
func Encode(value any) ([]byte, error) {
	compressor := writers.Get().(*flate.Writer)
	defer writers.Put(compressor)
	var out bytes.Buffer
	compressor.Reset(&out)
	if err := cbor.NewEncoder(compressor).Encode(value); err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	return out.Bytes(), nil
}

// Decode is the inverse of Encode. It fails if the value takes more than maxBytes before compression.
func Decode[T any](data []byte, maxBytes int64) (T, error) {
	var value T
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBytes+1))
	if err != nil {
		return value, errors.Wrap(ErrEncoding, err.Error())
	}
	if int64(len(plain)) > maxBytes {
		return value, errors.Wrapf(ErrEncoding, "value exceeds %d bytes", maxBytes)
	}
	return value, errors.Wrap(cbor.Unmarshal(plain, &value), "decode value")
}
