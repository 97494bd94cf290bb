package clientconn

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/galenalug/galenalug/internal/clock"
)

// ErrClientGone means that the client has closed the connection.
var ErrClientGone = errors.New("clientconn: the client has closed the connection and waits for no response")

// tcpCloseWait is the kernel's state of a connection that the other side has closed: TCP_CLOSE_WAIT.
const tcpCloseWait = 8

// RequestReceived returns when the last byte of the request in progress arrived at this host, by package clock. That may be
// long ago if the process has stood still. The error is ErrClientGone if the client has closed the connection since. Without a
// connection, or if the kernel doesn't tell, the request counts as received now.
func (c *Conn) RequestReceived() (time.Duration, error) {
	now := clock.Now() // read first: a pause after it makes the request older, not younger
	info, known := c.tcpInfo()
	if !known || info.Data_segs_in == 0 {
		return now, nil
	}
	received := now - clock.Milliseconds(int64(info.Last_data_recv))
	if info.State == tcpCloseWait {
		return received, ErrClientGone
	}
	return received, nil
}

// tcpInfo returns what the kernel knows of the connection.
func (c *Conn) tcpInfo() (info *unix.TCPInfo, known bool) {
	if c == nil {
		return nil, false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, false
	}
	err = raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // nil if it fails
	})
	return info, err == nil && info != nil
}
