package testport

import (
	"sync"
	"testing"
)

// Guards against one port for two tests that run at the same time: neither listens on it while the other
// one chooses, and the later one fails with "address already in use".
func TestFreeReturnsNoPortTwice(t *testing.T) {
	const goroutines, each = 8, 100
	var mu sync.Mutex // guards seen
	seen := map[int]bool{}
	var done sync.WaitGroup
	for range goroutines {
		done.Go(func() {
			for range each {
				port, err := Free("127.0.0.1")
				mu.Lock()
				if err != nil || seen[port] {
					t.Errorf("port %d, error %v; want a new port", port, err)
				}
				seen[port] = true
				mu.Unlock()
			}
		})
	}
	done.Wait()
}
