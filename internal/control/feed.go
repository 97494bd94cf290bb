package control

import (
	"sync"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/wire"
)

// feedHistory is the number of table updates kept for watchers that reconnect.
const feedHistory = 1024

// watcher receives the updates of a table. Notify must not block.
type watcher interface {
	Notify(kind int, body []byte) error
}

// update is an encoded table change from one version to another.
type update struct {
	from, to uint64
	frame    []byte // wire.TableUpdate
}

// feed sends the updates of a group's table to its watchers, each update once and in order.
type feed struct {
	group string

	mu       sync.Mutex // acquired after the state's lock
	version  uint64
	history  []update
	watchers map[watcher]struct{}

	// full is the encoded full table at fullVersion, or nil if it is not cached.
	full        []byte
	fullVersion uint64
}

func newFeed(group string) *feed {
	return &feed{group: group, watchers: map[watcher]struct{}{}}
}

// publish sends the update to a new version. The caller holds the state's lock, which keeps the
// updates in order.
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

// reset discards the history after a snapshot replaced the state, and sends the full table.
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

// watch adds a watcher that has the table at heldVersion, 0 for none. The watcher receives the
// updates since that version, or the full table if they are no longer in the history. The caller
// holds the state's lock.
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

// updatesSince returns the updates that follow heldVersion, and false if the history does not
// have them.
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

// send sends a frame to a watcher. A watcher whose queue is full is removed: its connection is
// closed, and it subscribes again from the version that it has.
func (f *feed) send(w watcher, frame []byte) {
	if err := w.Notify(wire.KindTable, frame); err != nil {
		log.WithError(err).WithField("group", f.group).Warn("removed table watcher that cannot receive an update")
		delete(f.watchers, w)
	}
}

func (f *feed) encode(from, to uint64, body []byte) []byte {
	frame, err := cbor.Marshal(wire.TableUpdate{Group: f.group, From: from, Version: to, Body: body})
	if err != nil {
		log.WithError(err).Error("cannot encode table update")
	}
	return frame
}
