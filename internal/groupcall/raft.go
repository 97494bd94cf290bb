package groupcall

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/replog"
)

// EncodeRaft encodes log messages of one group as the body of a peer message.
func EncodeRaft(group string, messages []replog.Message) ([]byte, error) {
	encoded, err := cbor.Marshal(messages)
	if err != nil {
		return nil, errors.Wrap(err, "encode log messages")
	}
	body, err := cbor.Marshal(wire.RaftBatch{Group: group, Messages: encoded})
	return body, errors.Wrap(err, "encode log messages")
}

// DecodeRaft decodes a body encoded by EncodeRaft.
func DecodeRaft(body []byte) (group string, messages []replog.Message, err error) {
	var batch wire.RaftBatch
	if err := cbor.Unmarshal(body, &batch); err != nil {
		return "", nil, errors.Wrap(err, "decode log messages")
	}
	err = cbor.Unmarshal(batch.Messages, &messages)
	return batch.Group, messages, errors.Wrap(err, "decode log messages")
}
