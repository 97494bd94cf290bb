package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

// frameDecoder rejects CBOR features that galenalug's processes do not use in frames.
var frameDecoder = mustDecoder(cbor.DecOptions{
	DupMapKey:       cbor.DupMapKeyEnforcedAPF,
	IndefLength:     cbor.IndefLengthForbidden,
	MaxNestedLevels: 4,
	MaxMapPairs:     64,
	TagsMd:          cbor.TagsForbidden,
})

func mustDecoder(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// DecodeFrame decodes one message. It fails with ErrInvalidFrame.
func DecodeFrame(message []byte) (wire.Frame, error) {
	var frame wire.Frame
	if err := frameDecoder.Unmarshal(message, &frame); err != nil {
		return wire.Frame{}, errors.Wrap(ErrInvalidFrame, err.Error())
	}
	if frame.Kind <= 0 {
		return wire.Frame{}, errors.Wrapf(ErrInvalidFrame, "kind is %d; must be positive", frame.Kind)
	}
	if frame.Reply && frame.CallID == 0 {
		return wire.Frame{}, errors.Wrap(ErrInvalidFrame, "reply without a call ID")
	}
	if frame.ErrorCode != "" && !frame.Reply {
		return wire.Frame{}, errors.Wrap(ErrInvalidFrame, "error code in a frame that is not a reply")
	}
	return frame, nil
}

// EncodeFrame encodes one message.
func EncodeFrame(frame wire.Frame) ([]byte, error) {
	message, err := cbor.Marshal(frame)
	return message, errors.Wrap(err, "encode frame")
}
