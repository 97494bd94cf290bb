// Package testport chooses TCP ports for the processes and listeners of tests.
package testport

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Ports are chosen below the range from which systems take the ports of outgoing connections: one of
// those may be taken between the choice and the listen.
const (
	first    = 12000
	count    = 18000
	attempts = 1000
)

// ErrNone is returned if no free port was found.
var ErrNone = errors.New("testport: no free port")

var (
	mu     sync.Mutex // guards chosen
	chosen = map[int]bool{}
)

// Free returns a port that is free on all the IP addresses, and that it has not returned before: tests
// that run at the same time may not listen on theirs yet.
func Free(ips ...string) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	for range attempts {
		port := first + rand.IntN(count)
		if !chosen[port] && isFree(port, ips) {
			chosen[port] = true
			return port, nil
		}
	}
	return 0, ErrNone
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
