// Package entry is the entry host: it takes callers' requests over HTTP, routes
// each to the backend server that owns its key, and takes backend servers'
// announcements. What it knows of the rest of the system comes through the
// interfaces in ports.go.
package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

// Errors of Table.Route. Each means that nothing was sent.
var (
	// ErrUnknownService means that no backend server ever announced the service.
	ErrUnknownService = errors.New("unknown service")
	// ErrNoOwner means that the key's slot has no owner at present; a wait for
	// Table.Changed may bring one.
	ErrNoOwner = errors.New("the key has no owner at present")
	// ErrViewExpired means that this host may not send to an owner that does not
	// check tokens, because its own session's lease is over.
	ErrViewExpired = errors.New("this host's session lease is over")
)

// Server is one backend server as the routing table shows it.
type Server struct {
	Session     uint64 // session id, unique within the group
	Group       string // log group that holds the session
	Name        string
	Service     string
	Address     string // IP:port
	Region      string
	Domain      string
	Slots       int // requests run at the same time
	Connections int // open connections accepted
	Fencing     bool
	Draining    bool
	// JoinedAt is when this host first saw the session, for ramping up a cold
	// server; zero for servers that were there before this host.
	JoinedAt time.Time
}

// Route is the owner of a key's slot.
type Route struct {
	Slot   int
	Token  uint64 // fencing token of the grant
	Server Server
	// Writable reports whether a request may be written to the server at this
	// moment. It must be called right before the first byte is written.
	Writable func() bool
	// AttemptEnded must be called once for each attempt that was sent by this route. The
	// request may run at the server until the given time; the zero time says that
	// it surely does not run any more.
	AttemptEnded func(until time.Time)
}

// Table answers routing questions from the tables of all groups. It is safe for
// concurrent use.
type Table interface {
	// Service reports whether the service is divided by key. It fails with
	// ErrUnknownService.
	Service(name string) (keyed bool, err error)
	// Home returns the group and slot of a key, also while it has no owner. It
	// fails with ErrUnknownService.
	Home(service, key string) (group string, slot int, err error)
	// Route returns the owner of a key. It fails with ErrUnknownService,
	// ErrNoOwner or ErrViewExpired.
	Route(service, key string) (Route, error)
	// Servers returns the servers of a service that take new requests.
	Servers(service string) []Server
	// Changed returns a channel that is closed at the next change of any table.
	Changed() <-chan struct{}
}

// RunLedger is the run ledger of the slots' home groups.
type RunLedger interface {
	// Begin records a request durably before it is sent. An error means that
	// the record may or may not exist, and that nothing may be sent.
	Begin(ctx context.Context, group string, begin wire.RunBegin) (wire.RunReply, error)
	// Finish records how a request ended. An error leaves it recorded as running.
	Finish(ctx context.Context, group string, finish wire.RunFinish) (wire.RunReply, error)
}

// Errors of Limits.Admit. Each means that nothing was sent.
var (
	// ErrAllowanceSpent means that the customer's allowance is spent for now.
	ErrAllowanceSpent = errors.New("the customer's allowance is spent")
	// ErrNoPlan means that no plan is known for the customer.
	ErrNoPlan = errors.New("the customer is in no plan")
	// ErrNotAllowed means that the customer's plan does not allow the service.
	ErrNotAllowed = errors.New("the customer's plan does not allow the service")
	// ErrNoShare means that this host has no share of the allowance at present:
	// the control hosts gave none yet, or cannot be reached.
	ErrNoShare = errors.New("this host has no share of the customer's allowance at present")
)

// Limits enforces plans and allowances over all entry hosts together.
type Limits interface {
	// Admit takes one request from a customer's allowance. It fails with
	// ErrAllowanceSpent, ErrNoPlan, ErrNotAllowed or ErrNoShare, and then
	// returns the time after which to try again, 0 if that does not help.
	Admit(customer, service string) (retryAfter time.Duration, err error)
}

// Sessions keeps backend servers' sessions.
type Sessions interface {
	// Announce registers a server or renews its session.
	Announce(ctx context.Context, announcement wire.Announcement) (wire.AnnouncementReply, error)
	// Grants returns a session's grants once their version is later than after,
	// or when wait has passed.
	Grants(ctx context.Context, name string, session, after uint64, wait time.Duration) (wire.Grants, error)
}

// Observer takes what the entry host sees of backend servers.
type Observer interface {
	// Answered reports an answer and its latency.
	Answered(server Server, latency time.Duration)
	// TimedOut reports a request without an answer within its deadline.
	TimedOut(server Server)
	// ConnectionFailed reports a connection that was refused or broke.
	ConnectionFailed(server Server)
	// Routed reports one request for a key.
	Routed(service string, slot int, key string)
}
