// Package faultfs implements storage.FS in memory, with fault injection and simulated crashes that
// lose data and directory entries that were not synced.
package faultfs

import (
	"maps"
	"os"
	"path"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenalug/galenalug/storage"
)

// inode is the content of a file.
type inode struct {
	data   []byte // what readers see
	synced []byte // what survives a crash
}

// FS is an in-memory file system. It is safe for concurrent use.
type FS struct {
	mu     sync.Mutex // guards the fields below and all inodes
	fixed  *sync.Cond // on mu; signaled when the faults change
	files  map[string]*inode
	synced map[string]*inode // directory entries that survive a crash
	faults Faults
}

// Faults specifies which operations fail.
type Faults struct {
	// FreeBytes is the number of bytes that can be written before ENOSPC; negative for no limit.
	// Each write reduces it. A write beyond it is truncated and fails, and Create fails at 0.
	FreeBytes int
	// If set, SyncError is returned by every sync of a file, DirSyncError by every sync of a
	// directory, and RenameError by every rename.
	SyncError    error
	DirSyncError error
	RenameError  error
	// If set, syncs of files wait until it is no longer set.
	Stalled bool
	// SyncDelay is the time that each sync of a file takes.
	SyncDelay time.Duration
}

// New returns an empty file system without faults.
func New() *FS {
	f := &FS{files: map[string]*inode{}, synced: map[string]*inode{}, faults: Faults{FreeBytes: -1}}
	f.fixed = sync.NewCond(&f.mu)
	return f
}

// SetFaults replaces the injected faults.
func (f *FS) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.fixed.Broadcast()
}

// Crash discards everything that was not synced, except for up to tail bytes of each file after the
// synced content, like a torn write. Files that are open must not be used afterwards.
func (f *FS) Crash(tail int) { f.CrashKeeping(tail, func() bool { return false }) }

// CrashKeeping is Crash, but keep decides for each file that was created, renamed or removed without a
// sync of its directory whether that survives.
func (f *FS) CrashKeeping(tail int, keep func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := map[string]bool{}
	for name, node := range f.files {
		changed[name] = f.synced[name] != node
	}
	for name := range f.synced {
		changed[name] = changed[name] || f.files[name] == nil
	}
	survivors := map[string]*inode{}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		node := f.synced[name]
		if changed[name] && keep() {
			node = f.files[name]
		}
		if node != nil {
			survivors[name] = node.afterCrash(tail)
		}
	}
	f.files, f.synced = survivors, maps.Clone(survivors)
}

// afterCrash returns what is left of a file.
func (n *inode) afterCrash(tail int) *inode {
	data := slices.Clone(n.synced)
	if torn := min(len(n.data), len(data)+tail); torn > len(data) {
		data = append(data, n.data[len(data):torn]...)
	}
	return &inode{data: data, synced: slices.Clone(data)}
}

// Corrupt flips the bits of mask in the byte at offset of a file. It also syncs the content of the
// file, so that the change survives a crash.
func (f *FS) Corrupt(name string, offset int, mask byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[name]
	node.data[offset] ^= mask
	node.synced = slices.Clone(node.data)
}

// Clone returns a copy of the file system without injected faults.
func (f *FS) Clone() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := New()
	copies := map[*inode]*inode{}
	copyOf := func(node *inode) *inode {
		if copies[node] == nil {
			copies[node] = &inode{data: slices.Clone(node.data), synced: slices.Clone(node.synced)}
		}
		return copies[node]
	}
	for name, node := range f.files {
		c.files[name] = copyOf(node)
	}
	for name, node := range f.synced {
		c.synced[name] = copyOf(node)
	}
	return c
}

// MkdirAll does nothing, because directories exist implicitly.
func (f *FS) MkdirAll(string) error { return nil }

// ReadDir returns the sorted names of the files in dir.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.files {
		if path.Dir(name) == path.Clean(dir) {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile returns the content of a file.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, ok := f.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

// Create creates an empty file, or replaces an existing one.
func (f *FS) Create(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.FreeBytes == 0 {
		return nil, syscall.ENOSPC
	}
	node := &inode{}
	f.files[name] = node
	return &file{fs: f, node: node}, nil
}

// OpenAppend opens an existing file for appending.
func (f *FS) OpenAppend(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, ok := f.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &file{fs: f, node: node}, nil
}

// Rename renames a file, and replaces the target if it exists.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.RenameError != nil {
		return f.faults.RenameError
	}
	node, ok := f.files[from]
	if !ok {
		return os.ErrNotExist
	}
	f.files[to] = node
	delete(f.files, from)
	return nil
}

// Remove removes a file. It succeeds if the file does not exist.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, name)
	return nil
}

// SyncDir makes creations, renames and removals in dir survive a crash.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.DirSyncError != nil {
		return f.faults.DirSyncError
	}
	for name := range f.synced {
		if f.files[name] == nil && strings.HasPrefix(name, path.Clean(dir)+"/") {
			delete(f.synced, name)
		}
	}
	for name, node := range f.files {
		if path.Dir(name) == path.Clean(dir) {
			f.synced[name] = node
		}
	}
	return nil
}

type file struct {
	fs   *FS
	node *inode
}

func (f *file) Write(data []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	free := f.fs.faults.FreeBytes
	if free >= 0 && len(data) > free {
		f.node.data = append(f.node.data, data[:free]...)
		f.fs.faults.FreeBytes = 0
		return free, syscall.ENOSPC
	}
	f.node.data = append(f.node.data, data...)
	if free >= 0 {
		f.fs.faults.FreeBytes -= len(data)
	}
	return len(data), nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if delay := f.fs.faults.SyncDelay; delay > 0 {
		f.fs.mu.Unlock()
		time.Sleep(delay)
		f.fs.mu.Lock()
	}
	for f.fs.faults.Stalled {
		f.fs.fixed.Wait()
	}
	if f.fs.faults.SyncError != nil {
		return f.fs.faults.SyncError
	}
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.node.data = f.node.data[:size:size]
	return nil
}

func (f *file) Close() error { return nil }
