package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/galenalug/galenalug/internal/peer"
)

// peers holds the connections to other control hosts.
type peers struct {
	self    peer.Identity
	secret  []byte
	metrics *peer.Metrics

	mu         sync.Mutex               // guards the fields below
	clients    map[string]*peer.Client  // by address
	roundTrips map[string]time.Duration // by address; connect time of the newest connection
	heard      map[string]bool          // addresses of the control hosts that have sent messages of the log
}

// maxHeard is the number of addresses that peers.heard holds at most.
const maxHeard = 64

func newPeers(self peer.Identity, secret []byte, metrics *peer.Metrics) *peers {
	return &peers{
		self: self, secret: secret, metrics: metrics,
		clients: map[string]*peer.Client{}, roundTrips: map[string]time.Duration{}, heard: map[string]bool{},
	}
}

// dial opens a connection and records the connect time, which is one round trip.
func (p *peers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	started := time.Now()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roundTrips[address] = time.Since(started)
	return conn, nil
}

// quorumRoundTrip returns the round trip to the farthest member of the nearest quorum of the
// addresses, of which self is one. defaultTrip is used for addresses without a measurement.
func (p *peers) quorumRoundTrip(self string, addresses []string, defaultTrip time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var trips []time.Duration
	for _, address := range addresses {
		if address == self {
			continue
		}
		trip, known := p.roundTrips[address]
		if !known {
			trip = defaultTrip
		}
		trips = append(trips, trip)
	}
	slices.Sort(trips)
	needed := len(addresses) / 2 // a quorum without self
	if needed == 0 || needed > len(trips) {
		return 0
	}
	return trips[needed-1]
}

// client returns the client for an address and creates it on first use.
func (p *peers) client(address string) *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = peer.NewClient(peer.ClientOptions{
			Address:      address,
			Self:         p.self,
			ExpectedName: address,
			Secret:       p.secret,
			Seed:         rand.Uint64(),
			Limits:       peerLimits,
			Metrics:      p.metrics,
			Dial:         p.dial,
		})
		p.clients[address] = c
	}
	return c
}

// recordHeard records that a control host has sent messages of the log. It may know this host although
// this host, on an empty disk, knows no other.
func (p *peers) recordHeard(from peer.Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from.Role == peer.RoleControl && len(p.heard) < maxHeard {
		p.heard[from.Name] = true
	}
}

// heardAddresses returns the addresses of the control hosts that have sent messages of the log.
func (p *peers) heardAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.heard))
}

// close closes all connections. It must not hold mu while it waits for them: a dial in progress needs it.
func (p *peers) close() {
	p.mu.Lock()
	clients := slices.Collect(maps.Values(p.clients))
	p.mu.Unlock()
	for _, c := range clients {
		c.Close()
	}
}
