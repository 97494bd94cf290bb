package gateway

import (
	"context"
	"net"
	"sync"
	"time"
)

// ackTime is how long the acknowledgement of a request may take on a link with free capacity: a round trip
// between regions and a delayed acknowledgement (RFC 1122, section 4.2.3.2), with a margin.
const ackTime = 150 * time.Millisecond

// clientWatch closes the connection of an exchange if the client leaves. What the kernel still holds is
// discarded. A request that may run only once is left to a server that has it in full: its connection is
// closed only while part of it was not written, or was not acknowledged by the server's host for longer
// than ackTime. Its outcome stays unknown.
type clientWatch struct {
	conn    *conn
	request *backendRequest
	stop    func() bool // stops the wait for the client's leave

	mu      sync.Mutex  // guards the fields below; no other lock is acquired while it is held
	timer   *time.Timer // runs clientLeft again; nil if it is not needed
	aborted bool
	ended   bool // the exchange has ended; the connection may carry another request
}

func watchClient(c *conn, req *backendRequest) *clientWatch {
	w := &clientWatch{conn: c, request: req}
	w.stop = context.AfterFunc(req.client, w.clientLeft)
	return w
}

// clientLeft is called when the client has left or has broken off its body, and once more ackTime after
// the request was written.
func (w *clientWatch) clientLeft() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.aborted {
		return
	}
	progress := &w.request.progress
	if !w.request.once || progress.phase() != phaseSent {
		w.abort()
		return
	}
	sinceWritten := clockNow() - time.Duration(progress.writtenAt.Load())
	if sinceWritten < ackTime {
		w.timer = time.AfterFunc(ackTime-sinceWritten, w.clientLeft)
		return
	}
	if unsent, unacked := unsentBytes(w.conn.Conn); unsent > 0 || unacked > 0 {
		w.abort()
	}
}

// abort closes the connection and discards what the kernel holds for it. The caller holds mu.
func (w *clientWatch) abort() {
	w.aborted = true
	if tcp, ok := w.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = w.conn.Close() // the exchange ends with an error
}

// hasAborted reports whether the connection was closed because the client has left.
func (w *clientWatch) hasAborted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.aborted
}

// end ends the watch. From then on the connection is not closed.
func (w *clientWatch) end() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
