package gateway

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// minBufferedResponse is the part of a response body that is always read before the response is sent to the client.
	minBufferedResponse = 16 << 10
	// maxBufferedResponse is the size up to which a response body is read in full before the response is sent to the
	// client, if there is memory for it. An error within that part can still be retried or reported.
	maxBufferedResponse = 256 << 10
	// maxBufferedResponses is the memory for the bodies of all responses beyond minBufferedResponse, bytes. Beyond it,
	// the client gets the rest as it arrives.
	maxBufferedResponses = 16 << 20
)

// responseBuffers is the memory for response bodies that are read before they are sent. It is safe for concurrent
// use.
type responseBuffers struct{ bytes *semaphore.Weighted }

func newResponseBuffers() *responseBuffers {
	return &responseBuffers{bytes: semaphore.NewWeighted(maxBufferedResponses)}
}

// bodyStart is the part of a response body that was read before the response is sent.
type bodyStart struct {
	data     []byte
	complete bool   // there is no more
	release  func() // returns the memory; must be called once
}

// read reads the start of a response body. After an error nothing needs to be released.
func (b *responseBuffers) read(response *http.Response) (bodyStart, error) {
	first := bodyStart{release: func() {}}
	if err := first.extend(response, minBufferedResponse); err != nil || first.complete {
		return first, err
	}
	size := partOf(response, maxBufferedResponse)
	if !b.bytes.TryAcquire(size) {
		return first, nil
	}
	start := bodyStart{data: first.data, release: func() { b.bytes.Release(size) }}
	if err := start.extend(response, maxBufferedResponse); err != nil {
		start.release()
		return bodyStart{}, err
	}
	return start, nil
}

// partOf returns the size of the part of a response's body that is within a limit, as far as it is known.
func partOf(response *http.Response, limit int64) int64 {
	if response.ContentLength < 0 {
		return limit
	}
	return min(limit, response.ContentLength)
}

// extend reads the body up to a limit into memory of that size.
func (s *bodyStart) extend(response *http.Response, limit int64) error {
	data := make([]byte, partOf(response, limit))
	n, ended, err := readUntilFull(response.Body, data, copy(data, s.data))
	s.data, s.complete = data[:n], ended || int64(n) == response.ContentLength
	return err
}

// readUntilFull fills data from its nth byte on. It returns the number of bytes in data, and whether the reader has
// ended. A body that breaks off is an error.
func readUntilFull(reader io.Reader, data []byte, n int) (filled int, ended bool, err error) {
	for n < len(data) {
		read, err := reader.Read(data[n:])
		n += read
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}
