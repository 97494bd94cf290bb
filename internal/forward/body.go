package forward

import (
	"io"
	"net/http/httputil"
	"strings"
	"sync"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// responseBody reads the body of a response. It returns io.EOF only after the complete body; a
// truncated body ends with another error. Close returns the connection to the pool after a complete
// body, and closes it otherwise.
type responseBody struct {
	exchange  *exchange
	reader    io.Reader
	remaining int64 // bytes, for a body of known length
	chunked   bool
	complete  bool // read to its end
	keepAlive bool // whether the server keeps the connection open
	closed    sync.Once
}

// body returns a reader of the response's body, and its length, lengthChunked if it is chunked.
func (e *exchange) body(header *protocol.ResponseHeader) (*responseBody, int, error) {
	b := &responseBody{exchange: e, keepAlive: !header.ConnectionClose()}
	if e.request.Header.IsHead() || header.MustSkipContentLength() {
		b.complete = true
		return b, 0, nil
	}
	switch length := header.ContentLength(); length {
	case lengthUnframed:
		return nil, 0, errUnframed
	case lengthChunked:
		b.chunked = true
		b.reader = httputil.NewChunkedReader(e.conn.reader)
		return b, lengthChunked, nil
	default:
		b.reader, b.remaining = e.conn.reader, int64(length)
		b.complete = length == 0
		return b, length, nil
	}
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.exchange.request.IdleTimeout > 0 {
		b.exchange.extendDeadline()
	}
	if b.chunked {
		return b.readChunked(p)
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining == 0 {
		b.complete = true
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *responseBody) readChunked(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != io.EOF { //nolint:errorlint // io.ErrUnexpectedEOF must not match
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.complete = true
	return n, io.EOF
}

// maxTrailerLines is the maximum number of lines of a trailer section.
const maxTrailerLines = 64

var errTrailerTooLong = errors.New("trailer section is too long")

// skipTrailer reads the trailer section that follows the last chunk, up to its empty line.
func (b *responseBody) skipTrailer() error {
	for range maxTrailerLines {
		line, err := b.exchange.conn.reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if strings.TrimRight(string(line), "\r\n") == "" {
			return nil
		}
	}
	return errors.Wrapf(errTrailerTooLong, "more than %d lines", maxTrailerLines)
}

// Close ends the exchange. See responseBody.
func (b *responseBody) Close() error {
	b.closed.Do(func() {
		e := b.exchange
		notCanceled := e.stopCancelWatch()
		if b.complete && b.keepAlive && notCanceled {
			e.pool.release(e.conn)
			return
		}
		e.pool.discard(e.conn)
	})
	return nil
}

// prefixedBody yields bytes that were already read from a body, and then the rest of it.
type prefixedBody struct {
	prefix []byte
	io.ReadCloser
	release  func() // returns the memory of the prefix
	released sync.Once
}

// Close closes the body.
func (p *prefixedBody) Close() error {
	p.released.Do(p.release)
	return p.ReadCloser.Close()
}

// Read implements io.Reader.
func (p *prefixedBody) Read(out []byte) (int, error) {
	if len(p.prefix) == 0 {
		return p.ReadCloser.Read(out)
	}
	n := copy(out, p.prefix)
	p.prefix = p.prefix[n:]
	return n, nil
}
