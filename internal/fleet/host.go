package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/groupcall"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/replog"
)

const (
	// groupName is the name of the one log group.
	groupName = "fleet"
	// keySpace is the number of keys of a service that is divided by key.
	keySpace = 1 << 16
	// initialRangesPerServer is the number of ranges in which a server gets its keys at first: a
	// table of hundreds of servers must still be sent to a gateway in a moment.
	initialRangesPerServer = 4
	// snapshotEntries is the number of log entries between two snapshots.
	snapshotEntries = 512
)

// quorumTimeoutElections is the number of election timeouts for which a leader waits for
// its quorum: a full link between regions delays answers by a second.
const quorumTimeoutElections = 4

// peerLimits find a silent peer within a few election timeouts.
var peerLimits = peer.Limits{
	PingInterval:     400 * time.Millisecond,
	SilenceTimeout:   1500 * time.Millisecond,
	HandshakeTimeout: 1500 * time.Millisecond,
	BackoffMin:       30 * time.Millisecond,
	BackoffMax:       200 * time.Millisecond,
}

// PeerLimits returns the limits of connections between gateways and control
// hosts.
func PeerLimits() peer.Limits { return peerLimits }

// Options of a Host.
type Options struct {
	Settings *settings.FleetSettings
	Secret   []byte // of peers; empty on an open network
	Registry *prometheus.Registry
}

// Host is one control host.
type Host struct {
	settings        *settings.FleetSettings
	name            string // address for peers, IP:port
	state           *fleetState
	metrics         *metrics
	server          *peer.Server
	peers           *peers
	runner          *group.Runner
	voters          atomic.Value  // []string: addresses of the log's voters, for the loop
	publishRequests chan struct{} // the table may have changed
	cancel          context.CancelFunc
	loops           sync.WaitGroup

	// mu guards the fields below.
	mu          sync.Mutex
	leading     *leadership // nil while this host does not lead
	subscribers map[*peer.Conn]struct{}

	keyEvents trace.History[trace.KeyEvent] // of the times when this host led
}

// New makes a host and opens its listener for peers. Start starts it.
func New(o Options) (*Host, error) {
	h := &Host{
		settings:        o.Settings,
		name:            PeerAddress(o.Settings.Ip, o.Settings.PeerPort),
		publishRequests: make(chan struct{}, 1),
		subscribers:     map[*peer.Conn]struct{}{},
	}
	h.state = &fleetState{onChange: h.requestPublish}
	var err error
	if h.metrics, err = newMetrics(o.Registry); err != nil {
		return nil, err
	}
	traffic := peer.NewMetrics(o.Registry)
	h.peers = newPeers(h.identity(), o.Secret, traffic)
	h.server, err = peer.NewServer(peer.ServerOptions{
		Listen:  h.name,
		Self:    h.identity(),
		Secret:  o.Secret,
		Handler: &handler{host: h},
		Limits:  peerLimits,
		Metrics: traffic,
	})
	return h, errors.Wrap(err, "peer listener")
}

// PeerAddress returns the address of a host's peer listener, which is also the
// name of a control host.
func PeerAddress(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// SeedAddresses returns the peer addresses of the hosts in a list of IP:port.
func SeedAddresses(seeds []string, peerPort int) []string {
	var addresses []string
	for _, seed := range seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, PeerAddress(ip, peerPort))
		}
	}
	return addresses
}

func (h *Host) identity() peer.Identity {
	return peer.Identity{Name: h.name, Role: peer.RoleControl}
}

func (h *Host) seeds() []string { return SeedAddresses(h.settings.Seeds, h.settings.PeerPort) }

// Start starts the log and the listener.
func (h *Host) Start() error {
	runner, err := h.startRunner()
	if err != nil {
		return err
	}
	h.runner = runner
	if err := h.server.Start(); err != nil {
		return errors.Wrap(err, "peer listener")
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, address := range h.otherControlHosts() {
		h.peers.client(address) // connects in the background
	}
	h.loops.Go(func() { h.membershipLoop(ctx) })
	h.loops.Go(func() { h.publishLoop(ctx) })
	return nil
}

// startRunner opens the disk's member. A founder's member is named after its
// host; any other disk is new and gets a random identity.
func (h *Host) startRunner() (*group.Runner, error) {
	options := group.Options{
		Name:            groupName,
		HostName:        h.name,
		Dir:             filepath.Join(h.settings.DataDir, groupName),
		Election:        clock.Milliseconds(h.settings.ElectionMs),
		Heartbeat:       clock.Milliseconds(h.settings.RaftHeartbeatMs),
		QuorumTimeout:   quorumTimeoutElections * clock.Milliseconds(h.settings.ElectionMs),
		SnapshotEntries: snapshotEntries,
		Seed:            rand.Uint64(),
		Applier:         h.state,
		Transport:       h,
		OnLeader:        h.onLeader,
		ElectionDelay:   h.electionDelay,
	}
	initialMembers := h.bootstrapMembers()
	switch {
	case group.HoldsStore(options.Dir):
	case len(initialMembers) > 0:
		options.ID, options.Bootstrap = memberID(h.name), initialMembers
	default:
		options.ID = rand.Uint64()
	}
	log.WithFields(log.Fields{"host": h.name, "founds": len(initialMembers) > 0}).Info("control host starts")
	runner, err := group.Start(options)
	return runner, errors.Wrap(err, "replicated log")
}

// electionDelayRoundTrips is the number of round trips to its nearest quorum that a host
// waits longer before it stands for election: the log is fastest, and least
// harmed by a full link between regions, where a quorum is near.
const electionDelayRoundTrips = 8

// electionDelay returns how much later than others this host stands for election.
func (h *Host) electionDelay() time.Duration {
	maxDelay := clock.Milliseconds(h.settings.ElectionMs)
	voters, _ := h.voters.Load().([]string)
	return min(electionDelayRoundTrips*h.peers.quorumRoundTrip(h.name, voters, maxDelay), maxDelay)
}

// bootstrapMembers returns the first members, or nil if this host does not found.
func (h *Host) bootstrapMembers() []replog.Member {
	if !h.settings.Found {
		return nil
	}
	var members []replog.Member
	selfListed := false
	for _, address := range h.seeds() {
		members = append(members, replog.Member{ID: memberID(address), Name: address})
		selfListed = selfListed || address == h.name
	}
	if !selfListed {
		return nil
	}
	return members
}

// memberID is the identity of a founder's disk.
func memberID(address string) uint64 { return xxhash.Sum64String(groupName + "/" + address) }

// Stop hands leadership over and ends the host.
func (h *Host) Stop(ctx context.Context) error {
	log.WithField("host", h.name).Info("control host stops")
	h.cancel()
	h.runner.Stop(ctx)
	err := h.server.Stop(ctx)
	h.peers.close()
	h.loops.Wait()
	return err
}

// Send implements group.Transport.
func (h *Host) Send(name string, to replog.Member, messages []replog.Message) {
	if to.Name == "" {
		return // the address comes with the member's next message
	}
	body, err := groupcall.EncodeRaft(name, messages)
	if err != nil {
		log.WithError(err).Error("log messages not sent")
		return
	}
	// A lost message is sent again by the log.
	_ = h.peers.client(to.Name).Notify(wire.KindRaft, body)
}

func (h *Host) requestPublish() {
	select {
	case h.publishRequests <- struct{}{}:
	default:
	}
}

// leaseHeartbeats and leaseSlack make up the lease: a server may miss a heartbeat,
// and all control hosts may be down and elect a leader within the slack.
const (
	leaseHeartbeats = 2
	leaseSlack      = 4 * time.Second
)

// lease returns the lease of key ranges.
func (h *Host) lease() time.Duration {
	if h.settings.LeaseMs > 0 {
		return clock.Milliseconds(h.settings.LeaseMs)
	}
	lease := leaseHeartbeats*clock.Milliseconds(h.settings.ServerHeartbeatMs) + leaseSlack
	return min(lease, clock.Milliseconds(h.settings.MaxLeaseMs))
}

// leads tells whether this host leads as far as it knows. What must not be done by
// a leader that was replaced asks for confirm as well.
func (h *Host) leads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leading != nil
}

// confirm returns once this host has proved that it led after the call began.
func (h *Host) confirmLeadership(ctx context.Context) error {
	if h.runner.Leads() {
		return nil
	}
	return mapLogError(h.runner.ReadBarrier(ctx))
}

// leadership is what a leader keeps in memory.
type leadership struct {
	term           uint64
	coordinator    *keyrange.Coordinator
	configVersion  uint64 // newest configuration told to subscribers
	leavesRestored bool   // whether the coordinator knows of servers that left before
}

// onLeader is called by the log's goroutine when this host begins and ends to
// lead.
func (h *Host) onLeader(leads bool, term uint64) {
	log.WithFields(log.Fields{"host": h.name, "leads": leads, "term": term}).Info("leadership changed")
	h.mu.Lock()
	defer h.mu.Unlock()
	if !leads {
		h.metrics.leads.Set(0)
		h.leading = nil
		for conn := range h.subscribers {
			conn.Close()
		}
		return
	}
	inheritedLeasesEnd := time.Duration(0)
	if previous := h.state.recordedLease(); previous > 0 {
		inheritedLeasesEnd = clock.Now() + keyrange.LeaseBound(previous)
	}
	h.metrics.leads.Set(1)
	lease := h.lease()
	h.leading = &leadership{term: term, coordinator: keyrange.New(keyrange.Options{
		Term:               term,
		Keys:               keySpace,
		RangesPerServer:    initialRangesPerServer,
		Lease:              lease,
		InheritedLeasesEnd: inheritedLeasesEnd,
		RecordedGrants:     h.state.grants(),
		DrainPeriod:        clock.Milliseconds(h.settings.DrainMs),
		SilenceTimeout:     2 * lease,
	})}
	h.requestPublish()
}
