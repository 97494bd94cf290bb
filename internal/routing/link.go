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

// subscription is the subscription to a group's table at one of the control hosts that replicate it.
type subscription struct {
	candidates  []string      // control hosts that replicate the table, nearest first
	current     int           // index of the host that sends the updates
	subscribed  bool          // whether the subscription was sent to that host
	behindSince time.Duration // when the table was first seen behind the leader's; 0 if it is not
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

// receiver handles messages from the control hosts.
type receiver struct{ link *Link }

// Call rejects calls, because control hosts make none.
func (r *receiver) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) {
	return nil, &peer.Error{Code: wire.CodeInvalid, Detail: "entry hosts take no calls"}
}

// Notify handles table updates. It ignores those of a host to which this host is not subscribed.
func (r *receiver) Notify(from *peer.Conn, kind int, body []byte) {
	if kind != wire.KindTable {
		return
	}
	var update wire.TableUpdate
	if err := cbor.Unmarshal(body, &update); err != nil {
		log.WithError(err).Warn("dropped a table update that cannot be decoded")
		return
	}
	if !r.link.isSubscribedTo(update.Group, from.Identity().Name) {
		return
	}
	if !r.link.table.update(update) {
		r.link.resubscribe(update.Group)
	}
}

// Closed does nothing, because checkSubscriptions detects closed connections.
func (r *receiver) Closed(*peer.Conn) {}

func (l *Link) isSubscribedTo(group, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub, ok := l.subscriptions[group]
	return ok && sub.candidates[sub.current] == host
}

// markUnsubscribed marks the subscriptions at a host as lost. It is called when a new connection to the
// host is established, because subscriptions end with the connection that carried them.
func (l *Link) markUnsubscribed(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sub := range l.subscriptions {
		if sub.candidates[sub.current] == host {
			sub.subscribed = false
		}
	}
}

// resubscribe subscribes to a group's table again from version 0, which requests the full table.
func (l *Link) resubscribe(group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub := l.subscriptions[group]
	sub.subscribed = l.subscribe(group, sub.candidates[sub.current], 0)
}

// checkSubscriptions renews the subscriptions that were lost, and moves those whose host is
// disconnected or lags behind the leader.
func (l *Link) checkSubscriptions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for group, sub := range l.subscriptions {
		l.checkSubscription(group, sub)
	}
}

// checkSubscription checks one subscription. The caller holds mu.
func (l *Link) checkSubscription(group string, sub *subscription) {
	connected := l.clients[sub.candidates[sub.current]].Connected()
	stale := sub.behindSince != 0 && l.now()-sub.behindSince > maxStaleness
	if connected && sub.subscribed && !stale {
		return
	}
	if !connected || stale {
		sub.current = (sub.current + 1) % len(sub.candidates)
		sub.behindSince = 0
	}
	sub.subscribed = l.subscribe(group, sub.candidates[sub.current], l.table.version(group))
}

// subscribe requests updates of a group's table after a version. It reports whether the request was
// sent.
func (l *Link) subscribe(group, host string, version uint64) bool {
	body, err := cbor.Marshal(wire.Watch{Group: group, Version: version})
	if err != nil {
		return false
	}
	return l.clients[host].Notify(wire.KindWatch, body) == nil
}

// recordLeaderVersion records whether this host's table is behind the leader's version.
func (l *Link) recordLeaderVersion(group string, leader uint64) {
	held := l.table.version(group)
	l.mu.Lock()
	defer l.mu.Unlock()
	sub := l.subscriptions[group]
	switch {
	case held >= leader:
		sub.behindSince = 0
	case sub.behindSince == 0:
		sub.behindSince = l.now()
	}
}

// homeGroup returns the group that holds the sessions of this host's region.
func (l *Link) homeGroup() string {
	return membership.GroupOf(l.hosts, l.options.Settings.Region)
}

// renew renews this host's session with a region's leader. The renewal also reports on the region's
// servers and, in the home group, renews the shares of allowances.
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
		Confirmed:   l.table.confirmVersion(group),
	}
	request.Evidence, request.Loads = l.observer.take(sentAt, group)
	request.KeyLoads = l.observer.takeKeys(sentAt, group)
	var sent []pendingRenewal
	if group == l.homeGroup() {
		sent = l.limits.prepare(sentAt)
		request.Shares = wireShares(sent)
	}
	var reply wire.RenewalReply
	if err := l.caller.Call(ctx, group, wire.KindRenew, request, &reply); err != nil {
		log.WithError(err).WithField("group", group).Debug("session renewal failed")
		return
	}
	if reply.LeaseMillis > 0 {
		l.table.renewLease(group, sentAt, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	l.recordLeaderVersion(group, reply.Version)
	l.limits.accept(l.now(), sent, reply.Shares)
	l.probeRequested(group, reply.Probes)
}

// probeRequested probes the servers for which a region's leader requests a probe.
func (l *Link) probeRequested(group string, sessions []uint64) {
	if l.probe == nil {
		return
	}
	for _, session := range sessions {
		if server, ok := l.table.serverBySession(group, session); ok {
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

// Grants returns a session's grants as soon as their version is greater than after, or when wait has
// passed.
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

// Begin records the start of a run in the ledger of the home group of its slot.
func (l *Link) Begin(ctx context.Context, group string, begin wire.RunBegin) (wire.RunReply, error) {
	begin.Group = group
	var reply wire.RunReply
	err := l.caller.Call(ctx, group, wire.KindRunBegin, begin, &reply)
	return reply, err
}

// Finish records the result of a run in the ledger.
func (l *Link) Finish(ctx context.Context, group string, finish wire.RunFinish) (wire.RunReply, error) {
	finish.Group = group
	var reply wire.RunReply
	err := l.caller.Call(ctx, group, wire.KindRunFinish, finish, &reply)
	return reply, err
}
