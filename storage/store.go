package storage

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// Sizes of a store's files.
const (
	// DefaultSegmentBytes is the size from which on a new segment is started.
	DefaultSegmentBytes = 16 << 20
	// maxBatchBytes limits the size of the entries' data in one record.
	maxBatchBytes = 8 << 20
)

// Options of a Store. The zero value selects the operating system's file system and
// the default segment size.
type Options struct {
	FS           FS
	SegmentBytes int64
}

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	return o
}

// segment is one file of the write-ahead log.
type segment struct {
	number    uint64
	lastIndex uint64 // highest index of any entry in it
}

// Store is the durable state of one member. It is not safe for concurrent use.
type Store struct {
	options  Options
	dir      string
	identity uint64

	segments      []segment // the last one is open for writing
	file          File
	size          int64 // of the last segment, bytes
	hard          replog.HardState
	commitPending bool // whether hard.Commit is newer than the last record
	resetPending  bool // whether the next record must discard the entries before it

	failed error
}

// Create creates an empty store for a disk with the given identity, which must be a
// random number that was never used before. It fails with ErrExists if the directory
// already contains a store.
func Create(dir string, identity uint64, options Options) (*Store, error) {
	s := &Store{options: options.withDefaults(), dir: dir, identity: identity}
	if identity == 0 {
		return nil, errors.Wrap(ErrInvalid, "identity is 0")
	}
	if err := s.options.FS.MkdirAll(dir); err != nil {
		return nil, wrapFSError(err, "create directory")
	}
	if err := s.checkUnused(); err != nil {
		return nil, err
	}
	if err := s.options.FS.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, wrapFSError(err, "sync parent directory")
	}
	if err := s.createSegment(1); err != nil {
		return nil, err
	}
	record, err := encodeRecord(identityRecord{ID: identity})
	if err != nil {
		return nil, err
	}
	// The identity is written last; its presence marks the store as complete.
	return s, writeFile(s.options.FS, dir, identityName, record)
}

// checkUnused checks that the directory contains no store. It accepts what a crash
// during Create leaves behind: a first segment without entries.
func (s *Store) checkUnused() error {
	names, err := s.options.FS.ReadDir(s.dir)
	if err != nil {
		return wrapFSError(err, "read directory")
	}
	for _, name := range names {
		if !isTemp(name) && name != fmt.Sprintf(segmentFormat, 1) {
			return errors.Wrap(ErrExists, name)
		}
	}
	if len(parseNumbers(names, segmentFormat)) == 0 {
		return nil
	}
	r := recovery{fs: s.options.FS, dir: s.dir, creating: true}
	if err := r.readSegment(1, true); err != nil {
		return errors.Wrap(ErrExists, err.Error())
	}
	if len(r.entries) > 0 || r.hard != (replog.HardState{}) {
		return errors.Wrap(ErrExists, "found a segment with entries but no identity file")
	}
	return nil
}

// Identity returns the identity of the disk.
func (s *Store) Identity() uint64 { return s.identity }

// Failed returns the error that made the store unusable, or nil.
func (s *Store) Failed() error { return s.failed }

func (s *Store) fail(err error) error {
	if err != nil && s.failed == nil {
		s.failed = err
	}
	return err
}

func (s *Store) checkUsable() error {
	if s.failed != nil {
		return errors.Wrap(ErrUnusable, s.failed.Error())
	}
	return nil
}

// Append makes the hard state, if not nil, and the entries durable. The entries
// replace any stored entries from the first one's index on. A change of only the commit
// index is kept in memory until the next write or Close.
func (s *Store) Append(hard *replog.HardState, entries []replog.Entry) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	onlyCommit := hard == nil || (hard.Term == s.hard.Term && hard.Vote == s.hard.Vote)
	if hard != nil {
		s.commitPending = s.commitPending || *hard != s.hard
		s.hard = *hard
	}
	if onlyCommit && len(entries) == 0 {
		return nil
	}
	for first := true; first || len(entries) > 0; first = false {
		count := entriesWithin(entries, maxBatchBytes)
		b := batch{Entries: entries[:count]}
		entries = entries[count:]
		// The hard state goes last, since it may commit the last entry.
		if len(entries) == 0 {
			state := s.hard
			b.HardState = &state
		}
		if err := s.fail(s.writeBatch(b)); err != nil {
			return err
		}
	}
	s.commitPending = false
	return nil
}

// entriesWithin returns the number of leading entries whose data fit into limit
// bytes, but at least one if there are any.
func entriesWithin(entries []replog.Entry, limit int) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > limit && i > 0 {
			return i
		}
	}
	return len(entries)
}

// writeBatch appends one record, in a new segment if the last one is full, and syncs it.
func (s *Store) writeBatch(b batch) error {
	if s.size >= s.options.SegmentBytes {
		if err := s.createSegment(s.segments[len(s.segments)-1].number + 1); err != nil {
			return err
		}
	}
	b.Reset = b.Reset || s.resetPending
	record, err := encodeRecord(b)
	if err != nil {
		return err
	}
	if len(record) > headerBytes+MaxRecordBytes {
		return errors.Wrapf(ErrInvalid, "record of %d bytes exceeds the maximum size", len(record))
	}
	if _, err := s.file.Write(record); err != nil {
		return wrapFSError(err, "append")
	}
	if err := s.file.Sync(); err != nil {
		return wrapFSError(err, "sync")
	}
	s.resetPending = false
	s.size += int64(len(record))
	if count := len(b.Entries); count > 0 {
		active := &s.segments[len(s.segments)-1]
		active.lastIndex = max(active.lastIndex, b.Entries[count-1].Index)
	}
	return nil
}

// createSegment creates a segment and continues in it. Its first record repeats the
// hard state, so that older segments can be removed.
func (s *Store) createSegment(number uint64) error {
	hard := s.hard
	if len(s.segments) > 0 {
		// The commit index may cover entries that are not in any record yet.
		hard.Commit = 0
	}
	record, err := encodeRecord(batch{Segment: number, HardState: &hard})
	if err != nil {
		return err
	}
	file, err := s.options.FS.Create(s.segmentPath(number))
	if err != nil {
		return wrapFSError(err, "create segment")
	}
	if err := writeAndSync(file, [][]byte{record}); err != nil {
		_ = file.Close()
		return wrapFSError(err, "write segment header")
	}
	if err := s.options.FS.SyncDir(s.dir); err != nil {
		_ = file.Close()
		return wrapFSError(err, "sync directory")
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file, s.size = file, int64(len(record))
	s.segments = append(s.segments, segment{number: number})
	return nil
}

func (s *Store) segmentPath(number uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf(segmentFormat, number))
}

func (s *Store) snapshotPath(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf(snapshotFormat, index))
}

// SaveSnapshot makes a snapshot of the member's own state durable. Older snapshots
// are kept until Compact.
func (s *Store) SaveSnapshot(meta replog.SnapshotMeta, data []byte) error {
	return s.FinishSnapshot(s.SnapshotWriter(meta)(data))
}

// SnapshotWriter returns a function that writes a snapshot with the given data like
// SaveSnapshot, but may run concurrently with other uses of the Store. Only one may
// run at a time, and its result must be passed to FinishSnapshot.
func (s *Store) SnapshotWriter(meta replog.SnapshotMeta) func(data []byte) error {
	if err := s.checkUsable(); err != nil {
		return func([]byte) error { return err }
	}
	fs, dir := s.options.FS, s.dir
	return func(data []byte) error { return writeSnapshot(fs, dir, meta, data) }
}

// FinishSnapshot records the result of a SnapshotWriter's function. An error makes the
// Store unusable.
func (s *Store) FinishSnapshot(err error) error { return s.fail(err) }

// InstallSnapshot makes a leader's snapshot and the hard state durable. The snapshot
// replaces the whole log.
func (s *Store) InstallSnapshot(hard replog.HardState, meta replog.SnapshotMeta, data []byte) error {
	if err := s.SaveSnapshot(meta, data); err != nil {
		return err
	}
	hard.Commit = meta.Index
	if err := s.fail(s.writeBatch(batch{Reset: true, HardState: &hard})); err != nil {
		return err
	}
	s.hard, s.commitPending = hard, false
	return nil
}

// Compact removes older snapshots and the segments whose entries are all covered by
// the snapshot at index, which must be durable.
func (s *Store) Compact(index uint64) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := s.options.FS.Remove(s.segmentPath(s.segments[0].number)); err != nil {
			return s.fail(wrapFSError(err, "remove segment"))
		}
		// Removals must become durable from the oldest on, since recovery rejects gaps.
		if err := s.options.FS.SyncDir(s.dir); err != nil {
			return s.fail(wrapFSError(err, "sync directory"))
		}
		s.segments = slices.Delete(s.segments, 0, 1)
	}
	names, err := s.options.FS.ReadDir(s.dir)
	if err != nil {
		return s.fail(wrapFSError(err, "read directory"))
	}
	for _, old := range parseNumbers(names, snapshotFormat) {
		if old >= index {
			continue
		}
		if err := s.options.FS.Remove(s.snapshotPath(old)); err != nil {
			return s.fail(wrapFSError(err, "remove snapshot"))
		}
	}
	return s.fail(wrapFSError(s.options.FS.SyncDir(s.dir), "sync directory"))
}

// Close writes a pending commit index and closes the store.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	var err error
	if s.commitPending && s.failed == nil {
		hard := s.hard
		err = s.fail(s.writeBatch(batch{HardState: &hard}))
	}
	if closeErr := s.file.Close(); err == nil {
		err = wrapFSError(closeErr, "close")
	}
	s.file = nil
	_ = s.fail(errors.Wrap(ErrUnusable, "closed"))
	return err
}
