package main

import (
	"context"
	"errors"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	clockStep     = 2 * time.Second // by which the clock of the upstream's machine is ahead at its first start
	firstLife     = time.Second
	downTime      = 500 * time.Millisecond
	beforeDrain   = 1500 * time.Millisecond // from the second start on
	servedAfter   = 9 * time.Second         // for which the upstream serves on after the acknowledgement
	clientPause   = 50 * time.Millisecond
	clientPatient = time.Second
)

// playDrain: one of eight upstreams starts, crashes, and starts again under its ID and address. Its machine's clock is ahead at the first
// start and has jumped back at the second. Then it drains, and a control host acknowledges that.
func playDrain(s *scene) error {
	near, far := s.upstream("i-near", plainService, "zone-a"), s.farUpstreams(7)
	if err := s.open(far...); err != nil {
		return err
	}
	var acknowledged moment
	near.onRun = func(attempt string) { s.checkDrained(near, attempt, acknowledged.get()) }
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for i := range gatewayHosts {
		clients.Go(func() { s.askForStock(ctx, i) })
	}
	step := time.Duration(0)
	if s.trouble {
		step = clockStep
	}
	if err := near.start(s.upstreamAddress(len(far)), now()+step.Milliseconds()); err != nil {
		return err
	}
	time.Sleep(firstLife)
	address := near.address()
	near.crash()
	time.Sleep(downTime)
	if err := near.start(address, now()); err != nil {
		return err
	}
	time.Sleep(beforeDrain)
	near.setState("draining")
	if _, ok := near.beat(ctx); !ok {
		return errors.New("no control host acknowledged the heartbeat in state draining")
	}
	acknowledged.set(time.Now())
	s.rec.logf("i-near says draining, acknowledged with %s", near.lastReply())
	time.Sleep(servedAfter)
	return s.checkProcesses()
}

// moment is a time that is set once.
type moment struct {
	mu sync.Mutex // guards at
	at time.Time
}

func (m *moment) set(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = at
}

func (m *moment) get() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

// checkDrained reports a request that reaches an upstream after the end of its drain time.
func (s *scene) checkDrained(u *upstream, attempt string, acknowledged time.Time) {
	if acknowledged.IsZero() {
		s.rec.logf("%s runs %s", u.id, attempt)
		return
	}
	after := time.Since(acknowledged).Round(time.Millisecond)
	s.rec.logf("%s runs %s, %v after the acknowledgement", u.id, attempt, after)
	if after > drainMillis*time.Millisecond {
		s.rec.breakf("DRAIN: %s reaches %s %v after the acknowledgement of its draining, drainMs is %d", attempt, u.id, after, drainMillis)
	}
}

// askForStock sends requests without a key through a gateway.
func (s *scene) askForStock(ctx context.Context, gateway int) {
	for ctx.Err() == nil {
		o := ask(s.frontAddress(gateway), "GET", shopHost, "/stock/x", -1, "", clientPatient)
		s.rec.logf("client: %s answered %d %s", o.id, o.status, o.text)
		time.Sleep(clientPause)
	}
}
