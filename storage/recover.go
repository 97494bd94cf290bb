package storage

import (
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// Recovered is the state that Open read.
type Recovered struct {
	Identity       uint64
	HardState      replog.HardState
	SnapshotMeta   replog.SnapshotMeta
	SnapshotData   []byte
	Entries        []replog.Entry // entries after the snapshot, without a gap
	TruncatedBytes int64          // size of the torn record that was truncated
}

// Restored returns the state as the input of replog.New.
func (r Recovered) Restored() replog.Restored {
	return replog.Restored{
		HardState: r.HardState, Snapshot: r.SnapshotMeta, SnapshotData: r.SnapshotData, Entries: r.Entries,
	}
}

// Empty reports whether nothing was ever appended.
func (r Recovered) Empty() bool {
	return r.HardState == replog.HardState{} && r.SnapshotMeta.Index == 0 && len(r.Entries) == 0
}

// recovery rebuilds the state from the segments, which it reads in order.
type recovery struct {
	fs        FS
	dir       string
	creating  bool // set by Create: the only segment may be torn from its start
	entries   []replog.Entry
	hard      replog.HardState
	segments  []segment
	size      int64 // bytes of valid records in the last segment
	tornBytes int64 // bytes to truncate from the last segment
}

// Exists reports whether dir contains a store, complete or damaged. What a crash during Create leaves
// behind is none: it has no identity, and Create accepts it.
func Exists(dir string, options Options) bool {
	_, err := readIdentity(options.withDefaults().FS, dir)
	return !errors.Is(err, ErrNotExist)
}

// Open opens the store in dir and recovers its state. A torn last record is truncated;
// any other inconsistency is a CorruptError.
func Open(dir string, options Options) (*Store, Recovered, error) {
	s := &Store{options: options.withDefaults(), dir: dir}
	fs := s.options.FS
	identity, err := readIdentity(fs, dir)
	if err != nil {
		return nil, Recovered{}, err
	}
	s.identity = identity
	names, err := fs.ReadDir(dir)
	if err != nil {
		return nil, Recovered{}, wrapFSError(err, "read directory")
	}
	if err := removeTempFiles(fs, dir, names); err != nil {
		return nil, Recovered{}, err
	}
	r := recovery{fs: fs, dir: dir}
	if err := r.readSegments(parseNumbers(names, segmentFormat)); err != nil {
		return nil, Recovered{}, err
	}
	found := Recovered{Identity: identity, HardState: r.hard, TruncatedBytes: r.tornBytes}
	if snapshots := parseNumbers(names, snapshotFormat); len(snapshots) > 0 {
		found.SnapshotMeta, found.SnapshotData, err = readSnapshot(fs, s.snapshotPath(slices.Max(snapshots)))
		if err != nil {
			return nil, Recovered{}, err
		}
	}
	if found.Entries, err = r.entriesAfter(found.SnapshotMeta); err != nil {
		return nil, Recovered{}, err
	}
	found.raiseHardState()
	s.resetPending = r.superseded(found.SnapshotMeta)
	return s, found, s.openLastSegment(r, found.HardState)
}

func removeTempFiles(fs FS, dir string, names []string) error {
	for _, name := range names {
		if !isTemp(name) {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return wrapFSError(err, "remove "+name)
		}
	}
	return nil
}

func (r *recovery) readSegments(found []uint64) error {
	if len(found) == 0 {
		return &CorruptError{File: r.dir, Detail: "no log segment found"}
	}
	for i, number := range found {
		if number != found[0]+uint64(i) {
			return &CorruptError{File: r.path(found[0] + uint64(i)), Detail: "segment is missing"}
		}
		if err := r.readSegment(number, i == len(found)-1); err != nil {
			return err
		}
	}
	return nil
}

func (r *recovery) path(number uint64) string {
	s := Store{dir: r.dir}
	return s.segmentPath(number)
}

func (r *recovery) readSegment(number uint64, last bool) error {
	path := r.path(number)
	data, err := r.fs.ReadFile(path)
	if err != nil {
		return wrapFSError(err, "read segment")
	}
	r.segments = append(r.segments, segment{number: number})
	for offset := 0; ; {
		body, size, state := readRecord(data[offset:], offset)
		if state == recordEnd && offset > 0 {
			r.size = int64(offset)
			return nil
		}
		// The last segment may be empty or torn from its start if a crash happened while it
		// was created. The only segment cannot, except in Create: it was synced before the
		// identity was written or the earlier segments were removed.
		torn := state == recordTorn || state == recordEnd
		if torn && last && (offset > 0 || len(r.segments) > 1 || r.creating) {
			r.size = int64(offset)
			r.tornBytes = int64(len(data) - offset)
			return nil
		}
		if state != recordValid {
			return &CorruptError{File: path, Offset: int64(offset), Detail: "invalid record"}
		}
		if detail := r.applyRecord(body, number, offset == 0); detail != "" {
			return &CorruptError{File: path, Offset: int64(offset), Detail: detail}
		}
		offset += size
	}
}

// applyRecord applies one record and describes its fault if it is invalid, or returns
// an empty string.
func (r *recovery) applyRecord(body []byte, number uint64, first bool) string {
	var b batch
	if err := cbor.Unmarshal(body, &b); err != nil {
		return "record body cannot be decoded"
	}
	if first != (b.Segment == number) {
		return "wrong segment number"
	}
	if b.HardState != nil {
		// createSegment may have written commit index 0.
		commit := max(r.hard.Commit, b.HardState.Commit)
		r.hard = *b.HardState
		r.hard.Commit = commit
	}
	if b.Reset {
		r.entries = nil
	}
	for _, e := range b.Entries {
		if !r.addEntry(e) {
			return "gap between entries"
		}
	}
	return ""
}

// addEntry appends an entry in place of any entries from its index on. It returns false
// if the entry leaves a gap.
func (r *recovery) addEntry(e replog.Entry) bool {
	active := &r.segments[len(r.segments)-1]
	active.lastIndex = max(active.lastIndex, e.Index)
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return true
	}
	first := r.entries[0].Index
	if e.Index > first+uint64(len(r.entries)) {
		return false
	}
	keep := uint64(0)
	if e.Index > first {
		keep = e.Index - first
	}
	r.entries = append(r.entries[:keep], e)
	return true
}

// entriesAfter returns the entries after the snapshot.
func (r *recovery) entriesAfter(meta replog.SnapshotMeta) ([]replog.Entry, error) {
	if len(r.entries) == 0 || r.superseded(meta) {
		return nil, nil
	}
	first := r.entries[0].Index
	if first > meta.Index+1 {
		return nil, &CorruptError{File: r.path(r.segments[0].number), Detail: "entries after the snapshot are missing"}
	}
	return r.entries[meta.Index+1-first:], nil
}

// superseded reports whether the snapshot replaces the whole log: it covers entries of the log, but its
// last entry is not one of them. The process has then ended after it had written a leader's snapshot
// and before the record that resets the log.
func (r *recovery) superseded(meta replog.SnapshotMeta) bool {
	if len(r.entries) == 0 || r.entries[0].Index > meta.Index {
		return false
	}
	offset := meta.Index - r.entries[0].Index
	return offset >= uint64(len(r.entries)) || r.entries[offset].Term != meta.Term
}

// raiseHardState raises term and commit index to those of the snapshot, in case a
// crash happened before the hard state was written. No vote can have been sent in the
// snapshot's term then, since votes are written before they are sent.
func (r *Recovered) raiseHardState() {
	if r.SnapshotMeta.Term > r.HardState.Term {
		r.HardState.Term, r.HardState.Vote = r.SnapshotMeta.Term, 0
	}
	r.HardState.Commit = max(r.HardState.Commit, r.SnapshotMeta.Index)
}

// openLastSegment opens the last segment for appending and truncates a torn record.
func (s *Store) openLastSegment(r recovery, hard replog.HardState) error {
	s.hard = hard
	s.segments = r.segments
	last := r.segments[len(r.segments)-1]
	if r.size == 0 {
		s.segments = s.segments[:len(s.segments)-1]
		return s.createSegment(last.number)
	}
	file, err := s.options.FS.OpenAppend(s.segmentPath(last.number))
	if err != nil {
		return wrapFSError(err, "open segment")
	}
	s.file, s.size = file, r.size
	if r.tornBytes == 0 {
		return nil
	}
	return truncateAndSync(file, r.size)
}
