package storage_test

import (
	"testing"

	"github.com/galenalug/galenalug/internal/faultfs"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// Guards against a record of a failed write that is used after the store was opened again: it can be
// read, but may be lost at the next crash.
func TestReopenDiscardsUnconfirmedRecords(t *testing.T) {
	for name, faults := range map[string]faultfs.Faults{
		"full": {FreeBytes: 10},
		"sync": {FreeBytes: -1, SyncError: errors.New("EIO")},
	} {
		for _, segmentBytes := range []int64{1 << 20, 1} { // 1: each record starts a segment
			fs := faultfs.New()
			s, err := storage.Create(dir, diskID, storage.Options{FS: fs, SegmentBytes: segmentBytes})
			must(t, err)
			must(t, s.Append(hard(1, 1, 0), entries(1, 1, 3)))
			fs.SetFaults(faults)
			if err := s.Append(hard(2, 2, 0), entries(2, 4, 4)); err == nil {
				t.Fatalf("%s: append succeeded", name)
			}
			fs.SetFaults(faultfs.Faults{FreeBytes: -1})
			s, r, err := s.Reopen()
			must(t, err)
			equal(t, r.HardState, *hard(1, 1, 0))
			equal(t, r.Entries, entries(1, 1, 3))
			must(t, s.Append(hard(3, 3, 0), entries(3, 4, 5)))
			fs.Crash(0)
			_, r = open(t, fs)
			equal(t, r.HardState, *hard(3, 3, 0))
			equal(t, r.Entries, append(entries(1, 1, 3), entries(3, 4, 5)...))
		}
	}
}
