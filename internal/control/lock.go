package control

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// ErrDataInUse means that another process has the data directory open.
var ErrDataInUse = errors.New("data folder is in use by another process")

// Name and permissions of the lock file and the data directory. Only their owner has access.
const (
	lockName     = "LOCK"
	dataDirMode  = 0o700
	lockFileMode = 0o600
)

// dataLock is an exclusive lock on a data directory. The operating system releases it when the
// process ends for any reason.
type dataLock struct {
	file *os.File
}

// lockData locks a data directory, and creates it if it is missing. It returns ErrDataInUse if
// another process holds the lock.
func lockData(dir string) (*dataLock, error) {
	if err := os.MkdirAll(dir, dataDirMode); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, lockFileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &dataLock{file: file}, nil
	}
	_ = file.Close() // nothing was written, so no error matters
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Wrap(ErrDataInUse, dir)
	}
	return nil, errors.Wrapf(err, "lock %s", dir)
}

// release releases the lock. It may be called on nil.
func (l *dataLock) release() {
	if l != nil {
		_ = l.file.Close() // closing releases the lock; nothing was written
	}
}
