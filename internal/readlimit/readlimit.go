// Package readlimit bounds how many bytes are read for one part of a message, such as the head of a
// response. A sender that never ends that part can't make the receiver buffer without bound.
package readlimit

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong means that a part of a message exceeds its limit.
var ErrTooLong = errors.New("readlimit: part of the message is too long")

// Reader reads from another reader within a limit. It
// is not safe for concurrent use.
type Reader struct {
	source    io.Reader
	left      int64 // bytes until the limit
	unlimited bool
}

// NewReader returns a reader without a limit.
func NewReader(source io.Reader) *Reader { return &Reader{source: source, unlimited: true} }

// Limit allows n more bytes to be read. Bytes that a buffer in front of the Reader holds already don't
// count.
func (r *Reader) Limit(n int64) { r.left, r.unlimited = n, false }

// Unlimit removes the limit.
func (r *Reader) Unlimit() { r.unlimited = true }

// Read implements io.Reader. Beyond the limit it fails with ErrTooLong.
func (r *Reader) Read(p []byte) (int, error) {
	if r.unlimited {
		return r.source.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
