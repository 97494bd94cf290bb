package fleet

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"path/filepath"
	"testing"

	"github.com/galenalug/galenalug/routes"
)

// largePut returns a change of a configuration with many routes. Each version has another timeout of one route.
func largePut(t *testing.T, base, version uint64, routeCount int) routes.Put {
	t.Helper()
	p := put(base, version)
	for i := range routeCount {
		r := routes.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("h%05x.example", i*31337), PathPrefix: fmt.Sprintf("/%x/%x/", i*104729, i),
			Kind: routes.Idempotent, TimeoutMillis: 800, TargetMillis: 300, MaxAttempts: 2, Shares: []routes.Share{{Service: "stock", Weight: 1}},
		}
		if uint64(i) == version%uint64(routeCount) {
			r.TimeoutMillis += int64(version)
		}
		p.Config.Routes = append(p.Config.Routes, r)
	}
	var err error
	if p.Document, err = json.Marshal(p.Config); err != nil {
		t.Fatal(err)
	}
	return p
}

// directoryBytes returns the size of all files under a directory.
func directoryBytes(t *testing.T, dir string) int64 {
	t.Helper()
	size := int64(0)
	err := filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err == nil {
			size += info.Size()
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// Guards against a log that grows with the number of changes of a large configuration: a host with an empty disk
// took longer to vote again than the next loss may come after (review 1), and control hosts ran out of memory
// (review 5).
func TestManyChangesOfLargeConfigurationKeepTheLogSmall(t *testing.T) {
	const (
		routeCount = 1500
		changes    = 150
		// maxConfigurations bounds what the log may take, in encoded configurations: the newest one, and as much again
		// in changes since the last snapshot.
		maxConfigurations = 2
	)
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	for version := uint64(1); version <= changes; version++ {
		c.putUntilAccepted(largePut(t, version-1, version, routeCount))
	}
	last := largePut(t, changes-1, changes, routeCount)
	encoded, err := json.Marshal(last)
	if err != nil {
		t.Fatal(err)
	}
	bound := maxConfigurations * len(encoded)
	status := c.leader().runner.Status().Node
	if held := status.EntryBytes + status.SnapshotBytes; held > bound {
		t.Errorf("after %d changes the log has %d bytes of entries and a snapshot of %d bytes, want %d in total", changes, status.EntryBytes, status.SnapshotBytes, bound)
	}
	if stored := directoryBytes(t, c.dirs["127.0.0.1"]); stored > int64(bound) {
		t.Errorf("after %d changes the disk has %d bytes, want at most %d", changes, stored, bound)
	}
	c.expectDocument(string(last.Document))
	for _, h := range c.hosts {
		c.kill(h)
	}
	c.start("127.0.0.1", false)
	c.expectDocument(string(last.Document))
}
