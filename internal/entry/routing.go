package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
)

const (
	// maxOwnerWaiters bounds the requests that concurrently wait for a routing table change.
	maxOwnerWaiters = 1024
	// minOwnerRetryDelay and maxOwnerRetryDelay bound the wait for a new grant before the grant that
	// the server refused is retried. The wait doubles with each attempt.
	minOwnerRetryDelay = 5 * time.Millisecond
	maxOwnerRetryDelay = 80 * time.Millisecond
)

// destination is the server that the next attempt is sent to, and the grant that it is sent under.
type destination struct {
	server          Server
	chosenByChooser bool // by h.choosers, which must be told when the attempt ends
	keyed           bool
	slot            int
	token           uint64
	writable        func() bool
	onAttemptEnd    func(until time.Time) // nil for services without keys
}

func (d destination) target() forward.Target {
	return forward.Target{
		Group:       d.server.Group,
		Session:     d.server.Session,
		Address:     d.server.Address,
		Connections: d.server.Connections,
	}
}

// attemptEnded reports an attempt's end to the table; see Route.AttemptEnded.
func (d destination) attemptEnded(until time.Time) {
	if d.onAttemptEnd != nil {
		d.onAttemptEnd(until)
	}
}

// sameGrant reports whether two destinations are the same server under the same grant.
func (d destination) sameGrant(other destination) bool {
	return sessionKeyOf(d.server) == sessionKeyOf(other.server) && d.token == other.token
}

// route returns the destination of the next attempt. For a service that is partitioned by key, it
// waits while the key has no owner. If r.refusedBy is set, it waits for a different grant, or until
// r.retryAt if the same grant may be retried.
func (h *Host) route(ctx context.Context, r *pendingRequest) (destination, *refusal) {
	if !r.keyed {
		return h.choose(r)
	}
	for {
		changed := h.table.Changed()
		found, failure := h.owner(r)
		if failure == nil && (r.refusedBy == nil || !found.sameGrant(*r.refusedBy)) {
			return found, nil
		}
		if failure != nil && failure.status != 503 {
			return destination{}, failure
		}
		var retryAt time.Time
		if r.refusedBy != nil && r.retrySameGrant {
			retryAt = r.retryAt
		}
		if failure := h.waitForTable(ctx, changed, retryAt); failure != nil {
			return destination{}, failure
		}
		if !retryAt.IsZero() && !time.Now().Before(retryAt) {
			r.refusedBy = nil
		}
	}
}

func (h *Host) owner(r *pendingRequest) (destination, *refusal) {
	route, err := h.table.Route(r.in.service, r.in.key)
	if err != nil {
		return destination{}, routeRefusal(err)
	}
	return destination{server: route.Server, keyed: true, slot: route.Slot, token: route.Token, writable: route.Writable, onAttemptEnd: route.AttemptEnded}, nil
}

func routeRefusal(err error) *refusal {
	if errors.Is(err, ErrUnknownService) {
		return refuseNotRun(404, reasonUnknownService, "no backend server announced the service")
	}
	return refuseNotRun(503, reasonNoOwner, "%v", err)
}

// ownerRetryDelay returns the wait before a refused grant is retried.
func ownerRetryDelay(attempts int) time.Duration {
	delay := minOwnerRetryDelay
	for range attempts - 1 {
		delay = min(2*delay, maxOwnerRetryDelay)
	}
	return delay
}

// waitForTable waits for a routing table change or until the given time, whichever is first. The zero
// time means to wait for a change only.
func (h *Host) waitForTable(ctx context.Context, changed <-chan struct{}, until time.Time) *refusal {
	if h.ownerWaiters.Add(1) > maxOwnerWaiters {
		h.ownerWaiters.Add(-1)
		return refuseNotRun(503, reasonWaiters, "too many requests wait for an owner")
	}
	defer h.ownerWaiters.Add(-1)
	var retryTimer <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		retryTimer = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-retryTimer:
		return nil
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it unwrapped
			return refuseNotRun(503, reasonNoOwner, "the key got no owner before the deadline")
		}
		return contextRefusal(ctx)
	}
}

// choose selects a server of a service that is not partitioned by key, preferring servers that this
// request has not been sent to yet.
func (h *Host) choose(r *pendingRequest) (destination, *refusal) {
	servers := h.table.Servers(r.in.service)
	if r.in.upload.Step != wire.UploadNone {
		return h.routeUpload(r, servers)
	}
	untried := make([]Server, 0, len(servers))
	for _, server := range servers {
		if !r.triedSessions[sessionKeyOf(server)] {
			untried = append(untried, server)
		}
	}
	if len(untried) == 0 {
		untried = servers
	}
	index := h.choosers.choose(h.now(), r.in, untried)
	if index < 0 {
		return destination{}, refuseNotRun(503, reasonNoServer, "no backend server takes requests of the service")
	}
	return destination{server: untried[index], chosenByChooser: true}, nil
}

// routeUpload returns the server that holds the parts of a batch. No other server has them.
func (h *Host) routeUpload(r *pendingRequest, servers []Server) (destination, *refusal) {
	index := chooseUploadServer(servers, r.in)
	if index < 0 {
		return destination{}, refuseNotRun(503, reasonNoServer, "no backend server takes requests of the service")
	}
	r.in.uploadServer = servers[index].Name
	return destination{server: servers[index]}, nil
}
