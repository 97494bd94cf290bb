// Package testport chooses TCP ports for the processes and listeners of tests.
package testport

import (
	"math/rand/v2"
	"net"
	"strconv"

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

// Free returns a port that is free on all the IP addresses.
func Free(ips ...string) (int, error) {
	for range attempts {
		port := first + rand.IntN(count)
		if isFree(port, ips) {
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
