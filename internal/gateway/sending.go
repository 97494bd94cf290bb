package gateway

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
)

// sending is the sending of a request, which goes on while the response is read.
type sending struct {
	done chan struct{} // closed at the end
	err  error         // valid once done is closed
}

// startSending sends a request on a new goroutine.
func startSending(send func() error) *sending {
	s := &sending{done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = send()
	}()
	return s
}

// wait returns the result of the sending, or an error at the deadline.
func (s *sending) wait(deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-s.done:
		return s.err
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

// errReset is the error of a response whose connection was reset.
var errReset = errors.New("the connection was reset before the response was complete")

// closeDelimitedBody is the body of a response without a length, which ends with its connection. The kernel reports a
// reset only once. If the writer of the request gets that error, the reader sees an orderly end, so that the end counts
// only after the request was sent without an error.
type closeDelimitedBody struct {
	io.ReadCloser
	sending  *sending
	deadline time.Time // of the request
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	sendErr := b.sending.wait(b.deadline)
	switch {
	case errors.Is(sendErr, os.ErrDeadlineExceeded):
		return n, sendErr
	case sendErr != nil:
		return n, errors.Wrap(errReset, sendErr.Error())
	}
	return n, err
}
