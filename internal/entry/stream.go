package entry

import (
	"io"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/admission"
)

var errUploadTooLarge = errors.New("the upload is larger than allowed")

// countedReader bounds a body and knows whether any of it was read.
type limitedReader struct {
	reader io.Reader
	limit  int64
	read   atomic.Int64
}

// Read implements io.Reader.
func (c *limitedReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if c.read.Add(int64(n)) > c.limit {
		return 0, errUploadTooLarge
	}
	return n, err
}

func (c *limitedReader) started() bool { return c.read.Load() > 0 }

// chunkHeaderRoom is left unread of what is buffered, because a read of a
// chunked body may take a chunk's header besides the bytes asked for.
const chunkHeaderReserve = 32

// promptReader reads a caller's chunked body as it arrives. Hertz's stream waits
// until it can fill the buffer given to it, so that a slow upload would not be
// seen to progress.
type chunkedBodyReader struct {
	reader   io.Reader
	buffered func() int // bytes received and not read yet
}

// Read implements io.Reader.
func (r *chunkedBodyReader) Read(p []byte) (int, error) {
	ready := max(1, r.buffered()-chunkHeaderReserve)
	return r.reader.Read(p[:min(len(p), ready)])
}

// heldStream is a streamed answer that holds its slot at the server. Its time is
// its caller's, so it says nothing of the server's load.
type permitStream struct {
	io.ReadCloser
	permit *slotPermit
	closed func()
}

// Close frees the slot.
func (s *permitStream) Close() error {
	err := s.ReadCloser.Close()
	s.closed()
	s.permit.release(admission.Failed)
	return err
}

// callerStream passes a streamed answer to hertz. Hertz ends a chunked body
// properly also when its reader fails, so the caller's connection is closed
// before a failure is returned: the caller must see that the body broke off.
type responseStream struct {
	io.ReadCloser
	connection *app.RequestContext
}

// Read implements io.Reader.
func (s *responseStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = s.connection.GetConn().Close()
		return 0, err
	}
	return n, err
}
