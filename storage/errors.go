package storage

import (
	"fmt"
	"io/fs"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Errors of this package.
var (
	ErrNotExist = errors.New("storage: no store in the directory")
	ErrExists   = errors.New("storage: the directory holds a store")
	ErrCorrupt  = errors.New("storage: corrupt")
	ErrNoSpace  = errors.New("storage: no space left")
	ErrWrite    = errors.New("storage: write failed")
	ErrUnusable = errors.New("storage: unusable after an earlier failure")
	ErrInvalid  = errors.New("storage: invalid argument")
)

// CorruptError says where a file does not hold what was written. It matches
// ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64 // bytes
	Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: corrupt: %s at byte %d: %s", e.File, e.Offset, e.Detail)
}

// Is makes errors.Is(err, ErrCorrupt) hold.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// translate gives an error of the file system its meaning here.
func wrapFSError(err error, op string) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return errors.Wrapf(ErrNoSpace, "%s: %v", op, err)
	}
	return errors.Wrapf(ErrWrite, "%s: %v", op, err)
}

func isNotExist(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, os.ErrNotExist)
}
