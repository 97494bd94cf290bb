// Package idle checks the state of idle connections without blocking and without consuming data.
package idle

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of an idle connection.
type State int

// States of an idle connection.
const (
	Quiet    State = iota // open, no data to read
	Closed                // closed by the peer or failed
	Readable              // unread data; on an idle connection it belongs to no request
)

// Peek returns the state of a connection. It returns Closed if the connection is not a socket.
func Peek(c net.Conn) State {
	return inspect(c, func(raw syscall.RawConn, peek func(fd uintptr)) error {
		return raw.Read(func(fd uintptr) bool {
			peek(fd)
			return true
		})
	})
}

// Unread reports whether a socket has unread data. Unlike Peek, it may be called while another
// goroutine is blocked in Read.
func Unread(c net.Conn) bool {
	return inspect(c, syscall.RawConn.Control) == Readable
}

// HungUp reports whether the peer has closed its side of a connection, even if bytes that it sent before
// are still unread. It returns false if the connection is not a socket.
func HungUp(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(poll, 0)
		hungUp = err == nil && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return hungUp || err != nil // fails only if the connection is closed
}

// inspect returns the state of a connection. run calls peek with the file descriptor.
func inspect(c net.Conn, run func(raw syscall.RawConn, peek func(fd uintptr)) error) State {
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
