package storage

import "github.com/pkg/errors"

// Reopen opens the store again after an error, once the disk works again. It first discards what a
// failed write left behind, even where that can be read: after a failed sync the file system may report
// data as written that is lost at the next loss of power (Rebello et al., "Can Applications Recover from
// fsync Failures?", USENIX ATC 2020). Nothing that an Append has confirmed is discarded. The old Store
// must not be used afterwards, except to call Reopen again after an error.
func (s *Store) Reopen() (*Store, Recovered, error) {
	_ = s.fail(errors.Wrap(ErrUnusable, "reopened"))
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
	if err := s.discardUnconfirmed(); err != nil {
		return nil, Recovered{}, err
	}
	return Open(s.dir, s.options)
}

// discardUnconfirmed removes segments whose creation failed and truncates the last segment to the
// records that were synced.
func (s *Store) discardUnconfirmed() error {
	fs := s.options.FS
	names, err := fs.ReadDir(s.dir)
	if err != nil {
		return wrapFSError(err, "read directory")
	}
	last := s.segments[len(s.segments)-1].number
	for _, number := range parseNumbers(names, segmentFormat) {
		if number <= last {
			continue
		}
		if err := fs.Remove(s.segmentPath(number)); err != nil {
			return wrapFSError(err, "remove segment")
		}
	}
	if err := fs.SyncDir(s.dir); err != nil {
		return wrapFSError(err, "sync directory")
	}
	file, err := fs.OpenAppend(s.segmentPath(last))
	if err != nil {
		return wrapFSError(err, "open segment")
	}
	if err := truncateAndSync(file, s.size); err != nil {
		_ = file.Close()
		return err
	}
	return wrapFSError(file.Close(), "close")
}

func truncateAndSync(file File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return wrapFSError(err, "truncate")
	}
	return wrapFSError(file.Sync(), "sync")
}
