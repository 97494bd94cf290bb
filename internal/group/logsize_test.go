package group

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/galenalug/galenalug/storage"
)

// Guards against a log whose memory, disk and restart grow with the size of its entries (review 1 and 5): snapshots
// were taken by the number of entries only.
func TestLogOfLargeEntriesIsCutByBytes(t *testing.T) {
	const (
		entryBytes = 128 << 10
		entries    = 200
		limit      = 1 << 20
		// maxHeldBytes allows for the entries before and after a snapshot, and for those that arrive while one is written.
		maxHeldBytes   = 3 * limit
		maxStoredBytes = 6 * limit
	)
	c := newCluster(t, "a")
	c.snapshotEntries, c.snapshotBytes = 10*entries, limit
	options := storage.Options{SegmentBytes: limit}
	c.start("a", 1, c.members, options)
	defer c.stopAll()
	data := append(number(1), make([]byte, entryBytes)...)
	largest := 0
	for range entries {
		if _, _, err := c.leader().Propose(t.Context(), data); err != nil {
			t.Fatal(err)
		}
		largest = max(largest, c.leader().Status().Node.EntryBytes)
	}
	if largest > maxHeldBytes {
		t.Errorf("%d bytes of entries in memory, want at most %d", largest, maxHeldBytes)
	}
	stored := bytesStored(t, filepath.Join(c.dir, "a"))
	if stored == 0 || stored > maxStoredBytes {
		t.Errorf("%d bytes on disk, want 1 to %d", stored, maxStoredBytes)
	}
	c.stop("a")
	c.start("a", 1, c.members, options)
	if held := c.leader().Status().Node.EntryBytes; held > maxHeldBytes {
		t.Errorf("%d bytes of entries in memory after a restart, want at most %d", held, maxHeldBytes)
	}
	if sum := c.propose(1); sum != entries+1 {
		t.Errorf("sum %d after a restart, want %d", sum, entries+1)
	}
}

// bytesStored returns the size of all files under dir. It leaves out a file that is renamed or removed meanwhile: a
// snapshot may be written at the same time.
func bytesStored(t *testing.T, dir string) int64 {
	t.Helper()
	stored := int64(0)
	files, err := filepath.Glob(filepath.Join(dir, "*", "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		info, err := os.Stat(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		stored += info.Size()
	}
	return stored
}
