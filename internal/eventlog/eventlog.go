// Package eventlog writes one structured line for each decision about a request. Its rate and memory
// are bounded, and it never blocks the request.
//
// Events are queued in two bounded queues, which one goroutine writes out: failures and refusals
// before routine events. An event is dropped if its queue is full, and the number of dropped events
// is written to the log. Routine events are sampled.
package eventlog

import (
	"bufio"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of lines that each queue holds.
	queueCapacity = 512
	// maxLinesPerSecond limits the lines written from each queue.
	maxLinesPerSecond = 200
	// flushInterval is the time between two flushes.
	flushInterval = 100 * time.Millisecond
	// routineSampleInterval is the sampling interval: one routine event in this many is written.
	routineSampleInterval = 64
)

// Event describes one decision about a request. Fields with a zero value are left out of the line.
type Event struct {
	Name          string        // kind of decision
	Request       string        // id of the request
	Service       string        // service of the route
	Server        string        // backend server chosen
	Key           int64         // key of the request; -1 for none
	Outcome       string        // outcome of the request
	Reason        string        // reason for the outcome
	Status        int           // status sent to the client
	Attempts      int           // number of times the request was sent to a backend server
	ConfigVersion uint64        // version of the route configuration
	ConfigAge     time.Duration // since that version was last known to be the newest one
	Term          uint64        // term of the ownership table
	TableVersion  uint64        // version of the ownership table in that term
	TableAge      time.Duration // since the latest update of that table
	ServerLoad    float64       // estimated number of requests at the server
	Choice        string        // why that server was chosen
	TimeLeft      time.Duration // until the request's deadline
	Elapsed       time.Duration // since the request's header was read
	Phase         string        // how far the request has come on its way to a backend server
	SinceStart    time.Duration // since the latest attempt began
	Connect       time.Duration // time that the latest attempt waited for a connection
	Write         time.Duration // time until the last byte of the request was handed to the connection
	Unsent        int           // bytes that the kernel holds for the connection and has not sent
	Unacked       int           // bytes that the kernel has sent on the connection and that are not acknowledged
	Important     bool          // a failure or refusal, which is never sampled
}

// Log queues events and writes them as lines in the background.
type Log struct {
	writer       io.Writer
	host         string
	important    chan Event
	routine      chan Event
	dropped      atomic.Int64
	routineCount atomic.Int64 // for sampling
	stop         chan struct{}
	done         sync.WaitGroup
}

// New returns a running Log that writes to writer. The host name is part of each line.
func New(writer io.Writer, host string) *Log {
	l := &Log{
		writer: writer, host: host,
		important: make(chan Event, queueCapacity),
		routine:   make(chan Event, queueCapacity),
		stop:      make(chan struct{}),
	}
	l.done.Go(l.run)
	return l
}

// Add queues an event unless it is left out by sampling or its queue is full. It never blocks.
func (l *Log) Add(e Event) {
	queue := l.important
	if !e.Important {
		if l.routineCount.Add(1)%routineSampleInterval != 1 {
			return
		}
		queue = l.routine
	}
	select {
	case queue <- e:
	default:
		l.dropped.Add(1)
	}
}

// Close writes the queued events and stops the log.
func (l *Log) Close() {
	close(l.stop)
	l.done.Wait()
}

func (l *Log) run() {
	out := bufio.NewWriter(l.writer)
	flushPeriodically(l.stop, func(limit int) { l.flush(out, limit) })
}

// flushPeriodically flushes a limited number of lines at each interval, and the whole queue at stop.
func flushPeriodically(stop <-chan struct{}, flush func(limit int)) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			flush(int(maxLinesPerSecond * flushInterval / time.Second))
		case <-stop:
			flush(queueCapacity)
			return
		}
	}
}

// flush writes up to limit lines from each queue, failures and refusals first.
func (l *Log) flush(out *bufio.Writer, limit int) {
	var line []byte
	for _, queue := range []chan Event{l.important, l.routine} {
		for range limit {
			select {
			case e := <-queue:
				line = e.appendLine(line[:0], l.host)
				_, _ = out.Write(line) // there is nowhere to report a failure of the log output
				continue
			default:
			}
			break
		}
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		// The line carries the number of dropped events in the field attempts.
		line = Event{Name: "lines dropped", Attempts: int(dropped), Key: -1}.appendLine(line[:0], l.host)
		_, _ = out.Write(line)
	}
	_ = out.Flush()
}

// appendLine appends the event as key=value pairs.
func (e Event) appendLine(b []byte, host string) []byte {
	b = time.Now().UTC().AppendFormat(b, "15:04:05.000")
	b = appendText(b, "event", e.Name)
	b = appendText(b, "host", host)
	b = appendText(b, "request", e.Request)
	b = appendText(b, "service", e.Service)
	if e.Key >= 0 {
		b = appendNumber(b, "key", e.Key)
	}
	b = appendText(b, "server", e.Server)
	b = appendText(b, "outcome", e.Outcome)
	b = appendText(b, "reason", e.Reason)
	b = appendNumber(b, "status", int64(e.Status))
	b = appendNumber(b, "attempts", int64(e.Attempts))
	b = appendNumber(b, "config", int64(e.ConfigVersion))
	b = appendNumber(b, "config_age_ms", e.ConfigAge.Milliseconds())
	b = appendNumber(b, "term", int64(e.Term))
	b = appendNumber(b, "table", int64(e.TableVersion))
	b = appendNumber(b, "table_age_ms", e.TableAge.Milliseconds())
	b = appendNumber(b, "load", int64(e.ServerLoad))
	b = appendText(b, "choice", e.Choice)
	b = appendText(b, "phase", e.Phase)
	b = appendNumber(b, "attempt_ms", e.SinceStart.Milliseconds())
	b = appendNumber(b, "connect_ms", e.Connect.Milliseconds())
	b = appendNumber(b, "write_ms", e.Write.Milliseconds())
	b = appendNumber(b, "unsent", int64(e.Unsent))
	b = appendNumber(b, "unacked", int64(e.Unacked))
	b = appendNumber(b, "left_ms", e.TimeLeft.Milliseconds())
	b = appendNumber(b, "took_ms", e.Elapsed.Milliseconds())
	return append(b, '\n')
}

func appendText(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(append(append(b, ' '), name...), '=')
	return strconv.AppendQuote(b, value)
}

func appendNumber(b []byte, name string, value int64) []byte {
	if value == 0 {
		return b
	}
	b = append(append(append(b, ' '), name...), '=')
	return strconv.AppendInt(b, value, 10)
}
