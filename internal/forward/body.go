package forward

import (
	"io"
	"net/http/httputil"
	"strings"
	"sync"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// answerBody reads the body of an answer. It returns io.EOF only after the
// whole body; a body that breaks off ends with another error. Close gives the
// connection back after a whole body, and closes it otherwise.
type answerBody struct {
	exchange  *exchange
	reader    io.Reader
	remaining int64 // of a body of known length
	chunked   bool
	whole     bool
	keepAlive bool
	closed    sync.Once
}

// body frames the answer's body. The length is -1 for a chunked one.
func (e *exchange) body(header *protocol.ResponseHeader) (*answerBody, int, error) {
	b := &answerBody{exchange: e, keepAlive: !header.ConnectionClose()}
	if e.request.Header.IsHead() || header.MustSkipContentLength() {
		b.whole = true
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
		b.whole = length == 0
		return b, length, nil
	}
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.whole {
		return 0, io.EOF
	}
	if b.exchange.request.IdleTimeout > 0 {
		b.exchange.extend()
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
		b.whole = true
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *answerBody) readChunked(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != io.EOF { //nolint:errorlint // io.ErrUnexpectedEOF must not match
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.whole = true
	return n, io.EOF
}

// skipTrailer reads the lines after the last chunk up to the empty one.
func (b *answerBody) skipTrailer() error {
	for {
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
}

// Close ends the exchange.
func (b *answerBody) Close() error {
	b.closed.Do(func() {
		e := b.exchange
		undisturbed := e.stop()
		if b.whole && b.keepAlive && undisturbed {
			e.pool.release(e.conn)
			return
		}
		e.pool.discard(e.conn)
	})
	return nil
}

// prefixed yields bytes that were already read before the rest.
type prefixed struct {
	prefix []byte
	io.ReadCloser
}

// Read implements io.Reader.
func (p *prefixed) Read(out []byte) (int, error) {
	if len(p.prefix) == 0 {
		return p.ReadCloser.Read(out)
	}
	n := copy(out, p.prefix)
	p.prefix = p.prefix[n:]
	return n, nil
}
