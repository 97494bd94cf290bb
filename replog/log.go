package replog

import "github.com/pkg/errors"

// raftLog holds the log's entries in memory. Entries up to offset have been
// discarded. Those between offset and snapshot.Index are also in the snapshot and
// are kept for members that lag a little.
type raftLog struct {
	snapshot   SnapshotMeta
	data       []byte // of the snapshot
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	bytes      int // data of entries
	commit     uint64
	applied    uint64
	stable     uint64 // index of the last entry that is durable
	writing    uint64 // index of the last entry in the write in progress that has not been replaced since; 0 if none
}

func restoreLog(r Restored) (raftLog, error) {
	l := raftLog{
		snapshot:   r.Snapshot,
		data:       r.SnapshotData,
		offset:     r.Snapshot.Index,
		offsetTerm: r.Snapshot.Term,
		entries:    r.Entries,
		commit:     max(r.HardState.Commit, r.Snapshot.Index),
		applied:    r.Snapshot.Index,
	}
	l.stable = l.last()
	l.bytes = dataBytes(l.entries)
	if err := checkEntries(r.Entries, l.offset, l.offsetTerm, r.HardState.Term); err != nil {
		return raftLog{}, errors.Wrap(ErrInvalidState, err.Error())
	}
	if l.commit > l.last() || r.Snapshot.Term > r.HardState.Term {
		return raftLog{}, errors.Wrapf(ErrInvalidState, "commit index %d, last index %d, term %d", l.commit, l.last(), r.HardState.Term)
	}
	return l, nil
}

// checkEntries checks that entries follow the given index without a gap, and that
// terms neither decrease from term nor exceed highest.
func checkEntries(entries []Entry, index, term, highest uint64) error {
	for _, e := range entries {
		if e.Index != index+1 {
			return errors.Errorf("entry %d follows entry %d", e.Index, index)
		}
		if e.Term < term || e.Term > highest {
			return errors.Errorf("entry %d has term %d, want %d to %d", e.Index, e.Term, term, highest)
		}
		index, term = e.Index, e.Term
	}
	return nil
}

func (l *raftLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// applicable returns the index of the last entry that is committed and durable. Only these are applied, so that no
// snapshot of the application is ahead of the stored log.
func (l *raftLog) applicable() uint64 { return min(l.commit, l.stable) }

// finishWrite records that the write in progress is complete.
func (l *raftLog) finishWrite() {
	l.stable = max(l.stable, l.writing)
	l.writing = 0
}

// term returns the term of the entry at index, if it is not compacted.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// slice returns the entries in (lo, hi].
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo >= hi {
		return nil
	}
	from, to := lo-l.offset, hi-l.offset
	return l.entries[from:to:to]
}

// batch returns the entries after lo up to the given limits, but at least one if any.
func (l *raftLog) batch(lo uint64, maxEntries, maxBytes int) []Entry {
	hi := min(l.last(), lo+uint64(maxEntries))
	entries := l.slice(lo, hi)
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// append appends entries and truncates the log first if it overlaps them. Slices
// that were returned earlier keep their content.
func (l *raftLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	before := entries[0].Index - 1
	keep := before - l.offset
	if before < l.last() {
		l.bytes -= dataBytes(l.entries[keep:])
		l.entries = l.entries[:keep:keep]
		l.stable, l.writing = min(l.stable, before), min(l.writing, before)
	}
	l.entries = append(l.entries, entries...)
	l.bytes += dataBytes(entries)
}

// dataBytes returns the size of the entries' data.
func dataBytes(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
	}
	return size
}

// missing returns the suffix of entries that the log lacks or has in another term.
func (l *raftLog) missing(entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index <= l.offset {
			continue
		}
		if term, ok := l.term(e.Index); !ok || term != e.Term {
			return entries[i:]
		}
	}
	return nil
}

// rejectHint returns the highest index up to which this log may match the leader's
// after it rejected an append that follows the entry at refused: the last index before
// the conflicting term, but not before the commit index, since committed entries never
// conflict.
func (l *raftLog) rejectHint(refused uint64) uint64 {
	if refused > l.last() {
		return l.last()
	}
	conflicting, _ := l.term(refused)
	index := refused - 1
	for index > l.commit {
		if term, ok := l.term(index); !ok || term != conflicting {
			break
		}
		index--
	}
	return max(index, min(l.commit, refused-1))
}

// upToDate reports whether a candidate's log is at least as up to date as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// compact replaces the snapshot and discards the entries that it includes, except for the
// newest ones within the retention, which serve members that lag a little.
func (l *raftLog) compact(meta SnapshotMeta, data []byte, keep Retention) {
	l.snapshot = meta
	l.data = data
	cut, size := meta.Index, 0
	for cut > l.offset && meta.Index-cut < uint64(max(keep.Entries, 0)) {
		size += len(l.entries[cut-l.offset-1].Data)
		if size > keep.Bytes {
			break
		}
		cut--
	}
	if cut == l.offset {
		return
	}
	term, _ := l.term(cut)
	l.entries = append([]Entry(nil), l.slice(cut, l.last())...)
	l.bytes = dataBytes(l.entries)
	l.offset, l.offsetTerm = cut, term
}

// install replaces the whole log with a snapshot.
func (l *raftLog) install(meta SnapshotMeta, data []byte) {
	*l = raftLog{
		snapshot: meta, data: data,
		offset: meta.Index, offsetTerm: meta.Term,
		commit: meta.Index, applied: meta.Index, stable: meta.Index,
	}
}
