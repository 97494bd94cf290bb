package routes

import (
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/packed"
)

// maxUpdateBytes limits the size of a decompressed update.
const maxUpdateBytes = 32 << 20

// EncodeUpdate returns an encoded update.
func EncodeUpdate(u Update) ([]byte, error) {
	data, err := packed.Encode(u)
	if err != nil {
		return nil, errors.Wrap(ErrEncoding, err.Error())
	}
	return data, nil
}

// DecodeUpdate is the inverse of EncodeUpdate.
func DecodeUpdate(data []byte) (Update, error) {
	u, err := packed.Decode[Update](data, maxUpdateBytes)
	if err != nil {
		return Update{}, errors.Wrap(ErrEncoding, err.Error())
	}
	return u, nil
}
