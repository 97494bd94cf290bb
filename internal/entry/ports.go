// Package entry implements the entry host. It accepts callers' requests over HTTP, routes each to the
// backend server that owns its key, and accepts the announcements of backend servers. It depends on
// the rest of the system only through the interfaces in ports.go.
package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

// Errors of Table.Route. With each of them, nothing was sent.
var (
	// ErrUnknownService means that no backend server has ever announced the service.
	ErrUnknownService = errors.New("unknown service")
	// ErrNoOwner means that the key's slot currently has no owner; it may have one after the next
	// Table.Changed.
	ErrNoOwner = errors.New("the key has no owner at present")
	// ErrViewExpired means that the owner does not check fencing tokens and the lease of this host's
	// own session has expired, so that the host must not send to that owner.
	ErrViewExpired = errors.New("this host's session lease is over")
)

// Server is a backend server in the routing table.
type Server struct {
	Session     uint64 // session id, unique within the group
	Group       string // log group that holds the session
	Name        string
	Service     string
	Address     string // IP:port
	Region      string
	Domain      string
	Slots       int  // requests that the server runs concurrently
	Connections int  // open connections that the server accepts
	Fencing     bool // checks fencing tokens
	Draining    bool
	// JoinedAt is when this host first saw the session, used to ramp up traffic to a new server. It is
	// zero for servers that joined before this host.
	JoinedAt time.Time
}

// Route is the owner of a key's slot.
type Route struct {
	Slot   int
	Token  uint64 // fencing token of the grant
	Server Server
	// Writable reports whether a request may be written to the server now. It must be called
	// immediately before the first byte is written.
	Writable func() bool
	// AttemptEnded must be called once for each attempt sent by this route. The request may still run
	// at the server until the given time; the zero time means that it certainly no longer runs.
	AttemptEnded func(until time.Time)
}

// Table provides routes from the routing tables of all groups. It is safe for concurrent use.
type Table interface {
	// IsKeyed reports whether the service is partitioned by key. It fails with
	// ErrUnknownService.
	IsKeyed(name string) (keyed bool, err error)
	// Home returns the group and slot of a key, even while it has no owner. It fails with
	// ErrUnknownService, or with ErrNoOwner if the slot has no home yet.
	Home(service, key string) (group string, slot int, err error)
	// Route returns the owner of a key. It fails with ErrUnknownService, ErrNoOwner or ErrViewExpired.
	Route(service, key string) (Route, error)
	// Servers returns the servers of a service that accept new requests.
	Servers(service string) []Server
	// Changed returns a channel that is closed at the next change of any table.
	Changed() <-chan struct{}
}

// RunLedger is the client of the run ledgers, which the home groups of the slots hold.
type RunLedger interface {
	// Begin records a request durably before it is sent. After an error the record may or may not
	// exist, and the request must not be sent.
	Begin(ctx context.Context, group string, begin wire.RunBegin) (wire.RunReply, error)
	// Finish records how a request ended. After an error the record may still be in the running state.
	Finish(ctx context.Context, group string, finish wire.RunFinish) (wire.RunReply, error)
}

// Errors of Limits.Admit. With each of them, nothing was sent.
var (
	// ErrAllowanceSpent means that the customer's allowance is used up for now.
	ErrAllowanceSpent = errors.New("the customer's allowance is spent")
	// ErrNoPlan means that no plan is known for the customer.
	ErrNoPlan = errors.New("the customer is in no plan")
	// ErrNotAllowed means that the customer's plan does not allow the service.
	ErrNotAllowed = errors.New("the customer's plan does not allow the service")
	// ErrNoShare means that this host currently has no share of the allowance: the control hosts have
	// not assigned one yet, or can't be reached.
	ErrNoShare = errors.New("this host has no share of the customer's allowance at present")
)

// Limits enforces plans and allowances across all entry hosts.
type Limits interface {
	// Admit charges one request to a customer's allowance. It fails with ErrAllowanceSpent, ErrNoPlan,
	// ErrNotAllowed or ErrNoShare, and then returns the time after which to retry, or 0 if a retry
	// won't help.
	Admit(customer, service string) (retryAfter time.Duration, err error)
}

// Sessions manages the sessions of backend servers.
type Sessions interface {
	// Announce registers a server or renews its session.
	Announce(ctx context.Context, announcement wire.Announcement) (wire.AnnouncementReply, error)
	// Grants returns a session's grants as soon as their version is greater than after, or when wait
	// has passed.
	Grants(ctx context.Context, name string, session, after uint64, wait time.Duration) (wire.Grants, error)
}

// Observer receives the entry host's observations of backend servers.
type Observer interface {
	// Answered reports a response and its latency. The latency is 0 for a refusal for overload.
	Answered(server Server, latency time.Duration)
	// TimedOut reports a request that got no response within its deadline.
	TimedOut(server Server)
	// ConnectionFailed reports a connection that was refused or broken.
	ConnectionFailed(server Server)
	// Routed reports one attempt to send a request for a key.
	Routed(service string, slot int, key string)
}
