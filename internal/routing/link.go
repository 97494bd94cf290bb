package routing

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/groupcall"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/membership"
)

// Times of the link.
const (
	renewInterval = 100 * time.Millisecond // between renewals of this host's sessions
	renewTimeout  = time.Second            // longest wait for an answer to a renewal
	watchInterval = 100 * time.Millisecond // between looks at the subscriptions
	staleAfter    = 500 * time.Millisecond // time behind the leader after which a table is watched elsewhere
)

// Options of a Link.
type Options struct {
	Settings    *settings.EntrySettings
	PeerSecret  []byte
	Incarnation string // unique to this start of the process
	Metrics     *peer.Metrics
}

// Link is an entry host's connection to the control hosts.
//
// Lock order: Link.mu, Limits.mu, Observer.mu, Table.mu; none is held over a call.
type Link struct {
	options  Options
	started  time.Time
	hosts    []membership.Host
	plan     []membership.Group
	regions  []string
	clients  map[string]*peer.Client
	caller   *groupcall.Caller
	table    *Table
	limits   *Limits
	observer *Observer
	probe    func(entry.Server) // set before Start

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	watches map[string]*subscription // guarded by mu; by group
}

// subscription is where a group's table is watched.
type subscription struct {
	candidates []string // control hosts with the table, nearest first
	at         int      // index of the host watched
	placed     bool     // whether the host was asked
	behind     time.Duration
}

// New returns a link. Start starts it.
func New(options Options) *Link {
	l := &Link{options: options, started: time.Now(), clients: map[string]*peer.Client{}, watches: map[string]*subscription{}}
	for _, control := range options.Settings.Controls {
		l.hosts = append(l.hosts, membership.Host{Name: control.Name, Region: control.Region, Domain: control.Domain})
	}
	l.plan = membership.Plan(l.hosts)
	l.regions = membership.Regions(l.hosts)
	l.table = newTable(l.regions, l.now)
	l.observer = newObserver(l.table)
	l.limits = newLimits(l.now)
	for _, group := range l.plan {
		l.watches[group.Name] = &subscription{candidates: l.nearest(group.Replicas())}
	}
	return l
}

// Table returns the routing table.
func (l *Link) Table() *Table { return l.table }

// Limits returns this host's shares of allowances.
func (l *Link) Limits() *Limits { return l.limits }

// Observer returns the collector of what this host sees.
func (l *Link) Observer() *Observer { return l.observer }

// ProbeWith sets what probes the servers that the control hosts ask about. It is
// called before Start.
func (l *Link) ProbeWith(probe func(entry.Server)) { l.probe = probe }

// HasTables reports whether the tables that requests of this host's own region need
// have come.
func (l *Link) HasTables() bool { return l.table.complete(wire.GroupGlobal, l.homeGroup()) }

// now is the host's monotonic clock.
func (l *Link) now() time.Duration { return time.Since(l.started) }

// nearest orders control hosts by their distance from this host.
func (l *Link) nearest(names []string) []string {
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

// Start opens the connections and starts the renewals.
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
	l.caller = groupcall.New(targets, l.nearest(names))
	l.every(ctx, watchInterval, nil, l.followTables)
	for _, region := range l.regions {
		l.every(ctx, renewInterval, l.limits.kicks(region == l.homeGroup()), func() { l.renew(ctx, region) })
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
			l.forgetWatches(control.Name)
		},
		Seed:    rand.Uint64(),
		Metrics: l.options.Metrics,
	})
}

// every calls work at an interval, and at once when kicked.
func (l *Link) every(ctx context.Context, interval time.Duration, kick <-chan struct{}, work func()) {
	l.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-kick:
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

// receiver takes the control hosts' pushes.
type receiver struct{ link *Link }

// Call refuses calls: control hosts make none.
func (r *receiver) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) {
	return nil, &peer.Error{Code: wire.CodeInvalid, Detail: "entry hosts take no calls"}
}

// Notify takes table updates.
func (r *receiver) Notify(from *peer.Conn, kind int, body []byte) {
	if kind != wire.KindTable {
		return
	}
	var update wire.TableUpdate
	if err := cbor.Unmarshal(body, &update); err != nil {
		log.WithError(err).Warn("invalid table update dropped")
		return
	}
	if !r.link.watchedAt(update.Group, from.Identity().Name) {
		return
	}
	if !r.link.table.update(update) {
		r.link.rewatch(update.Group)
	}
}

// Closed does nothing: the subscriptions are looked at again and again.
func (r *receiver) Closed(*peer.Conn) {}

func (l *Link) watchedAt(group, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	watch, ok := l.watches[group]
	return ok && watch.candidates[watch.at] == host
}

// forgetWatches marks the subscriptions at a host as lost with its connection.
func (l *Link) forgetWatches(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, watch := range l.watches {
		if watch.candidates[watch.at] == host {
			watch.placed = false
		}
	}
}

// rewatch asks for a group's whole table.
func (l *Link) rewatch(group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	watch := l.watches[group]
	watch.placed = l.ask(group, watch.candidates[watch.at], 0)
}

// followTables places each subscription at the nearest connected host.
func (l *Link) followTables() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for group, watch := range l.watches {
		l.follow(group, watch)
	}
}

// follow keeps one subscription. The caller holds mu.
func (l *Link) follow(group string, watch *subscription) {
	connected := l.clients[watch.candidates[watch.at]].Connected()
	stale := watch.behind != 0 && l.now()-watch.behind > staleAfter
	if connected && watch.placed && !stale {
		return
	}
	if !connected || stale {
		watch.at = (watch.at + 1) % len(watch.candidates)
		watch.behind = 0
	}
	watch.placed = l.ask(group, watch.candidates[watch.at], l.table.version(group))
}

func (l *Link) ask(group, host string, version uint64) bool {
	body, err := cbor.Marshal(wire.Watch{Group: group, Version: version})
	if err != nil {
		return false
	}
	return l.clients[host].Notify(wire.KindWatch, body) == nil
}

// noteVersion compares a table with the leader's version.
func (l *Link) noteVersion(group string, leader uint64) {
	held := l.table.version(group)
	l.mu.Lock()
	defer l.mu.Unlock()
	watch := l.watches[group]
	switch {
	case held >= leader:
		watch.behind = 0
	case watch.behind == 0:
		watch.behind = l.now()
	}
}

// homeGroup returns the group that serves this host's region.
func (l *Link) homeGroup() string {
	return membership.GroupOf(l.hosts, l.options.Settings.Region)
}

// renew renews this host's session with a region's leader, and reports what it
// saw of the region's servers.
func (l *Link) renew(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := l.now()
	request := wire.Renewal{
		Group:       group,
		Name:        l.options.Settings.Name,
		Incarnation: l.options.Incarnation,
		Region:      l.options.Settings.Region,
		Domain:      l.options.Settings.Domain,
		Version:     l.table.version(group),
		Confirmed:   l.table.confirm(group),
	}
	request.Evidence, request.Loads = l.observer.take(sentAt, group)
	request.KeyLoads = l.observer.takeKeys(sentAt, group)
	var sent []sentShare
	if group == l.homeGroup() {
		sent = l.limits.prepare(sentAt)
		request.Shares = wireShares(sent)
	}
	var reply wire.RenewalReply
	if err := l.caller.Call(ctx, group, wire.KindRenew, request, &reply); err != nil {
		log.WithError(err).WithField("group", group).Debug("session not renewed")
		return
	}
	if reply.LeaseMillis > 0 {
		l.table.renewed(group, sentAt, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	l.noteVersion(group, reply.Version)
	l.limits.accept(l.now(), sent, reply.Shares)
	l.probeWanted(group, reply.Probes)
}

// probeWanted probes the servers that a region's leader asks about.
func (l *Link) probeWanted(group string, sessions []uint64) {
	if l.probe == nil {
		return
	}
	for _, session := range sessions {
		if server, ok := l.table.session(group, session); ok {
			l.probe(server)
		}
	}
}

// Announce registers a backend server or renews its session.
func (l *Link) Announce(ctx context.Context, a wire.Announcement) (wire.AnnouncementReply, error) {
	var reply wire.AnnouncementReply
	err := l.caller.Call(ctx, membership.GroupOf(l.hosts, a.Region), wire.KindAnnounce, a, &reply)
	return reply, err
}

// Grants returns a session's grants once they have changed after a version, or when
// wait has passed.
func (l *Link) Grants(ctx context.Context, name string, session, after uint64, wait time.Duration) (wire.Grants, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changed := l.table.Changed()
		group, ok := l.table.groupOf(name, session)
		if ok && l.table.grantsVersion(group, session) > after {
			return l.table.grants(group, name, session), nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return l.table.grants(cmp.Or(group, l.homeGroup()), name, session), nil
		case <-ctx.Done():
			return wire.Grants{}, errors.Wrap(ctx.Err(), "wait for grants")
		}
	}
}

// Begin records a request in the run ledger of its slot's home group.
func (l *Link) Begin(ctx context.Context, group string, begin wire.RunBegin) (wire.RunReply, error) {
	begin.Group = group
	var reply wire.RunReply
	err := l.caller.Call(ctx, group, wire.KindRunBegin, begin, &reply)
	return reply, err
}

// Finish records how a request ended.
func (l *Link) Finish(ctx context.Context, group string, finish wire.RunFinish) (wire.RunReply, error) {
	finish.Group = group
	var reply wire.RunReply
	err := l.caller.Call(ctx, group, wire.KindRunFinish, finish, &reply)
	return reply, err
}
