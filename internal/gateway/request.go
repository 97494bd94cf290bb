package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clientconn"
)

// backendRequest is a request as it is sent to a backend server.
type backendRequest struct {
	method, target, host string
	header               http.Header
	id                   string
	body                 []byte
	stream               *clientBody // if not nil, replaces body
	streamLength         int64       // -1 if not known
	deadline             time.Time
	dialTimeout          time.Duration   // bounds the opening of a connection
	slots                int             // requests that the server runs concurrently
	cost                 *requestCost    // nil without balance: work
	once                 bool            // may run only once
	client               context.Context // ends when the client leaves
	progress             progress
	fingerprint          func() string            // nil for a streamed body
	bulk                 *linkTicket              // nil for a small request, and for one within the region
	tooLate              func() bool              // whether it would reach the server after its drain time, or evacuation
	onSend               func()                   // called when the request begins to be sent
	claimCold            func() (bool, error)     // takes a token if the server is cold; an error if there is none
	withColdToken        bool                     // it was sent with a token for a cold server
	dialTook             time.Duration            // time in which the connection was opened; 0 for an idle one
	onDial               func(took time.Duration) // called when a connection was opened; nil within the region
}

// clientLeft reports whether the client has left, or has broken off its body.
func (r *backendRequest) clientLeft() bool {
	return r.client.Err() != nil || r.stream != nil && r.stream.brokeOff()
}

// clientBody is a request body that is read from the client while it is sent.
type clientBody struct {
	reader  io.Reader
	request *http.Request
	failed  atomic.Bool // a read has failed
	limit   int64       // largest body, bytes; 0 for no limit
	read    int64
	hold    *hold
}

// Read implements io.Reader.
func (b *clientBody) Read(p []byte) (int, error) {
	b.hold.awaitClient()
	n, err := b.reader.Read(p)
	b.hold.gotFromClient(n, err)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		b.hold.client().RecordCut(clientconn.BodyTooLarge)
		n, err = 0, errBodyTooLarge
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}

// brokeOff reports whether the body could not be read to its end, or the client has closed the
// connection.
func (b *clientBody) brokeOff() bool { return b.failed.Load() || hungUp(b.request) }
