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
	ErrNotExist = errors.New("storage: directory contains no store")
	ErrExists   = errors.New("storage: directory already contains a store")
	ErrCorrupt  = errors.New("storage: corrupt data")
	ErrNoSpace  = errors.New("storage: no space left")
	ErrWrite    = errors.New("storage: write failed")
	ErrUnusable = errors.New("storage: store is unusable after an earlier failure")
	ErrInvalid  = errors.New("storage: invalid argument")
)

// CorruptError reports the position at which a file differs from what was written.
// It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: corrupt data in %s at byte %d: %s", e.File, e.Offset, e.Detail)
}

// Is makes errors.Is(err, ErrCorrupt) return true.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// wrapFSError converts a file system error to ErrNoSpace or ErrWrite and adds the operation.
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
