package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	shopHost     = "ficu95.example"
	keyedService = "huvo11a"
	plainService = "wuno96b"
	firstVersion = 5
	// workTime is how long an upstream works on a request.
	workTime = 20 * time.Millisecond
	// stableWindow is the time after its start from which a machine counts as in touch, with a margin.
	stableWindow = 3500 * time.Millisecond
)

// scene is a running deployment, and what the stand-ins saw of it.
type scene struct {
	*cluster
	rec     *record
	trouble bool // whether the disruption takes place
}

// upstream returns a stand-in for an upstream that is not started yet.
func (s *scene) upstream(id, service, zone string) *upstream {
	return &upstream{
		id: id, service: service, zone: zone, keyed: service == keyedService, work: workTime, rec: s.rec, controls: s.controlAddresses(),
	}
}

// open puts the first configuration, starts the upstreams, and waits until all machines are in touch.
func (s *scene) open(ups ...*upstream) error {
	body := configuration(firstVersion, []routeRow{
		{name: "r-look", host: shopHost, prefix: "/look/", kind: "safe", timeoutMs: 1500, service: keyedService, attempts: 2},
		{name: "r-stock", host: shopHost, prefix: "/stock/", kind: "safe", timeoutMs: 10000, service: plainService, attempts: 2},
	}, []serviceRow{{keyedService, true}, {plainService, false}})
	if status := s.put(s.rec, 0, body, 20*time.Second); status != http.StatusOK {
		return fmt.Errorf("the first configuration was answered %d", status)
	}
	for i, u := range ups {
		if err := u.start(s.upstreamAddress(i), now()); err != nil {
			return err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	return nil
}

// upstreamAddress returns an address with a free port.
func (s *scene) upstreamAddress(i int) string { return fmt.Sprintf("%s.%d:0", s.network, 101+i) }

// checkProcesses reports processes of the system that have ended by themselves: the case has not run as it should then.
func (s *scene) checkProcesses() error {
	if names := s.crashed(); len(names) > 0 {
		return fmt.Errorf("%v ended: %w", names, os.ErrProcessDone)
	}
	return nil
}
