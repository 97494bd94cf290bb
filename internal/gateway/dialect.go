package gateway

import (
	"net/http"
	"time"

	"github.com/galenalug/galenalug/dispatch"
)

// NoKey is the key of a request that has none.
const NoKey = -1

// RequestInfo is what the headers of a client's request say.
type RequestInfo struct {
	ID      string        // id of the client's attempt
	Timeout time.Duration // how long the client waits; 0 if it does not say
	Key     int64         // NoKey for none
}

// ResponseInfo is what the headers of a backend server's response say.
type ResponseInfo struct {
	ID          string // id of the attempt that it answers; empty if it does not say
	NotExecuted bool   // the server says that it did not run the request
	NotOwner    bool   // the server does not hold the request's key
	ServerID    string // incarnation that answered; empty if it does not say
	Sealed      bool   // the server vouches for the response
	Load        *dispatch.Report
}

// Dialect reads and writes the headers that the network's services agreed on.
type Dialect interface {
	// ParseRequest reads a client's request.
	ParseRequest(header http.Header) RequestInfo
	// SetForwardHeaders sets the headers of a request to a backend server: the time left
	// and the incarnation that is to run it.
	SetForwardHeaders(header http.Header, left time.Duration, serverID string)
	// ParseResponse reads a backend server's response.
	ParseResponse(status int, header http.Header) ResponseInfo
}
