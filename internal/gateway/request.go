package gateway

import (
	"context"
	"io"
	"net/http"
	"time"
)

// backendRequest is a request as it is sent to a backend server.
type backendRequest struct {
	method, target, host string
	header               http.Header
	id                   string
	body                 []byte
	stream               io.Reader // if not nil, replaces body
	streamLength         int64     // -1 if not known
	deadline             time.Time
	slots                int             // requests that the server runs concurrently
	once                 bool            // may run only once
	client               context.Context // ends when the client leaves
	progress             progress
}

// clientLeft reports whether the client has left.
func (r *backendRequest) clientLeft() bool {
	return r.client.Err() != nil
}
