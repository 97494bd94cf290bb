package gateway

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// States of a scanner.
const (
	atStart = iota // before the first byte of a request
	inHead
	inBody
	lost // the end of the request is not known; the rest of the connection is not scanned
)

// maxScannedLine is the number of bytes that a scanner keeps of a line. It is longer than each line that the
// scanner reads to its end.
const maxScannedLine = 48

// maxScannedBody is the largest length of a body that a scanner follows, bytes.
const maxScannedBody = 1 << 40

// scanner finds the ends of the requests in a stream of bytes.
type scanner struct {
	state  uint8
	lines  bool // whether the head has a line before the current one
	length int  // of the current line so far
	line   [maxScannedLine]byte
	body   int64 // rest of the body, or the length that the head has named so far
}

// advance scans bytes up to the end of a request, and returns their number.
func (s *scanner) advance(p []byte) int {
	n := 0
	for n < len(p) {
		switch s.state {
		case lost:
			return len(p)
		case inBody:
			k := min(int64(len(p)-n), s.body)
			n, s.body = n+int(k), s.body-k
			if s.body == 0 {
				s.state = atStart
			}
		default:
			s.state = inHead
			end := bytes.IndexByte(p[n:], '\n')
			if end < 0 {
				s.keep(p[n:])
				return len(p)
			}
			s.keep(p[n : n+end])
			n += end + 1
			s.endLine()
		}
		if s.state == atStart {
			return n
		}
	}
	return n
}

// keep adds to the current line.
func (s *scanner) keep(part []byte) {
	if s.length < len(s.line) {
		copy(s.line[s.length:], part)
	}
	s.length += len(part)
}

// endLine evaluates the current line.
func (s *scanner) endLine() {
	line := s.line[:min(s.length, len(s.line))]
	whole := s.length <= len(s.line)
	s.length = 0
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case len(line) == 0 && !s.lines:
		s.state = lost
	case len(line) == 0:
		s.lines, s.state = false, atStart
		if s.body > 0 {
			s.state = inBody
		}
	case !s.lines:
		s.lines = true
		if method, _, _ := bytes.Cut(line, []byte(" ")); !plainMethod(string(method)) {
			s.state = lost
		}
	case !s.field(line, whole):
		s.state = lost
	}
}

// plainMethod reports whether the end of a request with the method depends only on its head.
func plainMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// field evaluates a field. It returns false if the end of the request is not known.
func (s *scanner) field(line []byte, whole bool) bool {
	switch {
	case line[0] == ' ' || line[0] == '\t': // continues the line before
		return false
	case named(line, "Transfer-Encoding:"), named(line, "Upgrade:"), named(line, "Expect:"):
		return false
	case !named(line, contentLength):
		return true
	}
	value := bytes.TrimSpace(line[len(contentLength):])
	length, err := strconv.ParseUint(string(value), 10, 63)
	if !whole || err != nil || length > maxScannedBody || s.body > 0 && s.body != int64(length) {
		return false
	}
	s.body = int64(length)
	return true
}

const contentLength = "Content-Length:"

// named reports whether a field begins with a name and a colon.
func named(line []byte, name string) bool {
	return len(line) >= len(name) && strings.EqualFold(string(line[:len(name)]), name)
}

// parseAhead parses the head of a request that may run before its turn as far as its form is concerned. It
// returns nil for any other, also for one that net/http refuses.
func parseAhead(head []byte) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || !safeRequest(r) || r.Host == "" || !httpguts.ValidHostHeader(r.Host) || r.RequestURI[0] != '/' {
		return nil
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil
			}
		}
	}
	return r
}

// safeRequest reports whether a request has a safe method and no body, and leaves the connection as it is.
// Only requests behind such a one may run at the same time (RFC 9112, section 9.3.2).
func safeRequest(r *http.Request) bool {
	if r.Method != http.MethodGet && r.Method != http.MethodHead || !r.ProtoAtLeast(1, 1) || r.Close {
		return false
	}
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		return false
	}
	for _, name := range []string{"Content-Length", "Expect", "Upgrade", "Trailer"} {
		if len(r.Header[name]) > 0 {
			return false
		}
	}
	connection := r.Header.Get("Connection")
	return len(r.Header["Connection"]) <= 1 && (connection == "" || strings.EqualFold(connection, "keep-alive"))
}
