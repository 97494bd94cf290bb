package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer forwards log lines to another writer without blocking its caller. A line is dropped if the
// queue is full, and the number of dropped lines is written to the output.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
}

// NewWriter returns a running Writer that forwards to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), stop: make(chan struct{})}
	w.done.Go(func() { flushPeriodically(w.stop, w.flush) })
	return w
}

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() {
	close(w.stop)
	w.done.Wait()
}

func (w *Writer) flush(limit int) {
	var batch []byte
	for range limit {
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
		_, _ = w.out.Write(batch) // there is nowhere to report a failure of the log output
	}
}
