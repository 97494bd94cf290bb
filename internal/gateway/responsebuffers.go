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
	maxBufferedResponses = 24 << 20
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
	start := bodyStart{release: func() {}}
	var err error
	if start.data, err = io.ReadAll(io.LimitReader(response.Body, minBufferedResponse)); err != nil {
		return bodyStart{}, err
	}
	if start.complete = len(start.data) < minBufferedResponse; start.complete {
		return start, nil
	}
	size := int64(maxBufferedResponse)
	if response.ContentLength >= 0 {
		size = min(size, response.ContentLength)
	}
	if !b.bytes.TryAcquire(size) {
		return start, nil
	}
	data := make([]byte, size)
	n, ended, err := readUntilFull(response.Body, data, copy(data, start.data))
	if err != nil {
		b.bytes.Release(size)
		return bodyStart{}, err
	}
	start.data, start.complete = data[:n], ended || int64(n) == response.ContentLength
	start.release = func() { b.bytes.Release(size) }
	return start, nil
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
