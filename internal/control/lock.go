package control

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// ErrDataInUse means that another process has the data folder open.
var ErrDataInUse = errors.New("data folder is in use by another process")

// Name and modes of the lock file and its folder: their owner's alone.
const (
	lockName     = "LOCK"
	dataDirMode  = 0o700
	lockFileMode = 0o600
)

// dataLock keeps other processes out of a data folder. The operating system gives
// it up when the process ends, however it ends.
type dataLock struct {
	file *os.File
}

// lockData takes the lock of a data folder, which it makes if it is missing. It
// fails with ErrDataInUse if another process holds the lock.
func lockData(dir string) (*dataLock, error) {
	if err := os.MkdirAll(dir, dataDirMode); err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, lockFileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &dataLock{file: file}, nil
	}
	_ = file.Close() // nothing was written
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Wrap(ErrDataInUse, dir)
	}
	return nil, errors.Wrapf(err, "lock %s", dir)
}

// release gives the lock up. It may be called on nil.
func (l *dataLock) release() {
	if l != nil {
		_ = l.file.Close() // closing gives the lock up; nothing was written
	}
}
