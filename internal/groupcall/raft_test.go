package groupcall

import (
	"reflect"
	"testing"

	"github.com/galenalug/galenalug/replog"
)

func TestRaftMessagesRoundTrip(t *testing.T) {
	sent := []replog.Message{
		{Kind: replog.KindAppend, From: 1, To: 2, Term: 3, FromName: "a", Entries: []replog.Entry{{Index: 4, Term: 3, Data: []byte("x")}}},
		{Kind: replog.KindVoteReply, From: 1, To: 2, Term: 3, Reject: true},
	}
	body, err := EncodeRaft("fleet", sent)
	if err != nil {
		t.Fatal(err)
	}
	group, received, err := DecodeRaft(body)
	if err != nil || group != "fleet" || !reflect.DeepEqual(received, sent) {
		t.Errorf("group %q, error %v\ngot  %+v\nsent %+v", group, err, received, sent)
	}
	if _, _, err := DecodeRaft(body[:len(body)/2]); err == nil {
		t.Error("decoding a truncated body did not fail")
	}
}
