package entry

import (
	"io"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/admission"
)

var errUploadTooLarge = errors.New("the upload is larger than allowed")

// limitedReader fails once a body exceeds its limit. It also tracks whether any of the body was read.
type limitedReader struct {
	reader    io.Reader
	maxBytes  int64
	bytesRead atomic.Int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	if l.bytesRead.Add(int64(n)) > l.maxBytes {
		return 0, errUploadTooLarge
	}
	return n, err
}

func (l *limitedReader) started() bool { return l.bytesRead.Load() > 0 }

// chunkHeaderReserve is the number of buffered bytes that are left unread, because a read of a chunked
// body may consume a chunk header in addition to the requested bytes.
const chunkHeaderReserve = 32

// chunkedBodyReader reads a caller's chunked body as it arrives. Hertz's stream blocks until it can
// fill the given buffer, so that a slow upload would appear to make no progress.
type chunkedBodyReader struct {
	reader   io.Reader
	buffered func() int // returns the number of bytes received but not read yet
}

// Read implements io.Reader.
func (r *chunkedBodyReader) Read(p []byte) (int, error) {
	ready := max(1, r.buffered()-chunkHeaderReserve)
	return r.reader.Read(p[:min(len(p), ready)])
}

// permitStream is a streamed response that holds its slot permit until it is closed. Its duration
// depends on how fast the caller reads. The permit is therefore released with admission.Failed, so that
// the duration does not change the server's request limit.
type permitStream struct {
	io.ReadCloser
	permit  *slotPermit
	onClose func()
}

// Close releases the slot permit.
func (s *permitStream) Close() error {
	err := s.ReadCloser.Close()
	s.onClose()
	s.permit.release(admission.Failed)
	return err
}

// responseStream passes a streamed response to hertz. Hertz terminates a chunked body correctly even
// if its reader fails. The caller's connection is therefore closed before the error is returned, so
// that the caller can detect the truncated body.
type responseStream struct {
	io.ReadCloser
	requestContext *app.RequestContext
}

// Read implements io.Reader.
func (s *responseStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = s.requestContext.GetConn().Close()
		return 0, err
	}
	return n, err
}
