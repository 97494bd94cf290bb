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

	// whole is the frame of the whole table at fullVersion; nil: not encoded yet.
	full        []byte
	fullVersion uint64
}

func newFeed(group string) *feed {
	return &feed{group: group, watchers: map[watcher]struct{}{}}
}

// publish sends the step to a new version. The caller holds the state's lock, so
// that steps follow one another.
func (f *feed) publish(to uint64, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := update{from: f.version, to: to, frame: f.encode(f.version, to, body)}
	f.version = to
	f.full = nil
	f.history = append(f.history, u)
	if len(f.history) > feedHistory {
		f.history = f.history[1:]
	}
	for w := range f.watchers {
		f.send(w, u.frame)
	}
}

// reset forgets the history after a snapshot replaced the state, and sends the
// whole table.
func (f *feed) reset(version uint64, full []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = version
	f.history = nil
	f.full = nil
	frame := f.encode(0, version, full)
	for w := range f.watchers {
		f.send(w, frame)
	}
}

// watch adds a watcher that holds a version. It gets the updates since then, or
// the whole table when they are not kept. The caller holds the state's lock.
func (f *feed) watch(w watcher, heldVersion uint64, full func() []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers[w] = struct{}{}
	if heldVersion == f.version && heldVersion != 0 {
		return
	}
	updates, ok := f.updatesSince(heldVersion)
	if !ok {
		if f.full == nil || f.fullVersion != f.version {
			f.full, f.fullVersion = f.encode(0, f.version, full()), f.version
		}
		f.send(w, f.full)
		return
	}
	for _, u := range updates {
		f.send(w, u.frame)
	}
}

// since returns the kept updates that lead on from a version.
func (f *feed) updatesSince(heldVersion uint64) ([]update, bool) {
	for i, u := range f.history {
		if u.from == heldVersion && heldVersion != 0 {
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
