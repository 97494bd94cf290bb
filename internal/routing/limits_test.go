package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/wire"
)

// simulatedLimits runs a host's Limits in simulated time.
type simulatedLimits struct {
	*Limits
	t      *testing.T
	at     time.Duration // current time
	number uint64        // of the last grant
}

func newSimulatedLimits(t *testing.T) *simulatedLimits {
	s := &simulatedLimits{t: t}
	s.Limits = newLimits(func() time.Duration { return s.at })
	return s
}

// recordRequests records requests of a customer without waiting for its share.
func (s *simulatedLimits) recordRequests(customer string, requests int) {
	for range requests {
		s.recordRequest(allowance.Pair{Customer: customer, Service: "orders"})
	}
}

// renew renews the shares that are due and returns their number. All of them get the same reply.
func (s *simulatedLimits) renew(reply wire.Share) int {
	sent := s.prepare(s.at)
	var granted []wire.Share
	for _, share := range wireShares(sent) {
		s.number++
		share.Granted, share.Burst, share.Refusal, share.Number = reply.Granted, reply.Burst, reply.Refusal, s.number
		granted = append(granted, share)
	}
	s.accept(s.at, sent, granted)
	return len(sent)
}

// checkAdmit fails the test unless Admit returns the given error, or none if want is nil.
func (s *simulatedLimits) checkAdmit(customer string, want error) {
	s.t.Helper()
	if _, err := s.Admit(customer, "orders"); !errors.Is(err, want) {
		s.t.Fatalf("at %v, customer %s: got error %v, want %v", s.at, customer, err, want)
	}
}

// TestRefusalsOfLimits checks the error of Admit for each reason to refuse a request: no reply yet, a
// refusal, a share of 0, a spent or expired share, and too many pairs.
func TestRefusalsOfLimits(t *testing.T) {
	s := newSimulatedLimits(t)
	s.checkAdmit("uniform", entry.ErrNoShare) // no reply yet
	s.renew(wire.Share{Refusal: wire.ShareNoPlan})
	s.checkAdmit("uniform", entry.ErrNoPlan)
	s.at += shareInterval
	s.renew(wire.Share{Refusal: wire.ShareNotAllowed})
	s.checkAdmit("uniform", entry.ErrNotAllowed)
	s.at += shareInterval
	s.renew(wire.Share{})
	s.checkAdmit("uniform", entry.ErrNoShare)
	s.at += shareInterval
	s.renew(wire.Share{Granted: 10, Burst: 3})
	s.at += time.Second // refills the burst
	for range 3 {
		s.checkAdmit("uniform", nil)
	}
	s.checkAdmit("uniform", entry.ErrAllowanceSpent)
	s.at += wire.ShareLease
	s.checkAdmit("uniform", entry.ErrNoShare)
	for len(s.pairs) < maxPairs {
		s.recordRequests(fmt.Sprint("other-", len(s.pairs)), 1)
	}
	s.checkAdmit("one too many", entry.ErrNoShare)
}

// TestRenewalsOfShares checks when shares are renewed: new ones at once, others on a rise in demand or
// after shareInterval, many in turns, and idle ones no more.
func TestRenewalsOfShares(t *testing.T) {
	s := newSimulatedLimits(t)
	want := func(got, want int) {
		t.Helper()
		if got != want {
			t.Fatalf("at %v: got %d, want %d", s.at, got, want)
		}
	}
	granted := wire.Share{Granted: 20, Burst: 2}
	s.recordRequests("steady", 1)
	want(len(s.renewNow), 1)
	<-s.renewNow
	want(s.renew(granted), 1)
	s.recordRequests("next", 1)
	want(len(s.renewNow), 0) // within immediateInterval of the last; the next regular renewal covers it
	want(s.renew(granted), 1)
	s.at += renewInterval
	want(s.renew(granted), 0)
	s.recordRequests("steady", 100) // raises its demand above its share
	want(s.renew(granted), 1)
	want(s.renew(granted), 0)
	s.at += shareInterval
	want(s.renew(granted), 2)
	for i := range 100 {
		s.recordRequests(fmt.Sprint("many-", i), 1)
	}
	s.at += shareInterval
	total := 0
	for range 10 {
		total += s.renew(granted)
	}
	want(total, 102)
	s.at += idleTimeout + time.Second
	want(s.renew(granted), 0)
	want(len(s.pairs), 0)
}
