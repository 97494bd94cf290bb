package delta

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestDecodeIsTheInverseOfEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 4000).Draw(t, "base")
		cut := rapid.IntRange(0, len(base)).Draw(t, "cut")
		target := append(bytes.Clone(base[cut:]), rapid.SliceOf(rapid.Byte()).Draw(t, "inserted")...)
		target = append(target, base[:cut]...)
		encoded, err := Encode(base, target)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(base, encoded, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(decoded, target) {
			t.Fatalf("got %d bytes, want %d", len(decoded), len(target))
		}
	})
}

// lines returns a text with a line for each number. The line of the given number differs from the others.
func lines(count, changed int) []byte {
	var text bytes.Buffer
	for i := range count {
		fmt.Fprintf(&text, "%x route %d timeout %d\n", i*7919, i, 800+i*31)
		if i == changed {
			text.WriteString("an additional line\n")
		}
	}
	return text.Bytes()
}

func TestSmallChangeOfLargeTextIsSmall(t *testing.T) {
	const maxDeltaBytes = 1000
	for _, count := range []int{100, 10_000, 100_000} {
		encoded, err := Encode(lines(count, count/3), lines(count, count/2))
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > maxDeltaBytes {
			t.Errorf("%d lines: %d bytes for two changed lines, want at most %d", count, len(encoded), maxDeltaBytes)
		}
	}
}

func TestDecodeRefusesLargeAndInvalidTexts(t *testing.T) {
	encoded, err := Encode(nil, make([]byte, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(nil, encoded, 1<<19); !errors.Is(err, ErrEncoding) {
		t.Errorf("decoding 1 MiB within 512 KiB: error %v, want ErrEncoding", err)
	}
	if _, err := Decode(nil, []byte("no frame"), 1<<20); !errors.Is(err, ErrEncoding) {
		t.Errorf("decoding bytes that are no frame: error %v, want ErrEncoding", err)
	}
}
