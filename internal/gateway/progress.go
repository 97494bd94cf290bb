package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// phase is how far a request has come on its way to a backend server.
type phase string

// Phases of a request, in order.
const (
	phaseWaiting    phase = "waiting"    // for routes, a body, an owner or capacity; no attempt is under way
	phaseConnecting phase = "connecting" // an attempt waits for a connection
	phaseSending    phase = "sending"    // part of the request was handed to the connection
	phaseSent       phase = "sent"       // the whole request was handed to the connection
)

// progress records how far an attempt has come. Times are on clock.Now; 0 stands for a step that was not
// reached. All fields may be read while the attempt is under way.
type progress struct {
	startedAt   atomic.Int64 // the attempt began to take or to open a connection
	connectedAt atomic.Int64 // the connection was there
	writtenAt   atomic.Int64 // the last byte was handed to the connection
	conn        atomic.Pointer[conn]
}

// mark sets a time to now.
func mark(at *atomic.Int64) { at.Store(int64(clockNow())) }

// phase returns the phase of the attempt; a nil progress stands for none.
func (p *progress) phase() phase {
	switch {
	case p == nil:
		return phaseWaiting
	case p.writtenAt.Load() != 0:
		return phaseSent
	case p.connectedAt.Load() != 0:
		return phaseSending
	}
	return phaseConnecting
}

// between returns the time from one mark to another, or 0 if one of them was not reached.
func between(from, to *atomic.Int64) time.Duration {
	if from.Load() == 0 || to.Load() == 0 {
		return 0
	}
	return time.Duration(to.Load() - from.Load())
}

// unsentBytes returns the number of bytes that the kernel holds for a connection and has not sent yet, and
// of those that it has sent and that are not acknowledged; -1 if the kernel does not say.
func unsentBytes(c net.Conn) (unsent, unacked int) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return -1, -1
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1, -1
	}
	unsent, unacked = -1, -1
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); err == nil {
			unsent = n
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unacked = n - max(unsent, 0)
		}
	})
	return unsent, unacked
}
