package control

import (
	"sync"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/wire"
)

// feedHistory is the number of table updates kept for readers that reconnect.
const feedHistory = 1024

// watcher receives the updates of a table. Notify must not wait.
type watcher interface {
	Notify(kind int, body []byte) error
}

// update is one encoded step of a table.
type update struct {
	from, to uint64
	frame    []byte // wire.TableUpdate
}

// feed sends a group's table to its watchers, each update once and in order.
type feed struct {
	group string

	mu       sync.Mutex // taken after the state's lock
	version  uint64
	history  []update
	watchers map[watcher]struct{}

	// whole is the frame of the whole table at wholeAt; nil: not encoded yet.
	whole   []byte
	wholeAt uint64
}

func newFeed(group string) *feed {
	return &feed{group: group, watchers: map[watcher]struct{}{}}
}

// publish sends the step to a new version. The caller holds the state's lock, so
// that steps follow one another.
func (f *feed) publish(to uint64, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	step := update{from: f.version, to: to, frame: f.encode(f.version, to, body)}
	f.version = to
	f.whole = nil
	f.history = append(f.history, step)
	if len(f.history) > feedHistory {
		f.history = f.history[1:]
	}
	for w := range f.watchers {
		f.send(w, step.frame)
	}
}

// reset forgets the history after a snapshot replaced the state, and sends the
// whole table.
func (f *feed) reset(version uint64, whole []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = version
	f.history = nil
	f.whole = nil
	frame := f.encode(0, version, whole)
	for w := range f.watchers {
		f.send(w, frame)
	}
}

// watch adds a watcher that holds a version. It gets the updates since then, or
// the whole table when they are not kept. The caller holds the state's lock.
func (f *feed) watch(w watcher, held uint64, whole func() []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers[w] = struct{}{}
	if held == f.version && held != 0 {
		return
	}
	steps, ok := f.since(held)
	if !ok {
		if f.whole == nil || f.wholeAt != f.version {
			f.whole, f.wholeAt = f.encode(0, f.version, whole()), f.version
		}
		f.send(w, f.whole)
		return
	}
	for _, step := range steps {
		f.send(w, step.frame)
	}
}

// since returns the kept updates that lead on from a version.
func (f *feed) since(held uint64) ([]update, bool) {
	for i, step := range f.history {
		if step.from == held && held != 0 {
			return f.history[i:], true
		}
	}
	return nil, false
}

func (f *feed) unwatch(w watcher) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.watchers, w)
}

// send drops a watcher whose queue is full: its connection is closed, and it
// watches again from the version it holds.
func (f *feed) send(w watcher, frame []byte) {
	if err := w.Notify(wire.KindTable, frame); err != nil {
		log.WithError(err).WithField("group", f.group).Warn("table watcher dropped")
		delete(f.watchers, w)
	}
}

func (f *feed) encode(from, to uint64, body []byte) []byte {
	frame, err := cbor.Marshal(wire.TableUpdate{Group: f.group, From: from, Version: to, Body: body})
	if err != nil {
		log.WithError(err).Error("encode table update")
	}
	return frame
}
