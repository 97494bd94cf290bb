package replog

import "github.com/pkg/errors"

// raftLog holds the entries in memory. Entries up to offset are gone; those up
// to snapshot.Index are in the snapshot, and kept only for slow members.
type raftLog struct {
	snapshot   SnapshotMeta
	data       []byte
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	commit     uint64
	applied    uint64
	stable     uint64 // last entry known to be in the store
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
	if err := checkEntries(r.Entries, l.offset, l.offsetTerm, r.HardState.Term); err != nil {
		return raftLog{}, errors.Wrap(ErrInvalidState, err.Error())
	}
	if l.commit > l.last() || r.Snapshot.Term > r.HardState.Term {
		return raftLog{}, errors.Wrapf(ErrInvalidState, "commit %d, last %d, term %d", l.commit, l.last(), r.HardState.Term)
	}
	return l, nil
}

// checkEntries checks that entries follow index and term without a gap, and
// that no term goes back or beyond the highest.
func checkEntries(entries []Entry, index, term, highest uint64) error {
	for _, e := range entries {
		if e.Index != index+1 {
			return errors.Errorf("entry %d follows entry %d", e.Index, index)
		}
		if e.Term < term || e.Term > highest {
			return errors.Errorf("entry %d has term %d after %d, highest %d", e.Index, e.Term, term, highest)
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

// term returns the term of the entry at index, if the log still knows it.
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

// slice returns the entries after lo up to hi.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo >= hi {
		return nil
	}
	from, to := lo-l.offset, hi-l.offset
	return l.entries[from:to:to]
}

// batch returns entries after lo, bounded in number and bytes, at least one.
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

// append adds entries, cutting off what conflicts with them. Slices handed out
// before keep their content.
func (l *raftLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	before := entries[0].Index - 1
	keep := before - l.offset
	if before < l.last() {
		l.entries = l.entries[:keep:keep]
		l.stable = min(l.stable, before)
	}
	l.entries = append(l.entries, entries...)
}

// conflict returns those of the entries that the log does not hold yet.
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

// hint returns an index at which the sender of a refused append should try
// again: before the term that conflicts, but not before the commit index,
// since committed entries never conflict.
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

// upToDate tells whether a candidate's log is at least as new as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// compact takes in a snapshot and keeps the last entries before it for members
// that are a little behind.
func (l *raftLog) compact(meta SnapshotMeta, data []byte, keep uint64) {
	l.snapshot = meta
	l.data = data
	if meta.Index <= l.offset+keep {
		return
	}
	cut := meta.Index - keep
	term, _ := l.term(cut)
	l.entries = append([]Entry(nil), l.slice(cut, l.last())...)
	l.offset, l.offsetTerm = cut, term
}

// install replaces the whole log by a snapshot.
func (l *raftLog) install(meta SnapshotMeta, data []byte) {
	*l = raftLog{
		snapshot: meta, data: data,
		offset: meta.Index, offsetTerm: meta.Term,
		commit: meta.Index, applied: meta.Index, stable: meta.Index,
	}
}
