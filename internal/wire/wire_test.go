package wire

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestFrameRoundTrip(t *testing.T) {
	sent := Frame{Kind: KindAnnounce, CallID: 7, Body: []byte{1, 2}}
	encoded, err := cbor.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var received Frame
	if err := cbor.Unmarshal(encoded, &received); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(sent, received) {
		t.Fatalf("sent %+v, received %+v", sent, received)
	}
}
