// Package idle looks at connections that carry no request, without blocking and
// without taking bytes from them.
package idle

import (
	"errors"
	"net"
	"syscall"
)

// State is what a look at an idle connection shows.
type State int

// States of an idle connection.
const (
	Quiet    State = iota // open, nothing to read
	Closed                // closed or broken
	Readable              // bytes that no request asked for
)

// Peek looks at a connection. One that is no socket counts as closed.
func Peek(c net.Conn) State {
	return look(c, func(raw syscall.RawConn, peek func(fd uintptr)) error {
		return raw.Read(func(fd uintptr) bool {
			peek(fd)
			return true
		})
	})
}

// Unread tells whether bytes of a socket wait to be read. Unlike Peek it may be
// called while another goroutine waits in Read.
func Unread(c net.Conn) bool {
	return look(c, syscall.RawConn.Control) == Readable
}

// look returns what a peek shows that runs with access to the socket.
func look(c net.Conn, run func(raw syscall.RawConn, peek func(fd uintptr)) error) State {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	if err := run(raw, func(fd uintptr) { state = peekAt(int(fd)) }); err != nil {
		return Closed
	}
	return state
}

func peekAt(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return Readable
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Quiet
	}
	return Closed
}
