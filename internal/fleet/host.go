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

	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/groupcall"
	"github.com/galenalug/galenalug/internal/pause"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/replog"
)

const (
	// groupName is the name of the only replication group.
	groupName = "fleet"
	// keySpace is the number of keys of a keyed service.
	keySpace = 1 << 16
	// initialRangesPerServer is the number of ranges in which a server first gets its keys. It is
	// kept low because the table for hundreds of servers must reach a gateway quickly.
	initialRangesPerServer = 4
	// snapshotEntries is the number of log entries between two snapshots, and snapshotBytes their size.
	snapshotEntries = 512
	snapshotBytes   = 512 << 10
	// maxInflightBytes is the part of the log that may be on its way to one host: a tenth of a second of a link of
	// 30 Mbit/s between regions.
	maxInflightBytes = 384 << 10
)

// quorumTimeoutElections is the time that a leader waits for replies of a quorum before it steps
// down, in election timeouts. A saturated link between regions delays replies by 1 s.
const quorumTimeoutElections = 4

// callWorkers is the number of calls of gateways and other control hosts that the leader handles at the same time. Each
// backend server may wait for the record of its grants, and each gateway for its report. A call beyond it is refused,
// and tried again elsewhere.
const callWorkers = 2048

// peerLimits detect an unresponsive peer within a few election timeouts.
var peerLimits = peer.Limits{
	PingInterval:     400 * time.Millisecond,
	IdleTimeout:      1500 * time.Millisecond,
	HandshakeTimeout: 1500 * time.Millisecond,
	BackoffMin:       30 * time.Millisecond,
	BackoffMax:       200 * time.Millisecond,
}

// slowLinkTimeout is the idle and handshake time-out between gateways and control hosts. Packets may
// wait for seconds on a gateway's full link, and a new connection costs several round trips there.
// Gateways look for another leader long before it.
const slowLinkTimeout = 4 * time.Second

// GatewayLimits returns the limits of connections between gateways and control hosts.
func GatewayLimits() peer.Limits {
	limits := peerLimits
	limits.IdleTimeout, limits.HandshakeTimeout = slowLinkTimeout, slowLinkTimeout
	return limits
}

// Options configures a Host.
type Options struct {
	Settings *settings.FleetSettings
	Secret   []byte // shared secret of peers; empty on an open network
	Registry *prometheus.Registry
	// NewGrantCaller returns what sends the leader's calls to backend servers that take grants by calls. If it
	// is nil, such servers receive no keys.
	NewGrantCaller func() GrantCaller
	// PeerGuard bounds the connections of peers. It may be nil.
	PeerGuard *clientconn.Guard
}

// Host is a control host.
type Host struct {
	settings        *settings.FleetSettings
	name            string // address of the peer listener, IP:port
	state           *fleetState
	metrics         *metrics
	server          *peer.Server
	peers           *peers
	runner          *group.Runner
	voters          atomic.Value  // []string, addresses of the voters; set by membershipLoop
	joiningSince    atomic.Int64  // clock.Now when the host was started or lost its vote
	logFailed       atomic.Bool   // whether the replicated log had failed in the last call to observeVoters
	voting          atomic.Bool   // whether this host was a voter in the last call to observeVoters
	publishRequests chan struct{} // signals publishLoop that the table may have changed
	grantWake       chan struct{} // signals grantLoop that calls may be due
	newCaller       func() GrantCaller
	pauses          pause.Detector
	cancel          context.CancelFunc
	loops           sync.WaitGroup

	// mu guards the fields below.
	mu          sync.Mutex
	leading     *leadership // nil on a follower
	subscribers map[*peer.Conn]*subscriber

	keyEvents trace.History[trace.KeyEvent] // recorded while this host was the leader
}

// New creates a host and opens its peer listener. Call Start to run it.
func New(o Options) (*Host, error) {
	h := &Host{
		settings:        o.Settings,
		name:            PeerAddress(o.Settings.Ip, o.Settings.PeerPort),
		publishRequests: make(chan struct{}, 1),
		grantWake:       make(chan struct{}, 1),
		newCaller:       o.NewGrantCaller,
		subscribers:     map[*peer.Conn]*subscriber{},
	}
	h.state = &fleetState{onChange: h.requestPublish}
	var err error
	if h.metrics, err = newMetrics(o.Registry); err != nil {
		return nil, err
	}
	peerMetrics := peer.NewMetrics(o.Registry)
	h.peers = newPeers(h.identity(), o.Secret, peerMetrics)
	h.server, err = peer.NewServer(peer.ServerOptions{
		Listen:  h.name,
		Self:    h.identity(),
		Secret:  o.Secret,
		Handler: &handler{host: h},
		Limits:  GatewayLimits(),
		Workers: callWorkers,
		Metrics: peerMetrics,
		Guard:   o.PeerGuard,
	})
	return h, errors.Wrap(err, "peer listener")
}

// PeerAddress returns the address of a host's peer listener, which is also the name of a control
// host.
func PeerAddress(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// SeedAddresses returns the peer addresses of seeds given as IP:port. Invalid seeds are skipped.
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

// Start starts the replicated log, the peer listener and the background loops.
func (h *Host) Start() error {
	h.joiningSince.Store(int64(clock.Now()))
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
	h.loops.Go(func() { h.pauses.Watch(ctx) })
	h.loops.Go(func() { h.membershipLoop(ctx) })
	h.loops.Go(func() { h.publishLoop(ctx) })
	if h.newCaller == nil {
		return nil
	}
	pool, err := newGrantPool()
	if err != nil {
		return err
	}
	h.loops.Go(func() { h.grantLoop(ctx, pool) })
	return nil
}

// startRunner opens the group member stored on the local disk. If the disk is empty, a bootstrap
// member gets an ID derived from its address, and any other member a random ID.
func (h *Host) startRunner() (*group.Runner, error) {
	options := group.Options{
		Name:            groupName,
		HostName:        h.name,
		Dir:             filepath.Join(h.settings.DataDir, groupName),
		Election:        clock.Milliseconds(h.settings.ElectionMs),
		Heartbeat:       clock.Milliseconds(h.settings.RaftHeartbeatMs),
		QuorumTimeout:   quorumTimeoutElections * clock.Milliseconds(h.settings.ElectionMs),
		SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, MaxInflightBytes: maxInflightBytes,
		Seed:          rand.Uint64(),
		Applier:       h.state,
		Transport:     h,
		OnLeader:      h.onLeader,
		OnVoters:      h.observeVoters,
		OnChange:      h.logMemberChange,
		Voters:        h.voterPolicy(),
		ElectionDelay: h.electionDelay,
		OnSlowWrite:   h.logSlowWrite,
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

// electionDelayRoundTrips is the additional delay before a host stands for election, in round trips
// to its nearest quorum. It favors leaders close to a quorum: there the log commits fastest and
// suffers least from a saturated link between regions.
const electionDelayRoundTrips = 8

// electionDelay returns the additional time that this host waits before it stands for election.
func (h *Host) electionDelay() time.Duration {
	maxDelay := clock.Milliseconds(h.settings.ElectionMs)
	voters, _ := h.voters.Load().([]string)
	return min(electionDelayRoundTrips*h.peers.quorumRoundTrip(h.name, voters, maxDelay), maxDelay)
}

// bootstrapMembers returns the initial members, or nil if this host must not bootstrap the group.
func (h *Host) bootstrapMembers() []replog.Member {
	if !h.settings.Bootstrap {
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

// memberID returns the ID of a bootstrap member.
func memberID(address string) uint64 { return xxhash.Sum64String(groupName + "/" + address) }

// Stop transfers leadership, if held, and stops the host.
func (h *Host) Stop(ctx context.Context) error {
	log.WithField("host", h.name).Info("control host stops")
	h.cancel()
	h.runner.Stop(ctx)
	h.endGrantCalls()
	err := h.server.Stop(ctx)
	h.peers.close()
	h.loops.Wait()
	return err
}

// Send implements group.Transport.
func (h *Host) Send(name string, to replog.Member, messages []replog.Message) {
	if to.Name == "" {
		return // the address becomes known with the member's next message
	}
	body, err := groupcall.EncodeRaft(name, messages)
	if err != nil {
		log.WithError(err).Error("encoding messages of the replicated log failed")
		return
	}
	// The replicated log retransmits lost messages.
	_ = h.peers.client(to.Name).Notify(wire.KindRaft, body)
}

// requestPublish wakes publishLoop. It never blocks: a pending request covers this one.
func (h *Host) requestPublish() {
	select {
	case h.publishRequests <- struct{}{}:
	default:
	}
}
