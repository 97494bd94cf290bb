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
	// DefaultSegmentBytes is the size at which a new segment is begun.
	DefaultSegmentBytes = 16 << 20
	// batchBytes bounds the entries' data in one record.
	maxBatchBytes = 8 << 20
)

// Options of a Store. The zero value is the operating system's file system and
// the default sizes.
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

	segments      []segment // the last is written to
	file          File
	size          int64
	hard          replog.HardState
	commitPending bool // whether hard has a commit index that is not in a record

	failed error
}

// Create makes an empty store for the disk with the given identity, which must
// be new: a random number never used before. It fails with ErrExists if the
// directory holds a store.
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
	// The identity comes last: it says that the store is complete.
	return s, writeFile(s.options.FS, dir, identityName, record)
}

// checkUnused allows for what a crash within Create leaves: a first segment
// without entries.
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
		return errors.Wrap(ErrExists, "a segment with entries, but no identity")
	}
	return nil
}

// Identity returns the identity of the disk.
func (s *Store) Identity() uint64 { return s.identity }

// Failed returns why the store is unusable, or nil.
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
// replace those from the index of the first on.
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
		// The commit index may be that of the last entry.
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

// countWithin returns how many entries, at least one if any, hold up to limit
// bytes.
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

// writeBatch writes and syncs one record.
func (s *Store) writeBatch(b batch) error {
	if s.size >= s.options.SegmentBytes {
		if err := s.createSegment(s.segments[len(s.segments)-1].number + 1); err != nil {
			return err
		}
	}
	record, err := encodeRecord(b)
	if err != nil {
		return err
	}
	if len(record) > headerBytes+MaxRecordBytes {
		return errors.Wrapf(ErrInvalid, "record of %d bytes", len(record))
	}
	if _, err := s.file.Write(record); err != nil {
		return wrapFSError(err, "append")
	}
	if err := s.file.Sync(); err != nil {
		return wrapFSError(err, "sync")
	}
	s.size += int64(len(record))
	if count := len(b.Entries); count > 0 {
		active := &s.segments[len(s.segments)-1]
		active.lastIndex = max(active.lastIndex, b.Entries[count-1].Index)
	}
	return nil
}

// beginSegment starts a new file, whose first record repeats the hard state so
// that older files may go.
func (s *Store) createSegment(number uint64) error {
	hard := s.hard
	if len(s.segments) > 0 {
		// The entries up to the commit index may not be in any record yet.
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
		return wrapFSError(err, "begin segment")
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

// SaveSnapshot makes a snapshot of the member's own state durable. Older ones
// stay until Compact.
func (s *Store) SaveSnapshot(meta replog.SnapshotMeta, data []byte) error {
	return s.FinishSnapshot(s.SnapshotWriter(meta)(data))
}

// SnapshotWriter returns a function that does the work of SaveSnapshot for the
// snapshot's data and may run while the Store is used otherwise, once at a time.
// Its result must be given to SnapshotSaved.
func (s *Store) SnapshotWriter(meta replog.SnapshotMeta) func(data []byte) error {
	if err := s.checkUsable(); err != nil {
		return func([]byte) error { return err }
	}
	fs, dir := s.options.FS, s.dir
	return func(data []byte) error { return writeSnapshot(fs, dir, meta, data) }
}

// FinishSnapshot takes in the result of a SnapshotWriter's function.
func (s *Store) FinishSnapshot(err error) error { return s.fail(err) }

// InstallSnapshot makes a leader's snapshot durable, which replaces the whole
// log, together with the hard state.
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

// Compact removes the segments whose entries are all in the snapshot at index,
// which must be durable, and older snapshots.
func (s *Store) Compact(index uint64) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := s.options.FS.Remove(s.segmentPath(s.segments[0].number)); err != nil {
			return s.fail(wrapFSError(err, "remove segment"))
		}
		// Segments must go from the oldest on, also in a crash.
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

// Close writes a commit index kept in memory and closes the store.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	var err error
	if s.commitPending && s.failed == nil {
		hard := s.hard
		err = s.fail(s.writeBatch(batch{HardState: &hard}))
	}
	if closing := s.file.Close(); err == nil {
		err = wrapFSError(closing, "close")
	}
	s.file = nil
	_ = s.fail(errors.Wrap(ErrUnusable, "closed"))
	return err
}
