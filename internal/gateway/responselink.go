package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/galenalug/galenalug/routes"
)

const (
	// initialResponseBytes is the expected size of a large response of a route before the first one.
	initialResponseBytes = 64 << 10
	// responseSizeWeight is the weight of a response in the moving average of its route.
	responseSizeWeight = 0.1
	// maxSizedRoutes is the number of routes whose average is kept.
	maxSizedRoutes = 4096
)

// responseSizes holds the mean size of the responses of each route with large ones.
type responseSizes struct {
	mu    sync.Mutex         // guards bytes; no other lock is acquired while it is held
	bytes map[string]float64 // by name of the route
}

func newResponseSizes() *responseSizes { return &responseSizes{bytes: map[string]float64{}} }

// expected returns the expected size of a response, bytes.
func (s *responseSizes) expected(route *routes.Route) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, known := s.bytes[route.Name]; known {
		return int(mean)
	}
	return initialResponseBytes
}

// observe counts a response. One without a length counts if it was read to its end.
func (s *responseSizes) observe(route *routes.Route, resp *backendResponse) {
	size := float64(len(resp.body))
	if resp.rest != nil {
		length, err := strconv.ParseInt(resp.header.Get("Content-Length"), 10, 64)
		if err != nil {
			return
		}
		size = float64(length)
	}
	if route.Kind != routes.Download {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.bytes) >= maxSizedRoutes {
		clear(s.bytes) // of routes that are no longer there, mostly
	}
	mean, known := s.bytes[route.Name]
	if !known {
		mean = initialResponseBytes
	}
	s.bytes[route.Name] = mean + responseSizeWeight*(size-mean)
}

// observeDial adjusts the window for large responses from a region to the time in which a connection there was
// opened: its two packets wait in the same queues as everything else. ticket is that of the request, if any.
func (h *Host) observeDial(region string, took time.Duration, ticket *linkTicket) {
	l := h.responseLinks
	bytes := 0
	if ticket != nil && ticket.links == l {
		bytes = ticket.bytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.get(region)
	link.window.Acknowledged(clockNow(), bytes, took)
	l.observe(link)
}
