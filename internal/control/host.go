// Package control implements the control host: its members of the replicated log groups, the
// tasks of group leaders, the calls of entry hosts and other control hosts, and the admin HTTP
// interface.
package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/groupcall"
	"github.com/galenalug/galenalug/internal/hostlimits"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/membership"
	"github.com/galenalug/galenalug/replog"
)

// rampUp is the time after which a new backend server counts with its full capacity in placement.
const rampUp = 10 * time.Second

// Options configures a Host.
type Options struct {
	Settings       *settings.ControlSettings
	PeerSecret     []byte
	OperatorSecret []byte
	Registry       *prometheus.Registry
	// Dial opens connections to other control hosts; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Host is one control host.
type Host struct {
	options  Options
	settings *settings.ControlSettings
	started  time.Time
	plan     []membership.Group
	hosts    []membership.Host

	peers   *peer.Metrics
	server  *peer.Server
	admin   *adminServer
	clients map[string]*peer.Client
	caller  *groupcall.Caller
	global  *globalGroup
	regions map[string]*regionGroup
	runners map[string]*group.Runner

	lock *dataLock

	connections *clientconn.Metrics // nil without a registry
	cancel      context.CancelFunc
	done        sync.WaitGroup
}

// New creates a host and opens its peer listener. Call Start to run the host.
func New(options Options) (*Host, error) {
	h := newHost(options)
	h.registerMetrics()
	var err error
	if options.Registry != nil {
		if h.connections, err = clientconn.NewMetrics(options.Registry, nil); err != nil {
			return nil, err
		}
	}
	limits := hostlimits.Read(options.Settings.MemoryMb, options.Settings.MaxDescriptors)
	h.server, err = peer.NewServer(peer.ServerOptions{
		Listen:  options.Settings.PeerListen,
		Self:    h.identity(),
		Secret:  options.PeerSecret,
		Handler: &handler{host: h},
		Workers: options.Settings.Workers,
		Metrics: h.peers,
		Guard:   clientconn.New(clientconn.Options{Name: "peers", Max: limits.Peers(), Metrics: h.connections}),
	})
	return h, errors.Wrap(err, "peer listener")
}

func newHost(options Options) *Host {
	h := &Host{
		options:  options,
		settings: options.Settings,
		started:  time.Now(),
		clients:  map[string]*peer.Client{},
		regions:  map[string]*regionGroup{},
		runners:  map[string]*group.Runner{},
	}
	for _, control := range options.Settings.Controls {
		h.hosts = append(h.hosts, membership.Host{Name: control.Name, Region: control.Region, Domain: control.Domain})
	}
	h.plan = membership.Plan(h.hosts)
	return h
}

func (h *Host) identity() peer.Identity {
	return peer.Identity{Name: h.settings.Name, Role: peer.RoleControl}
}

// now returns the monotonic time since the host was created.
func (h *Host) now() time.Duration { return time.Since(h.started) }

func (h *Host) globalTask(ctx context.Context) {
	if err := h.global.tick(ctx); err != nil && ctx.Err() == nil {
		log.WithError(err).Warn("global leader task failed")
	}
}

func (h *Host) regionTask(ctx context.Context, g *regionGroup) {
	if !g.ensureLeadership(ctx) {
		return
	}
	err := g.tick(ctx, h.global.state.homes())
	if err != nil && !errors.Is(err, errNotLeading) && ctx.Err() == nil {
		log.WithError(err).WithField("group", g.name).Warn("region leader task failed")
	}
}

// Stop transfers leadership to other hosts where possible and stops the host.
func (h *Host) Stop(ctx context.Context) error {
	if h.cancel != nil {
		h.cancel()
	}
	for _, runner := range h.runners {
		runner.Stop(ctx)
	}
	err := h.server.Stop(ctx)
	if h.admin != nil {
		h.admin.stop(ctx)
	}
	h.done.Wait()
	for _, client := range h.clients {
		client.Close()
	}
	h.lock.release()
	return err
}

// Send sends log messages of a group to another member.
func (h *Host) Send(groupName string, to replog.Member, messages []replog.Message) {
	client, ok := h.clients[to.Name]
	if !ok {
		return
	}
	body, err := groupcall.EncodeRaft(groupName, messages)
	if err != nil {
		log.WithError(err).Error("cannot encode log messages; they are not sent")
		return
	}
	// The replicated log resends lost messages.
	_ = client.Notify(wire.KindRaft, body)
}
