package routing

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/groupcall"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/membership"
)

// Timing of the connection to the control hosts.
const (
	renewInterval        = 100 * time.Millisecond // between renewals of this host's sessions
	renewTimeout         = time.Second            // longest wait for the reply to a renewal
	subscriptionInterval = 100 * time.Millisecond // between checks of the subscriptions
	maxStaleness         = 500 * time.Millisecond // longest time behind the leader at one host
)

// Options configures a Link.
type Options struct {
	Settings    *settings.EntrySettings
	PeerSecret  []byte
	Incarnation string // unique to each start of the process
	Metrics     *peer.Metrics
}

// Link is an entry host's connection to the control hosts.
//
// Lock order: Link.mu, Limits.mu, Observer.mu, Table.mu. None is held while waiting for a reply from a
// control host.
type Link struct {
	options  Options
	started  time.Time
	hosts    []membership.Host
	plan     []membership.Group // log groups and their replicas
	regions  []string
	clients  map[string]*peer.Client
	caller   *groupcall.Caller
	table    *Table
	limits   *Limits
	observer *Observer
	probe    func(entry.Server) // set before Start

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu            sync.Mutex
	subscriptions map[string]*subscription // by group
}

// New returns a Link that is not connected yet; see Start.
func New(options Options) *Link {
	l := &Link{options: options, started: time.Now(), clients: map[string]*peer.Client{}, subscriptions: map[string]*subscription{}}
	for _, control := range options.Settings.Controls {
		l.hosts = append(l.hosts, membership.Host{Name: control.Name, Region: control.Region, Domain: control.Domain})
	}
	l.plan = membership.Plan(l.hosts)
	l.regions = membership.Regions(l.hosts)
	l.table = newTable(l.regions, l.now)
	l.observer = newObserver(l.table)
	l.limits = newLimits(l.now)
	for _, group := range l.plan {
		l.subscriptions[group.Name] = &subscription{candidates: l.byDistance(group.Replicas())}
	}
	return l
}

// Table returns the routing table.
func (l *Link) Table() *Table { return l.table }

// Limits returns this host's shares of allowances.
func (l *Link) Limits() *Limits { return l.limits }

// Observer returns the collector of evidence on backend servers.
func (l *Link) Observer() *Observer { return l.observer }

// ProbeWith sets the function that probes the servers for which the control hosts request a probe. It
// must be called before Start.
func (l *Link) ProbeWith(probe func(entry.Server)) { l.probe = probe }

// HasTables reports whether the two tables that requests in this host's region need have been
// received: the global table and that of the home group.
func (l *Link) HasTables() bool { return l.table.hasReceived(wire.GroupGlobal, l.homeGroup()) }

// now is the host's monotonic clock.
func (l *Link) now() time.Duration { return time.Since(l.started) }

// byDistance sorts control hosts by distance: this host's failure domain, its region, other regions.
func (l *Link) byDistance(names []string) []string {
	distance := func(name string) int {
		for _, host := range l.hosts {
			switch {
			case host.Name != name:
				continue
			case host.Domain == l.options.Settings.Domain:
				return 0
			case host.Region == l.options.Settings.Region:
				return 1
			}
		}
		return 2
	}
	ordered := slices.Clone(names)
	slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(distance(a), distance(b)) })
	return ordered
}

// Start connects to the control hosts, subscribes to the tables and starts renewing the sessions.
func (l *Link) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	var names []string
	targets := map[string]groupcall.Target{}
	for _, control := range l.options.Settings.Controls {
		client := l.connect(control)
		l.clients[control.Name] = client
		targets[control.Name] = client
		names = append(names, control.Name)
	}
	l.caller = groupcall.New(targets, l.byDistance(names))
	l.runPeriodically(ctx, subscriptionInterval, nil, l.checkSubscriptions)
	for _, region := range l.regions {
		l.runPeriodically(ctx, renewInterval, l.limits.renewRequests(region == l.homeGroup()), func() { l.renew(ctx, region) })
	}
}

func (l *Link) connect(control settings.ControlHost) *peer.Client {
	return peer.NewClient(peer.ClientOptions{
		Address:      control.Address,
		Self:         peer.Identity{Name: l.options.Settings.Name, Role: peer.RoleEntry},
		ExpectedName: control.Name,
		Secret:       l.options.PeerSecret,
		Handler:      &receiver{link: l},
		OnConnect: func() {
			l.markUnsubscribed(control.Name)
		},
		Seed:    rand.Uint64(),
		Metrics: l.options.Metrics,
	})
}

// runPeriodically calls work at an interval, and whenever immediate receives a value, until ctx is done.
func (l *Link) runPeriodically(ctx context.Context, interval time.Duration, immediate <-chan struct{}, work func()) {
	l.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-immediate:
			}
			work()
		}
	})
}

// Stop ends the link.
func (l *Link) Stop() {
	l.cancel()
	l.done.Wait()
	for _, client := range l.clients {
		client.Close()
	}
}

// homeGroup returns the group that holds the sessions of this host's region.
func (l *Link) homeGroup() string {
	return membership.GroupOf(l.hosts, l.options.Settings.Region)
}
