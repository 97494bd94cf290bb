package fleet

import (
	"math/rand/v2"
	"os"
	"sync"

	"github.com/galenalug/galenalug/internal/peer"
)

// peers are the connections to other control hosts, by address.
type peers struct {
	self    peer.Identity
	secret  []byte
	metrics *peer.Metrics

	mu      sync.Mutex // guards clients
	clients map[string]*peer.Client
}

func newPeers(self peer.Identity, secret []byte, metrics *peer.Metrics) *peers {
	return &peers{self: self, secret: secret, metrics: metrics, clients: map[string]*peer.Client{}}
}

// client returns the connection to an address, and makes it at its first use.
func (p *peers) client(address string) *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = peer.NewClient(peer.ClientOptions{
			Address: address,
			Self:    p.self,
			Expect:  address,
			Secret:  p.secret,
			Seed:    rand.Uint64(),
			Limits:  peerLimits,
			Metrics: p.metrics,
		})
		p.clients[address] = c
	}
	return c
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

// holdsStore reports whether a folder holds a member's store.
func holdsStore(dir string) bool {
	entries, err := os.ReadDir(dir)
	return err == nil && len(entries) > 0
}
