package httphead

import (
	"bufio"
	"io"
	"net/http"
)

// maxKeptBytes is the size of a Recorder's memory up to which it is kept for the next head, bytes.
const maxKeptBytes = 1 << 10

// Recorder passes bytes on to a bufio.Reader and keeps those of a head. It is not safe for concurrent use.
type Recorder struct {
	source    io.Reader
	recording bool
	data      []byte
}

// NewRecorder returns a recorder of what is read from a source.
func NewRecorder(source io.Reader) *Recorder { return &Recorder{source: source} }

// Read implements io.Reader.
func (r *Recorder) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.recording {
		r.data = append(r.data, p[:n]...)
	}
	return n, err
}

// start begins to record. The reader holds the given bytes already.
func (r *Recorder) start(buffered []byte) {
	if cap(r.data) > maxKeptBytes {
		r.data = nil
	}
	r.data = append(r.data[:0], buffered...)
	r.recording = true
}

// stop ends the recording and returns what was read up to the last unread bytes. The result is valid until
// the next start.
func (r *Recorder) stop(unread int) []byte {
	r.recording = false
	return r.data[:len(r.data)-unread]
}

// ReadResponse reads the head of a response to a request, as http.ReadResponse does, and fails with
// ErrMalformed if CheckResponse rejects it. The reader must read from the recorder.
func ReadResponse(reader *bufio.Reader, recorder *Recorder, request *http.Request) (*http.Response, error) {
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	recorder.start(buffered)
	response, err := http.ReadResponse(reader, request)
	head := recorder.stop(reader.Buffered())
	if err != nil {
		return nil, err
	}
	return response, CheckResponse(head)
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks, so that only
// the end of its connection ends it.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
