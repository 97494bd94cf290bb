package storage_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/galenalug/galenalug/internal/faultfs"
	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// durable is what a store must hold.
type durable struct {
	term, vote uint64
	entries    []replog.Entry // after the snapshot
	snapshot   replog.SnapshotMeta
}

func (d durable) last() uint64 { return d.snapshot.Index + uint64(len(d.entries)) }

// after returns the entries with an index above the given one.
func (d durable) after(index uint64) []replog.Entry {
	kept := slices.Clone(d.entries)
	return slices.DeleteFunc(kept, func(e replog.Entry) bool { return e.Index <= index })
}

// randomStore is a store under random writes and faults, with a model of what it must hold.
type randomStore struct {
	t       *testing.T
	rng     *rand.Rand
	fs      *faultfs.FS
	options storage.Options
	store   *storage.Store
	state   durable
}

func newRandomStore(t *testing.T, seed uint64) *randomStore {
	t.Helper()
	s := &randomStore{t: t, rng: rand.New(rand.NewPCG(seed, 1)), fs: faultfs.New()}
	s.options = storage.Options{FS: s.fs, SegmentBytes: 1 + s.rng.Int64N(400)}
	store, err := storage.Create(dir, diskID, s.options)
	must(t, err)
	s.store = store
	return s
}

// setFaults makes operations fail from some moment of the next write on, or never.
func (s *randomStore) setFaults() {
	failure := errors.New("EIO")
	faults := faultfs.Faults{FreeBytes: -1}
	switch s.rng.IntN(8) {
	case 0:
		faults.FreeBytes = s.rng.IntN(300)
	case 1:
		faults.SyncError = failure
	case 2:
		faults.DirSyncError = failure
	case 3:
		faults.RenameError = failure
	}
	s.fs.SetFaults(faults)
}

// write writes something, and returns what the store must hold if that succeeds.
func (s *randomStore) write() (next durable, err error) {
	next = s.state
	switch s.rng.IntN(6) {
	case 0: // snapshot of the member's own state, and compaction
		if len(s.state.entries) == 0 {
			return next, nil
		}
		at := s.state.entries[s.rng.IntN(len(s.state.entries))]
		next.snapshot = replog.SnapshotMeta{Index: at.Index, Term: at.Term}
		next.entries = s.state.after(at.Index)
		if err := s.store.SaveSnapshot(next.snapshot, []byte("state")); err != nil {
			return next, err
		}
		return next, s.store.Compact(at.Index)
	case 1: // the leader's snapshot, which ends after the log
		next.term++
		next.snapshot = replog.SnapshotMeta{Index: s.state.last() + 1 + s.rng.Uint64N(3), Term: next.term}
		next.entries = nil
		if err := s.store.InstallSnapshot(*hard(next.term, next.vote, 0), next.snapshot, []byte("state")); err != nil {
			return next, err
		}
		return next, s.store.Compact(next.snapshot.Index)
	case 2: // a vote
		next.term, next.vote = next.term+1, s.rng.Uint64N(5)
		return next, s.store.Append(hard(next.term, next.vote, 0), nil)
	}
	next.term++
	first := s.state.snapshot.Index + 1 + s.rng.Uint64N(uint64(len(s.state.entries))+1)
	added := entries(next.term, first, first+s.rng.Uint64N(4))
	next.entries = append(slices.Clone(s.state.entries[:first-s.state.snapshot.Index-1]), added...)
	return next, s.store.Append(hard(next.term, next.vote, 0), added)
}

// recover opens the store again, after a loss of power or an error.
func (s *randomStore) recover(failed bool) storage.Recovered {
	s.t.Helper()
	if failed && s.rng.IntN(2) == 0 {
		s.setFaults() // the disk may not work yet
		_, _, _ = s.store.Reopen()
		s.fs.SetFaults(faultfs.Faults{FreeBytes: -1})
		store, recovered, err := s.store.Reopen()
		must(s.t, err)
		s.store = store
		return recovered
	}
	s.fs.CrashKeeping(s.rng.IntN(200), func() bool { return s.rng.IntN(2) == 0 })
	s.fs.SetFaults(faultfs.Faults{FreeBytes: -1})
	store, recovered, err := storage.Open(dir, s.options)
	must(s.t, err)
	s.store = store
	return recovered
}

// matches reports whether the store recovered to a state. A vote or a snapshot of a write that failed
// may be there already; entries must all be from the same state.
func matches(r storage.Recovered, d, other durable) bool {
	terms := []uint64{d.term, other.term}
	snapshots := []uint64{d.snapshot.Index, other.snapshot.Index}
	return slices.Contains(terms, r.HardState.Term) && slices.Contains(snapshots, r.SnapshotMeta.Index) &&
		slices.EqualFunc(r.Entries, d.after(r.SnapshotMeta.Index), func(a, b replog.Entry) bool {
			return a.Index == b.Index && a.Term == b.Term && string(a.Data) == string(b.Data)
		})
}

// Guards against a control host that comes back without what it had confirmed, or not at all, when its
// disk fails or power is lost at any moment of any write (issue 20).
func TestRandomFaultsKeepWhatWasConfirmed(t *testing.T) {
	for seed := range uint64(500) {
		s := newRandomStore(t, seed)
		for range 60 {
			s.setFaults()
			next, err := s.write()
			if err == nil && s.rng.IntN(4) > 0 {
				s.state = next
				continue
			}
			r := s.recover(err != nil)
			switch {
			case matches(r, next, next), err != nil && (matches(r, next, s.state) || matches(r, s.state, next)):
			default:
				t.Fatalf("seed %d: recovered %+v after error %v\nwant %+v\nor   %+v", seed, r, err, next, s.state)
			}
			s.state = durable{r.HardState.Term, r.HardState.Vote, r.Entries, r.SnapshotMeta}
		}
	}
}
