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
	Quiet  State = iota // open, nothing to read
	Closed              // closed or broken
	Late                // bytes that no request asked for
)

// Peek looks at a connection. One that is no socket counts as closed.
func Peek(c net.Conn) State {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Quiet
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Late
		case !errors.Is(peekErr, syscall.EAGAIN) && !errors.Is(peekErr, syscall.EINTR):
			state = Closed
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return state
}

// Unread tells whether bytes of a socket wait to be read. Unlike Peek it may be
// called while another goroutine waits in Read.
func Unread(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // an error means no bytes
		unread = n > 0
	})
	return err == nil && unread
}
