package bodybuffer

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/membudget"
)

func noTime() time.Duration { return 0 }

// Guards against memory that is taken by the announced length: a client that sends nothing would hold it.
func TestMemoryIsTakenAsBytesArrive(t *testing.T) {
	budget := membudget.New(4 << 20)
	account := budget.Open(0, func() {})
	sent := bytes.Repeat([]byte("x"), 10000)
	reader := io.MultiReader(bytes.NewReader(sent), iotest.ErrReader(errors.New("reset")))
	if _, _, err := ReadRequest(reader, 1<<20, 1<<20, account, noTime); err == nil {
		t.Error("a body that broke off has no error")
	}
	if held := budget.Held(membudget.RequestBodies); held > 2*int64(len(sent)) {
		t.Errorf("%d bytes are held for %d that arrived", held, len(sent))
	}
	account.Close()
	if held := budget.Held(membudget.RequestBodies); held != 0 {
		t.Errorf("%d bytes are held at the end", held)
	}
}

// Guards against bodies beyond the budget.
func TestBodyBeyondBudgetIsRefused(t *testing.T) {
	budget := membudget.New(1 << 20)
	account := budget.Open(0, func() {})
	_, _, err := ReadRequest(strings.NewReader(strings.Repeat("x", 1<<20)), -1, 1<<20, account, noTime)
	if !errors.Is(err, ErrMemoryShort) {
		t.Errorf("got %v, want ErrMemoryShort", err)
	}
}

// Guards against bodies that are cut or joined wrongly while their memory grows.
func TestBodyIsWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstRequestBytes, firstRequestBytes + 1, 100000} {
		for _, length := range []int64{int64(size), -1} {
			want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			account := membudget.New(4<<20).Open(0, func() {})
			got, ended, err := ReadRequest(iotest.HalfReader(bytes.NewReader(want)), length, 1<<20, account, noTime)
			if err != nil || !ended || !bytes.Equal(got, want) {
				t.Errorf("%d bytes of length %d: got %d, ended %v, error %v", size, length, len(got), ended, err)
			}
		}
	}
	account := membudget.New(4<<20).Open(0, func() {})
	if got, ended, err := ReadRequest(strings.NewReader("12345678"), -1, 5, account, noTime); string(got) != "12345" || ended || err != nil {
		t.Errorf("a body beyond the limit: got %q, ended %v, error %v", got, ended, err)
	}
	if _, _, err := ReadRequest(strings.NewReader("123"), 5, 10, account, noTime); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that ended early: %v", err)
	}
}
