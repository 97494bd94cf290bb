package storage_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/galenalug/galenalug/internal/faultfs"
	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

const (
	dir     = "disk"
	diskID  = 77
	segment = dir + "/wal-0000000000000001.log"
)

func entries(term, first, last uint64) []replog.Entry {
	var made []replog.Entry
	for i := first; i <= last; i++ {
		made = append(made, replog.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return made
}

func hard(term, vote, commit uint64) *replog.HardState {
	return &replog.HardState{Term: term, Vote: vote, Commit: commit}
}

func create(t testing.TB, fs *faultfs.FS) *storage.Store {
	t.Helper()
	s, err := storage.Create(dir, diskID, storage.Options{FS: fs, SegmentBytes: 1 << 20})
	must(t, err)
	return s
}

func open(t testing.TB, fs *faultfs.FS) (*storage.Store, storage.Recovered) {
	t.Helper()
	s, r, err := storage.Open(dir, storage.Options{FS: fs})
	must(t, err)
	return s, r
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func equal(t testing.TB, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestCrashKeepsWhatWasSynced(t *testing.T) {
	fs := faultfs.New()
	s := create(t, fs)
	must(t, s.Append(hard(1, 2, 0), entries(1, 1, 5)))
	must(t, s.Append(hard(2, 0, 3), entries(2, 4, 6))) // replaces entries 4 and 5 of term 1
	fs.Crash(0)
	_, r := open(t, fs)
	equal(t, r.HardState, *hard(2, 0, 3))
	equal(t, r.Entries, append(entries(1, 1, 3), entries(2, 4, 6)...))
	equal(t, r.Identity, uint64(diskID))
	if _, err := storage.Create(dir, 5, storage.Options{FS: fs}); !errors.Is(err, storage.ErrExists) {
		t.Fatal(err)
	}
}

// A crash may leave any prefix of the record being written; recovery must truncate it.
func TestTornTailAtEveryOffset(t *testing.T) {
	fs := faultfs.New()
	s := create(t, fs)
	must(t, s.Append(hard(1, 0, 0), entries(1, 1, 3)))
	whole, err := fs.ReadFile(segment)
	must(t, err)
	fs.SetFaults(faultfs.Faults{FreeBytes: -1, SyncError: errors.New("lost power")})
	if err := s.Append(hard(2, 1, 2), entries(2, 4, 5)); !errors.Is(err, storage.ErrWrite) {
		t.Fatal(err)
	}
	longer, err := fs.ReadFile(segment)
	must(t, err)
	for tail := range len(longer) - len(whole) {
		crashed := fs.Clone()
		crashed.Crash(tail)
		s, r := open(t, crashed)
		equal(t, r.Entries, entries(1, 1, 3))
		equal(t, r.TruncatedBytes, int64(tail))
		must(t, s.Append(hard(3, 0, 0), entries(3, 4, 4)))
		_, r = open(t, crashed)
		equal(t, r.Entries, append(entries(1, 1, 3), entries(3, 4, 4)...))
	}
}

// A flipped bit must be reported as corruption, never missed or taken for a torn record.
func TestFlippedBitsAreReported(t *testing.T) {
	fs := faultfs.New()
	s := create(t, fs)
	must(t, s.Append(hard(1, 0, 0), entries(1, 1, 2)))
	must(t, s.Append(hard(1, 0, 0), entries(1, 3, 4)))
	must(t, s.SaveSnapshot(replog.SnapshotMeta{Index: 2, Term: 1}, []byte("state")))
	names, err := fs.ReadDir(dir)
	must(t, err)
	for _, name := range names {
		path := filepath.Join(dir, name)
		data, err := fs.ReadFile(path)
		must(t, err)
		for offset := range data {
			flipped := fs.Clone()
			flipped.Corrupt(path, offset, 1<<(offset%8))
			_, _, err := storage.Open(dir, storage.Options{FS: flipped})
			var corrupt *storage.CorruptError
			if !errors.As(err, &corrupt) || !errors.Is(err, storage.ErrCorrupt) {
				t.Fatalf("%s at %d: %v", name, offset, err)
			}
			if corrupt.File != path || corrupt.Offset > int64(offset) {
				t.Fatalf("%s at %d: %v", name, offset, corrupt)
			}
		}
	}
}

// A record with an unwritten sector counts as torn only at the end of the segment;
// before another record it is corruption.
func TestUnwrittenSectors(t *testing.T) {
	fs := faultfs.New()
	s := create(t, fs)
	big := []replog.Entry{{Index: 1, Term: 1, Data: bytes.Repeat([]byte("x"), 4096)}}
	before, err := fs.ReadFile(segment)
	must(t, err)
	must(t, s.Append(nil, big))
	zero := func(fs *faultfs.FS) {
		for offset := 1024; offset < 1536; offset++ {
			data, err := fs.ReadFile(segment)
			must(t, err)
			fs.Corrupt(segment, offset, data[offset]) // XOR with itself
		}
	}
	torn := fs.Clone()
	zero(torn)
	_, r := open(t, torn)
	equal(t, len(r.Entries), 0)
	must(t, s.Append(nil, entries(1, 2, 2)))
	zero(fs)
	_, _, err = storage.Open(dir, storage.Options{FS: fs})
	var corrupt *storage.CorruptError
	if !errors.As(err, &corrupt) || corrupt.Offset != int64(len(before)) {
		t.Fatal(err)
	}
}

func TestFullDisk(t *testing.T) {
	for free := range 200 {
		fs := faultfs.New()
		s := create(t, fs)
		must(t, s.Append(hard(1, 0, 0), entries(1, 1, 1)))
		fs.SetFaults(faultfs.Faults{FreeBytes: free})
		if err := s.Append(hard(2, 0, 0), entries(2, 2, 9)); !errors.Is(err, storage.ErrNoSpace) {
			t.Fatalf("append with %d bytes free: %v", free, err)
		}
		fs.SetFaults(faultfs.Faults{FreeBytes: -1})
		if err := s.Append(hard(2, 0, 0), nil); !errors.Is(err, storage.ErrUnusable) {
			t.Fatalf("%d bytes free: %v", free, err)
		}
		if err := s.SaveSnapshot(replog.SnapshotMeta{Index: 1, Term: 1}, nil); !errors.Is(err, storage.ErrUnusable) {
			t.Fatalf("%d bytes free: %v", free, err)
		}
		_, r := open(t, fs)
		equal(t, r.Entries, entries(1, 1, 1))
	}
}

func TestFailedSyncMakesTheStoreUnusable(t *testing.T) {
	for name, faults := range map[string]faultfs.Faults{
		"file":      {FreeBytes: -1, SyncError: errors.New("EIO")},
		"directory": {FreeBytes: -1, DirSyncError: errors.New("EIO")},
		"rename":    {FreeBytes: -1, RenameError: errors.New("EIO")},
	} {
		fs := faultfs.New()
		s := create(t, fs)
		fs.SetFaults(faults)
		err := s.SaveSnapshot(replog.SnapshotMeta{Index: 1, Term: 1}, []byte("state"))
		if !errors.Is(err, storage.ErrWrite) {
			t.Fatalf("%s: %v", name, err)
		}
		fs.SetFaults(faultfs.Faults{FreeBytes: -1})
		if err := s.Append(hard(1, 1, 0), nil); !errors.Is(err, storage.ErrUnusable) {
			t.Fatalf("%s: %v", name, err)
		}
	}
}

// A crash at any step of writing a snapshot must leave either the old or the new one.
func TestCrashWhileWritingASnapshot(t *testing.T) {
	for name, faults := range map[string]faultfs.Faults{
		"written":        {FreeBytes: -1, SyncError: errors.New("lost power")},
		"before rename":  {FreeBytes: -1, RenameError: errors.New("lost power")},
		"after rename":   {FreeBytes: -1, DirSyncError: errors.New("lost power")},
		"all of it done": {FreeBytes: -1},
	} {
		for _, tail := range []int{0, 10, 1000} {
			fs := faultfs.New()
			s := create(t, fs)
			must(t, s.Append(hard(1, 0, 0), entries(1, 1, 9)))
			must(t, s.SaveSnapshot(replog.SnapshotMeta{Index: 3, Term: 1}, []byte("old")))
			fs.SetFaults(faults)
			saved := s.SaveSnapshot(replog.SnapshotMeta{Index: 7, Term: 1}, []byte("new"))
			fs.Crash(tail)
			fs.SetFaults(faultfs.Faults{FreeBytes: -1})
			_, r := open(t, fs)
			want, first := "old", uint64(4)
			if saved == nil {
				want, first = "new", 8
			}
			if string(r.SnapshotData) != want {
				t.Fatalf("%s: %q", name, r.SnapshotData)
			}
			equal(t, r.Entries, entries(1, first, 9))
		}
	}
}

// A leader's snapshot must replace a conflicting log, also if a crash happens before
// the record that resets the log.
func TestInstallSnapshot(t *testing.T) {
	for _, crash := range []bool{false, true} {
		fs := faultfs.New()
		s := create(t, fs)
		must(t, s.Append(hard(1, 1, 2), entries(1, 1, 9)))
		meta := replog.SnapshotMeta{Index: 5, Term: 3, Members: []replog.Member{{ID: 4, Name: "d"}}}
		if crash {
			must(t, s.SaveSnapshot(meta, []byte("state")))
		} else {
			must(t, s.InstallSnapshot(*hard(3, 0, 5), meta, []byte("state")))
			must(t, s.Append(nil, entries(3, 6, 6)))
		}
		fs.Crash(0)
		_, r := open(t, fs)
		equal(t, r.HardState, *hard(3, 0, 5))
		equal(t, r.SnapshotMeta, meta)
		equal(t, len(r.Entries) == 0, crash)
		if !crash {
			equal(t, r.Entries, entries(3, 6, 6))
		}
	}
}

// Guards against a store that loses later entries or can't be opened any more, after the process ended
// between writing a leader's snapshot and resetting the log (issue 20).
func TestEntriesAfterInterruptedInstallSurvive(t *testing.T) {
	for name, index := range map[string]uint64{"log ends before the snapshot": 9, "same end": 5, "log ends after it": 3} {
		fs := faultfs.New()
		s := create(t, fs)
		must(t, s.Append(hard(1, 1, 2), entries(1, 1, 5)))
		must(t, s.SaveSnapshot(replog.SnapshotMeta{Index: index, Term: 3}, []byte("state"))) // and no reset
		fs.Crash(0)
		s, _ = open(t, fs)
		must(t, s.Append(hard(3, 0, index), entries(3, index+1, index+2)))
		fs.Crash(0)
		_, r, err := storage.Open(dir, storage.Options{FS: fs})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(r.Entries) != 2 {
			t.Errorf("%s: entries %+v, want those after %d", name, r.Entries, index)
		}
	}
}

func TestSegmentsAndCompaction(t *testing.T) {
	fs := faultfs.New()
	s, err := storage.Create(dir, diskID, storage.Options{FS: fs, SegmentBytes: 200})
	must(t, err)
	for i := uint64(1); i <= 50; i++ {
		must(t, s.Append(hard(1, 3, i), entries(1, i, i)))
	}
	must(t, s.SaveSnapshot(replog.SnapshotMeta{Index: 40, Term: 1}, []byte("state")))
	must(t, s.Compact(40))
	must(t, s.Append(hard(1, 3, 50), nil)) // a commit index alone is not written until Close
	must(t, s.Close())
	names, err := fs.ReadDir(dir)
	must(t, err)
	if len(names) > 12 {
		t.Fatalf("%d files left after compaction: %v", len(names), names)
	}
	_, r := open(t, fs)
	equal(t, r.HardState, *hard(1, 3, 50))
	equal(t, r.Entries, entries(1, 41, 50))
	must(t, fs.Remove(filepath.Join(dir, names[len(names)-2])))
	if _, _, err := storage.Open(dir, storage.Options{FS: fs}); !errors.Is(err, storage.ErrCorrupt) {
		t.Fatalf("open with a missing segment: %v", err)
	}
}

// A crash while a new segment is created must leave the store usable.
func TestCrashWhileCreatingASegment(t *testing.T) {
	for tail := range 40 {
		fs := faultfs.New()
		s, err := storage.Create(dir, diskID, storage.Options{FS: fs, SegmentBytes: 1})
		must(t, err)
		must(t, s.Append(hard(1, 2, 0), entries(1, 1, 1)))
		fs.SetFaults(faultfs.Faults{FreeBytes: -1, SyncError: errors.New("lost power")})
		if err := s.Append(nil, entries(1, 2, 2)); err == nil {
			t.Fatal("no error")
		}
		must(t, fs.SyncDir(dir)) // the file name is durable, the content only in part
		fs.Crash(tail)
		fs.SetFaults(faultfs.Faults{FreeBytes: -1})
		s, r := open(t, fs)
		equal(t, r.Entries, entries(1, 1, 1))
		must(t, s.Append(nil, entries(1, 2, 2)))
		_, r = open(t, fs)
		equal(t, r.HardState, *hard(1, 2, 0))
		equal(t, r.Entries, entries(1, 1, 2))
	}
}

func TestCrashDuringCreate(t *testing.T) {
	for _, faults := range []faultfs.Faults{
		{FreeBytes: 30}, {FreeBytes: -1, SyncError: errors.New("lost power")}, {FreeBytes: -1, RenameError: errors.New("lost power")},
	} {
		fs := faultfs.New()
		fs.SetFaults(faults)
		if _, err := storage.Create(dir, diskID, storage.Options{FS: fs}); err == nil {
			t.Fatal("no error")
		}
		fs.Crash(1000)
		fs.SetFaults(faultfs.Faults{FreeBytes: -1})
		if _, _, err := storage.Open(dir, storage.Options{FS: fs}); !errors.Is(err, storage.ErrNotExist) {
			t.Fatal(err)
		}
		create(t, fs)
	}
}

// FuzzSegment opens stores whose segment ends in arbitrary bytes. Open may fail only
// with a CorruptError and must not lose the record before these bytes.
func FuzzSegment(f *testing.F) {
	fs := faultfs.New()
	s := create(f, fs)
	must(f, s.Append(hard(1, 0, 0), entries(1, 1, 1)))
	whole, err := fs.ReadFile(segment)
	must(f, err)
	f.Add([]byte{})
	f.Add(whole)
	f.Add(whole[len(whole)/2:])
	f.Add(make([]byte, 100))
	f.Fuzz(func(t *testing.T, tail []byte) {
		changed := fs.Clone()
		file, err := changed.OpenAppend(segment)
		must(t, err)
		_, err = file.Write(tail)
		must(t, err)
		_, r, err := storage.Open(dir, storage.Options{FS: changed})
		if errors.Is(err, storage.ErrCorrupt) {
			return
		}
		must(t, err)
		if len(r.Entries) == 0 {
			t.Fatal("the valid record is lost")
		}
	})
}
