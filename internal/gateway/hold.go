package gateway

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/membudget"
	"github.com/galenalug/galenalug/routes"
)

const (
	// fieldMemory is the memory of a header field besides its text: entries in two maps, since the head is copied for
	// each attempt, and the slices of their values.
	fieldMemory = 160
	// textCopies is how often the text of a head is held: as it was read, and as it is written to a server.
	textCopies = 2
	// minFieldBytes is the size of the shortest header field, bytes.
	minFieldBytes = 4
	// maxDrainedBody is the size of a body up to which the connection of a request that was answered without it is kept,
	// bytes. The rest of the body is read and dropped.
	maxDrainedBody = 64 << 10
	// pieceBytes is the size of the pieces in which a response is written to the client, bytes.
	pieceBytes = 16 << 10
)

// errBodyTooLarge is the error of a body beyond the configuration's limit.
var errBodyTooLarge = errors.New("the request body is larger than allowed")

// hold is what a request holds of the client's connection and of the memory budget.
type hold struct {
	account    *membudget.Account
	conn       atomic.Pointer[clientconn.Conn] // nil if the connection is not guarded, or serves other requests now
	unread     bool                            // the body was not read to its end; set by the attempt that sends a streamed body
	responding atomic.Bool
}

// client returns the client's connection, or nil.
func (h *hold) client() *clientconn.Conn { return h.conn.Load() }

// openHold opens the request's account in the memory budget. A request that runs before its turn has one already.
func (c *call) openHold(conn *clientconn.Conn) {
	c.hold.conn.Store(conn)
	c.hold.unread = c.request.ContentLength != 0
	c.hold.account = c.host.clients.budget.Open(clockNow(), c.hold.giveWay)
}

// closeHold returns what the request holds. net/http reads the rest of a body before the next request.
func (c *call) closeHold() {
	if c.mustClose() {
		c.hold.client().StopReading()
	}
	c.hold.client().SetServing(false)
	c.hold.account.Close()
}

// giveWay ends the request, since its memory goes to others.
func (h *hold) giveWay() {
	if h.responding.Load() {
		h.client().Cut(clientconn.MemoryShort)
		return
	}
	h.client().RecordCut(clientconn.MemoryShort)
	h.client().StopReading()
}

// awaitClient states that the request waits for its client.
func (h *hold) awaitClient() {
	h.client().SetServing(false)
	h.account.SetAtServer(clockNow(), false)
}

// awaitServer states that the client waits for the request.
func (h *hold) awaitServer() {
	h.client().SetServing(true)
	h.account.SetAtServer(clockNow(), true)
}

// gotFromClient records what was read from the client.
func (h *hold) gotFromClient(n int, err error) {
	h.account.Moved(clockNow(), int64(n))
	h.awaitServer()
	if errors.Is(err, io.EOF) {
		h.unread = false
	}
}

// startResponse states that the request waits until its client takes the response.
func (c *call) startResponse() {
	c.hold.conn.Store(c.clientConn())
	c.hold.responding.Store(true)
	c.hold.awaitClient()
}

// clientConn returns the client's connection, also that of a call that runs ahead, or nil.
func (c *call) clientConn() *clientconn.Conn {
	if c.ahead != nil {
		return c.ahead.conn.Conn
	}
	return c.hold.client()
}

// mustClose reports whether the connection can't be used again, because too much of the body was not read.
func (c *call) mustClose() bool {
	length := c.request.ContentLength
	return c.hold.unread && (length < 0 || length > maxDrainedBody)
}

// closeIfUnread tells the client to send its next request on another connection, if this one can't be used again.
func (c *call) closeIfUnread() {
	if c.mustClose() {
		c.writer.Header().Set("Connection", "close")
	}
}

// headMemory returns the memory of a head of a number of bytes and fields.
func headMemory(bytes, fields int64) int64 { return textCopies*bytes + fieldMemory*fields }

// headSize returns the size and the number of fields of the request's head.
func headSize(r *http.Request) (bytes, fields int64) {
	bytes = int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host) + len("\r\n"))
	fields = 1
	for name, values := range r.Header {
		for _, value := range values {
			bytes += int64(len(name) + len(value) + len(": \r\n"))
		}
		fields += int64(len(values))
	}
	return bytes, fields
}

// takeHead takes the memory of the request's head. If there is none, it refuses the request and returns false.
func (c *call) takeHead() bool {
	if c.hold.account.Take(clockNow(), membudget.Heads, headMemory(headSize(c.request))) {
		return true
	}
	c.refuseForMemory()
	return false
}

// checkHead refuses a request whose head exceeds the configuration's limit, and returns false.
func (c *call) checkHead(limits routes.Limits) bool {
	bytes, _ := headSize(c.request)
	if limits.HeaderBytes <= 0 || bytes <= limits.HeaderBytes {
		return true
	}
	if c.awaitTurn(nil) {
		c.writer.Header().Set("Connection", "close")
		c.respondWithStatus(http.StatusRequestHeaderFieldsTooLarge, reasonHeadLarge)
	}
	return false
}

// readStart reads the body up to maxBufferedBody, and reports whether that is the whole body. limit is the largest body,
// 0 for no limit.
func (c *call) readStart(limit int64) (body []byte, ended bool, err error) {
	if c.hold.unread {
		c.hold.awaitClient() // whatever was stated of the connection before, the body is its client's turn
	}
	most := int64(maxBufferedBody)
	if limit > 0 && limit <= maxBufferedBody {
		most = limit + 1 // shows that the body is larger
	}
	body, ended, err = bodybuffer.ReadRequest(c.request.Body, c.request.ContentLength, most, c.hold.account, clockNow)
	if err == nil && limit > 0 && int64(len(body)) > limit {
		err = errBodyTooLarge
	}
	return body, ended, err
}

// refuseBody responds to a request whose body could not be read. It was not sent to a server.
func (c *call) refuseBody(err error) {
	c.writer.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errBodyTooLarge):
		c.hold.client().RecordCut(clientconn.BodyTooLarge)
		c.respondWithStatus(http.StatusRequestEntityTooLarge, reasonBodyLarge)
	case errors.Is(err, bodybuffer.ErrMemoryShort), c.hold.account.Evicted():
		c.refuseForMemory()
	case c.hold.client().SendsTooSlowly():
		c.respondWithStatus(http.StatusRequestTimeout, reasonBodySlow)
	default:
		c.respondWithStatus(http.StatusBadRequest, reasonBody)
	}
}

// refuseForMemory refuses the request and closes the connection.
func (c *call) refuseForMemory() {
	if !c.hold.account.Evicted() { // giveWay has recorded it otherwise
		c.hold.client().RecordCut(clientconn.MemoryShort)
	}
	c.writer.Header().Set("Connection", "close")
	c.refuse(reasonMemory)
	c.hold.account.Close()
}

// writeTo writes to the client in pieces, so that it shows whether the client takes them.
func (c *call) writeTo(data []byte) error {
	for len(data) > 0 {
		n, err := c.writer.Write(data[:min(pieceBytes, len(data))])
		if err != nil {
			return err
		}
		c.hold.account.Moved(clockNow(), int64(n))
		data = data[n:]
	}
	return nil
}

// copyTo streams the rest of a response to the client.
func (c *call) copyTo(rest io.Reader) error {
	c.hold.account.Take(clockNow(), membudget.ResponseBodies, pieceBytes) // without memory the client is still served
	buffer := make([]byte, pieceBytes)
	for {
		c.hold.awaitServer()
		n, readErr := rest.Read(buffer)
		c.hold.awaitClient()
		if err := c.writeTo(buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
