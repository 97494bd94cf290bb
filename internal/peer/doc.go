// Package peer connects galenalug's own processes: WebSocket connections that
// carry wire.Frame messages in CBOR.
//
// A client keeps one connection to one server and replaces it when it breaks or
// goes silent. Both sides prove that they hold the shared secret before any
// other message is accepted. The proof covers the handshake only: the network
// between the hosts is trusted not to alter the bytes of an open connection.
//
// Calls carry an id and are answered in any order. Notifications travel one way
// and are delivered in the order in which they were sent. Queues and messages
// are bounded: a peer that does not read is disconnected.
//
// Lock order: Client.mu, then Conn.callsMu. Neither is held during a handler's
// call or a socket operation.
package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Path is the HTTP path of the WebSocket endpoint.
const Path = "/galena/v1/peer"

// Roles of processes.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

var (
	// ErrNotConnected means that there was no connection, or that the call ended
	// before its first byte was written. Nothing was sent.
	ErrNotConnected = errors.New("not connected to the peer; nothing was sent")
	// ErrQueueFull means that the send queue has no room. Nothing was sent.
	ErrQueueFull = errors.New("the peer's send queue is full; nothing was sent")
	// ErrUnknownOutcome means that the call was sent, and that no answer came.
	ErrUnknownOutcome = errors.New("the call was sent and not answered; its outcome is unknown")
	// ErrAuthenticationFailed means that the peer failed the authentication.
	ErrAuthenticationFailed = errors.New("the peer failed the authentication")
	// ErrInvalidFrame means that a message is not a valid frame.
	ErrInvalidFrame = errors.New("invalid frame")
)

// Error is the answer of a call that the called process refused or failed.
type Error struct {
	Code   string // one of the wire.Code constants
	Detail string // for people, or the leader's name with wire.CodeNotLeader
}

// Error returns the code and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Code
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Detail)
}

// Identity names a process.
type Identity struct {
	Name string // host name
	Role string // RoleEntry or RoleControl
}
