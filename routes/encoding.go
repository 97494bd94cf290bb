package routes

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxUpdateBytes limits the size of a decompressed update.
const maxUpdateBytes = 32 << 20

// EncodeUpdate returns an update as CBOR, compressed with DEFLATE (RFC 1951): the routes of a large
// configuration are much alike.
func EncodeUpdate(u Update) ([]byte, error) {
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	if err := cbor.NewEncoder(compressor).Encode(u); err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	return out.Bytes(), nil
}

// DecodeUpdate is the inverse of EncodeUpdate.
func DecodeUpdate(data []byte) (Update, error) {
	decompressor := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(decompressor, maxUpdateBytes+1))
	if err != nil {
		return Update{}, errors.Wrap(ErrEncoding, err.Error())
	}
	if len(plain) > maxUpdateBytes {
		return Update{}, errors.Wrapf(ErrEncoding, "update exceeds %d bytes", maxUpdateBytes)
	}
	var u Update
	if err := cbor.Unmarshal(plain, &u); err != nil {
		return Update{}, errors.Wrap(ErrEncoding, err.Error())
	}
	return u, nil
}
