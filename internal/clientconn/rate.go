package clientconn

import (
	"time"

	"github.com/galenalug/galenalug/internal/clock"
)

// Rate is the least rate at which a client must send or take data while the process waits for it.
type Rate struct {
	BytesPerSecond int64
	// Window is how long a client may take for the bytes of as much time. A pause of that length is allowed.
	Window time.Duration
}

// DefaultRate is far below what a poor line has: 60 kB arrive at 2 to 4 kB/s.
var DefaultRate = Rate{BytesPerSecond: 512, Window: 15 * time.Second}

// RateOf returns the rate that settings name, with the values of DefaultRate for those that are 0.
func RateOf(bytesPerSecond, windowSeconds float64) Rate {
	rate := DefaultRate
	if bytesPerSecond > 0 {
		rate.BytesPerSecond = int64(bytesPerSecond)
	}
	if windowSeconds > 0 {
		rate.Window = clock.Seconds(windowSeconds)
	}
	return rate
}

// bytes returns how many bytes a client must move in each window.
func (r Rate) bytes() int64 { return r.BytesPerSecond * int64(r.Window) / int64(time.Second) }

// meter measures whether one direction of a connection keeps the least rate. A new window begins as soon as the bytes of
// the last one have been moved.
type meter struct {
	base   int64         // bytes moved at the start of the window
	waited time.Duration // for the client, in the window
}

// observe records that the process has waited for the client for some time, during which the client has moved data up to
// a total of moved bytes. It reports whether the client keeps the rate.
func (m *meter) observe(r Rate, moved int64, waited time.Duration) bool {
	if moved-m.base >= r.bytes() {
		m.base, m.waited = moved, 0
		return true
	}
	m.waited += waited
	return m.waited < r.Window
}

// reset begins a new window, since the process does not wait for the client.
func (m *meter) reset(moved int64) { m.base, m.waited = moved, 0 }
