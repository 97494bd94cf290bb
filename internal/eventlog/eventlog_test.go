package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks each write until release is closed.
type blockedOutput struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func TestAddNeverBlocksAndDropsAreCounted(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	l := New(out, "host-1")
	start := time.Now()
	for i := range 4 * queueCapacity {
		l.Add(Event{Name: "request", Request: fmt.Sprint(i), Key: -1, Important: true})
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("adding took %v while the output was blocked", took)
	}
	close(out.release)
	l.Close()
	if !strings.Contains(out.written.String(), `event="lines dropped"`) {
		t.Error("dropped lines are not reported")
	}
}

func TestFailuresAreWrittenBeforeRoutineLines(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "host-1")
	for range routineSampleInterval {
		l.Add(Event{Name: "request", Request: "served", Key: -1})
	}
	l.Add(Event{Name: "request", Request: "failed", Key: 7, Reason: "no-owner", Status: 503, Important: true})
	l.Close()
	text := out.String()
	if failed, served := strings.Index(text, "failed"), strings.Index(text, "served"); failed < 0 || served < failed {
		t.Errorf("the failure is not written before the routine line:\n%s", text)
	}
	if !strings.Contains(text, `key=7 outcome=`) && !strings.Contains(text, `key=7 reason="no-owner" status=503`) {
		t.Errorf("fields are missing:\n%s", text)
	}
}

func TestWriterDropsInsteadOfBlocking(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	for range 4 * queueCapacity {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write returned %d, %v; want 5, nil", n, err)
		}
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.written.String(), "lines dropped count=") {
		t.Error("dropped lines are not reported")
	}
}

func BenchmarkAdd(b *testing.B) {
	l := New(&bytes.Buffer{}, "host-1")
	defer l.Close()
	for b.Loop() {
		l.Add(Event{Name: "request", Request: "9c41d07be2a35f68", Key: 7, Outcome: "answered"})
	}
}
