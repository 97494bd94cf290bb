// Package peer implements the connections between galenalug's own processes: WebSocket connections
// that carry CBOR-encoded wire.Frame messages.
//
// A client maintains one connection to one server, and reconnects when the connection breaks or no
// data arrives within Limits.IdleTimeout. Before any other message is accepted, each side proves
// knowledge of the shared secret. Only the handshake is authenticated: the network between the
// hosts is trusted not to alter the data of an open connection.
//
// Calls carry an ID and may be answered in any order. Notifications are one-way and are delivered
// in the order in which they were sent. Queues and message sizes are bounded; a peer that does not
// read is disconnected.
//
// Lock order: Client.mu, then Conn.callsMu. Neither is held while a handler or a socket operation
// runs.
package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Path is the HTTP path of the WebSocket endpoint.
const Path = "/galena/v1/peer"

// Process roles.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

var (
	// ErrNotConnected means that there was no connection, or that the call ended before its first
	// byte was written. Nothing was sent.
	ErrNotConnected = errors.New("not connected to the peer; nothing was sent")
	// ErrQueueFull means that the send queue is full. Nothing was sent.
	ErrQueueFull = errors.New("the peer's send queue is full; nothing was sent")
	// ErrUnknownOutcome means that the call was sent, but no reply was received.
	ErrUnknownOutcome = errors.New("the call was sent and not answered; its outcome is unknown")
	// ErrAuthenticationFailed means that the peer could not be authenticated.
	ErrAuthenticationFailed = errors.New("peer authentication failed")
	// ErrInvalidFrame means that a message is not a valid frame or exceeds the size limit.
	ErrInvalidFrame = errors.New("invalid frame")
)

// Error is the error reply to a call.
type Error struct {
	Code   string // one of the wire.Code constants
	Detail string // human-readable, or the leader's name if Code is wire.CodeNotLeader
}

// Error returns the code and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Code
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Detail)
}

// Identity identifies a process.
type Identity struct {
	Name string // host name
	Role string // RoleEntry or RoleControl
}
