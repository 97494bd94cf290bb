package keyrange

import (
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/packed"
)

// maxTableBytes limits the size of a decompressed update of the table.
const maxTableBytes = 32 << 20

// EncodeTable returns an encoded update of the table.
func EncodeTable(u TableUpdate) ([]byte, error) {
	data, err := packed.Encode(u)
	return data, errors.Wrap(err, "encode update of the table")
}

// DecodeTable is the inverse of EncodeTable.
func DecodeTable(data []byte) (TableUpdate, error) {
	u, err := packed.Decode[TableUpdate](data, maxTableBytes)
	return u, errors.Wrap(err, "decode update of the table")
}
