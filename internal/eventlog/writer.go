package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer passes log lines on to another writer without ever blocking its caller.
// A line that finds the queue full is dropped and counted, and the count is
// written.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
}

// NewWriter starts a writer.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), stop: make(chan struct{})}
	w.done.Go(func() { flushUntil(w.stop, w.flush) })
	return w
}

// Write queues one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	w.done.Wait()
}

func (w *Writer) flush(most int) {
	var batch []byte
	for range most {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = fmt.Appendf(batch, "%s warn lines dropped count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(batch) > 0 {
		_, _ = w.out.Write(batch) // an output that is gone leaves nobody to tell
	}
}
