package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTime is how long an idle connection is kept if the server names no keep-alive
	// timeout.
	defaultIdleTime = 8 * time.Second
	// idleFraction is the fraction of the server's keep-alive timeout for which an idle connection
	// is used. The margin avoids sending on a connection that the server is about to close.
	idleFraction = 0.75
)

// keepAliveTime returns how long an idle connection to the server may be used.
func keepAliveTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(seconds) * idleFraction * float64(time.Second))
		}
	}
	return defaultIdleTime
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy of the header without the hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, named := range header.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
