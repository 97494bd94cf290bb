package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["suspect"] = playSuspect }

const (
	longDeadline  = 10 * time.Second        // of the client and the route
	longWork      = 3500 * time.Millisecond // of the request at each upstream
	crashAfter    = 400 * time.Millisecond
	reportTime    = 200 * time.Millisecond // in which the crash is reported
	beginTimeout  = 2 * time.Second
	warmUp        = 2 * time.Second
	warmUpClients = 16
	warmUpPause   = 20 * time.Millisecond
	calmDown      = time.Second
	lateCopies    = 6
	watchDraining = 7 * time.Second
)

// playSuspect: one of eight upstreams crashes while it works on a request. The request is sent once more, and while it runs
// again, other clients ask the same. Meanwhile the upstream that is chosen for them drains, as in each release.
func playSuspect(s *scene) error {
	near := []*upstream{
		s.upstream("i-near-1", plainService, "zone-a"), s.upstream("i-near-2", plainService, "zone-a"), s.upstream("i-near-3", plainService, "zone-a"),
	}
	ups := append(near[:3:3], s.farUpstreams(5)...)
	var acknowledged moment
	began := make(chan *upstream, 1<<16)
	for _, u := range near {
		u.onRun = func(attempt string) {
			s.checkDrained(u, attempt, acknowledged.get())
			began <- u
		}
	}
	if err := s.open(ups...); err != nil {
		return err
	}
	s.askOthers()
	for len(began) > 0 {
		<-began
	}
	for _, u := range ups {
		u.setWork(longWork)
	}
	var clients sync.WaitGroup
	defer clients.Wait()
	askSame := func() {
		clients.Go(func() {
			o := ask(s.frontAddress(0), http.MethodGet, shopHost, "/stock/same", -1, "", longDeadline)
			s.rec.logf("client: %s answered %d %s %v", o.id, o.status, o.text, o.err)
		})
	}
	askSame()
	crashing, err := firstOf(began)
	if err != nil {
		return err
	}
	time.Sleep(crashAfter)
	again := crashing
	if s.trouble {
		crashing.crash()
		if again, err = firstOf(began); err != nil {
			return err
		}
	}
	time.Sleep(reportTime)
	leaving := near[slices.IndexFunc(near, func(u *upstream) bool { return u != crashing && u != again })]
	for range lateCopies {
		askSame()
	}
	time.Sleep(50 * time.Millisecond)
	leaving.setState("draining")
	if _, ok := leaving.beat(context.Background()); !ok {
		return errors.New("no control host acknowledged the heartbeat in state draining")
	}
	acknowledged.set(time.Now())
	s.rec.logf("%s says draining, acknowledged with %s", leaving.id, leaving.lastReply())
	time.Sleep(watchDraining)
	return s.checkProcesses()
}

// askOthers sends other requests for a while, so that the gateway knows all upstreams.
func (s *scene) askOthers() {
	var clients sync.WaitGroup
	end := time.Now().Add(warmUp)
	for client := range warmUpClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				ask(s.frontAddress(0), http.MethodGet, shopHost, fmt.Sprintf("/stock/%d-%d", client, n), -1, "", time.Second)
				time.Sleep(warmUpPause)
			}
		})
	}
	clients.Wait()
	time.Sleep(calmDown)
}

// firstOf returns the upstream that begins a request first.
func firstOf(began <-chan *upstream) (*upstream, error) {
	select {
	case u := <-began:
		return u, nil
	case <-time.After(beginTimeout):
		return nil, errors.New("the first request reached none of the near upstreams")
	}
}

// farUpstreams returns upstreams that are not in the zone of the gateways.
func (s *scene) farUpstreams(count int) []*upstream {
	var ups []*upstream
	for i := range count {
		u := s.upstream("i-far-"+string(rune('1'+i)), plainService, "zone-b")
		u.onRun = func(attempt string) { s.rec.logf("%s runs %s", u.id, attempt) }
		ups = append(ups, u)
	}
	return ups
}
