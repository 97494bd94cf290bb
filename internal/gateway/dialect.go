package gateway

import (
	"net/http"
	"time"

	"github.com/galenalug/galenalug/dispatch"
)

// NoKey is the key of a request without a key.
const NoKey = -1

// RequestInfo is what the gateway takes from the headers of a client's request.
type RequestInfo struct {
	ID      string        // ID of the client's attempt
	Timeout time.Duration // how long the client waits; 0 if not given
	Key     int64         // NoKey if not given
	Caller  string        // all that names the caller, in any form; empty if nothing does
}

// ResponseInfo is what the gateway takes from the headers of a backend server's response.
type ResponseInfo struct {
	ID          string // ID of the attempt that it answers; empty if not given
	NotExecuted bool   // the server states that it did not run the request
	NotOwner    bool   // the server does not own the request's key
	ServerID    string // incarnation that answered; empty if not given
	Sealed      bool   // the response carries the server's seal
	Load        *dispatch.Report
	Notice      dispatch.Notice
}

// Dialect reads and writes the platform-specific headers of requests and responses.
type Dialect interface {
	// ParseRequest reads the headers of a client's request.
	ParseRequest(header http.Header) RequestInfo
	// SetForwardHeaders sets the headers of a request to a backend server: the time left until the
	// deadline and the ID of the incarnation that is to run the request.
	SetForwardHeaders(header http.Header, left time.Duration, serverID string)
	// ParseResponse reads the status and the headers of a backend server's response.
	ParseResponse(status int, header http.Header) ResponseInfo
}
