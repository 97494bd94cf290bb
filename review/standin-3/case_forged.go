package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["forged"] = playForged }

const (
	grantTimeout = 15 * time.Second
	watchTime    = 8 * time.Second
	doubleHold   = 500 * time.Millisecond // for which two upstreams may hold a key at most
)

// playForged: while three upstreams hold all keys, another writer sends one heartbeat in the name of one of them. It lacks the
// two lists of keys, which each heartbeat has, so it names no upstream to use, and the others hold.
func playForged(s *scene) error {
	ups := []*upstream{s.upstream("i-a", keyedService, "zone-a"), s.upstream("i-b", keyedService, "zone-a"), s.upstream("i-c", keyedService, "zone-b")}
	if err := s.open(ups...); err != nil {
		return err
	}
	if err := awaitKeys(ups); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for i := range gatewayHosts {
		clients.Go(func() { s.askForKeys(ctx, i) })
	}
	time.Sleep(2 * time.Second)
	for _, u := range ups {
		s.rec.logf("%s holds %v", u.id, u.rows())
	}
	if s.trouble {
		body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"zone-a","slots":6},"status":{"state":"draining","seq":1,"warmupLeftMs":0}}`,
			ups[0].address(), now(), keyedService)
		status, text, err := post(ctx, s.controlAddresses()[0], "/instances/i-a/heartbeat", []byte(body), nil)
		s.rec.logf("another writer: POST /instances/i-a/heartbeat %s", body)
		s.rec.logf("answered %d %s %v", status, text, err)
	}
	s.watchHolders(ups)
	return s.checkProcesses()
}

// awaitKeys waits until each upstream holds keys.
func awaitKeys(ups []*upstream) error {
	for until := time.Now().Add(grantTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		holding := 0
		for _, u := range ups {
			if len(u.rows()) > 0 {
				holding++
			}
		}
		if holding == len(ups) {
			return nil
		}
	}
	return errors.New("not all upstreams were granted keys")
}

// askForKeys sends requests with keys through a gateway.
func (s *scene) askForKeys(ctx context.Context, gateway int) {
	for ctx.Err() == nil {
		key := int64(rand.IntN(1 << 16))
		o := ask(s.frontAddress(gateway), "GET", shopHost, "/look/x", key, "", time.Second)
		s.rec.logf("client: %s key %d answered %d %s", o.id, key, o.status, o.text)
		time.Sleep(100 * time.Millisecond)
	}
}

// watchHolders reports keys that two running upstreams hold for over half a second. It looks at the first key of each range.
func (s *scene) watchHolders(ups []*upstream) {
	since := map[string]time.Time{}
	for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		seen := doubleHolds(ups)
		for what := range seen {
			switch {
			case since[what].IsZero():
				since[what] = time.Now()
				s.rec.logf("held twice: %s", what)
			case time.Since(since[what]) > doubleHold:
				s.rec.breakf("OWNER: held twice for over %v: %s", doubleHold, what)
				since[what] = until.Add(time.Hour) // reported
			}
		}
		for what := range since {
			if !seen[what] {
				s.rec.logf("no longer held twice: %s", what)
				delete(since, what)
			}
		}
	}
}

// doubleHolds returns the keys that two upstreams hold now.
func doubleHolds(ups []*upstream) map[string]bool {
	seen := map[string]bool{}
	for i, u := range ups {
		for _, other := range ups[i+1:] {
			for _, r := range u.rows() {
				for _, q := range other.rows() {
					if from, to := max(r.from, q.from), min(r.to, q.to); from <= to {
						seen[fmt.Sprintf("keys %d to %d by %s with fence %d and by %s with fence %d", from, to, u.id, r.fence, other.id, q.fence)] = true
					}
				}
			}
		}
	}
	return seen
}
