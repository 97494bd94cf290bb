// Package eventlog writes one structured line for each decision about a request,
// bounded and without ever holding up the request.
//
// Lines wait in two queues that one goroutine empties: failures and refusals go
// before routine lines. A line that finds its queue full is dropped and counted,
// and the count is written. Routine lines are sampled.
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
	// queueLines is the number of lines that wait in each queue.
	queueLines = 512
	// linesPerSecond bounds what is written of each queue.
	linesPerSecond = 200
	// flushInterval is the time between two writes.
	flushInterval = 100 * time.Millisecond
	// routineSample is the number of routine events for each one that is written.
	routineSample = 64
)

// Event is one decision. Fields without a value are left out of the line.
type Event struct {
	Name          string        // what was decided
	Request       string        // id of the request
	Service       string        // service of the route
	Server        string        // backend server chosen
	Key           int64         // key of the request; -1 for none
	Outcome       string        // what became of it
	Reason        string        // what decided it
	Status        int           // status sent to the client
	Attempts      int           // sends to backend servers
	ConfigVersion uint64        // version of the route configuration
	Term          uint64        // term of the ownership table
	TableVersion  uint64        // version of the ownership table in that term
	TableAge      time.Duration // since the control hosts were last heard
	ServerLoad    float64       // estimated requests at the server
	TimeLeft      time.Duration // until the request's deadline
	Elapsed       time.Duration // since the request's header was read
	Important     bool          // a failure or refusal, which is never sampled
}

// Log takes events and writes lines.
type Log struct {
	writer    io.Writer
	host      string
	important chan Event
	routine   chan Event
	dropped   atomic.Int64
	routines  atomic.Int64
	stop      chan struct{}
	done      sync.WaitGroup
}

// New starts a log that writes to writer.
func New(writer io.Writer, host string) *Log {
	l := &Log{
		writer: writer, host: host,
		important: make(chan Event, queueLines),
		routine:   make(chan Event, queueLines),
		stop:      make(chan struct{}),
	}
	l.done.Go(l.run)
	return l
}

// Add hands an event to the writer. It never blocks.
func (l *Log) Add(e Event) {
	queue := l.important
	if !e.Important {
		if l.routines.Add(1)%routineSample != 1 {
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

// Close writes what waits and ends the log.
func (l *Log) Close() {
	close(l.stop)
	l.done.Wait()
}

func (l *Log) run() {
	out := bufio.NewWriter(l.writer)
	flushUntil(l.stop, func(most int) { l.flush(out, most) })
}

// flushUntil flushes a bounded number of lines at each interval, and all of a queue
// at the stop.
func flushUntil(stop <-chan struct{}, flush func(most int)) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			flush(int(linesPerSecond * flushInterval / time.Second))
		case <-stop:
			flush(queueLines)
			return
		}
	}
}

// flush writes up to most lines of each queue, failures first.
func (l *Log) flush(out *bufio.Writer, most int) {
	var line []byte
	for _, queue := range []chan Event{l.important, l.routine} {
		for range most {
			select {
			case e := <-queue:
				line = e.appendLine(line[:0], l.host)
				_, _ = out.Write(line) // standard output that is gone leaves nobody to tell
				continue
			default:
			}
			break
		}
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		line = Event{Name: "lines dropped", Attempts: int(dropped), Key: -1}.appendLine(line[:0], l.host)
		_, _ = out.Write(line)
	}
	_ = out.Flush()
}

// appendLine appends the event as key=value pairs.
func (e Event) appendLine(b []byte, host string) []byte {
	b = time.Now().UTC().AppendFormat(b, "15:04:05.000")
	b = text(b, "event", e.Name)
	b = text(b, "host", host)
	b = text(b, "request", e.Request)
	b = text(b, "service", e.Service)
	if e.Key >= 0 {
		b = number(b, "key", e.Key)
	}
	b = text(b, "server", e.Server)
	b = text(b, "outcome", e.Outcome)
	b = text(b, "reason", e.Reason)
	b = number(b, "status", int64(e.Status))
	b = number(b, "attempts", int64(e.Attempts))
	b = number(b, "config", int64(e.ConfigVersion))
	b = number(b, "term", int64(e.Term))
	b = number(b, "table", int64(e.TableVersion))
	b = number(b, "table_age_ms", e.TableAge.Milliseconds())
	b = number(b, "load", int64(e.ServerLoad))
	b = number(b, "left_ms", e.TimeLeft.Milliseconds())
	b = number(b, "took_ms", e.Elapsed.Milliseconds())
	return append(b, '\n')
}

func text(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(append(append(b, ' '), name...), '=')
	return strconv.AppendQuote(b, value)
}

func number(b []byte, name string, value int64) []byte {
	if value == 0 {
		return b
	}
	b = append(append(append(b, ' '), name...), '=')
	return strconv.AppendInt(b, value, 10)
}
