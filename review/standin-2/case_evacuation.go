package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["evacuation"] = staleEnd }

const (
	// evacuatedZone is the zone that the operator empties; one of the two gateways is there, and prefers its upstreams.
	evacuatedZone = "lisboa-a"
	// evacuationCallTime is how long the operator sends the same order again, ackMs.
	evacuationCallTime = 4 * time.Second
	// frozenFor is how long the control host stands still.
	frozenFor = 3 * time.Second
	// reconsiders is the time from the acknowledgement of the end to the next start.
	reconsiders = 500 * time.Millisecond
	// stableWindow is stableWindowMs: so long after the thaw, all machines are in touch again.
	stableWindow = 4 * time.Second
	// observedFor is how long the requests after the bound are counted.
	observedFor = 3 * time.Second
	// rounds is how often a control host is frozen at most.
	rounds = 5
)

// staleEnd freezes one control host that does not lead. Meanwhile the operator takes a zone back, gets no response from
// the frozen host and sends the order to another one, which acknowledges it; then it empties the zone again. Whether the
// late copy of the order gets through depends on what the woken host does first, so that this is done up to five times.
func staleEnd(r *record, trouble bool) error {
	c, err := newCluster(r, 5, 2, true)
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return err
	}
	f := &upstreams{record: r, controls: c.controlAddresses()}
	f.answer = func(*upstream, *http.Request) ([]byte, time.Duration) { return []byte("stock"), 20 * time.Millisecond }
	defer f.close()
	for i := range 8 {
		if _, err := f.add(c.ip(61+i), fmt.Sprintf("i-%d", i+1), "stock", zoneOrder[i%len(zoneOrder)]); err != nil {
			return err
		}
	}
	o := &operator{name: "operator", record: r, addresses: c.controlAddresses()}
	routes := []routeRow{{"r-stock", "stock.example", "/stock/", "safe", 1200, "stock", 2}}
	if a := o.put(0, 1, configuration(1, routes, []serviceRow{{"stock", "h1", false, false}})); a.status != 200 {
		return errors.New("the configuration was not accepted")
	}
	if err := awaitServing(c, "stock.example", "/stock/"); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the core has been stable
	order := func(change string) (time.Time, error) {
		if a := o.call(http.MethodPost, "/evacuations/"+evacuatedZone+"/"+change, "", nil, evacuationCallTime); a.status != 200 {
			return time.Time{}, fmt.Errorf("the %s of the evacuation was not acknowledged", change)
		}
		return time.Now(), nil
	}
	if _, err := order("start"); err != nil {
		return err
	}
	var clients sync.WaitGroup
	stopClients := make(chan struct{})
	for i := range 4 {
		clients.Go(func() { stockClient(r, c.front(i%2), i, stopClients) })
	}
	for round := 1; round <= rounds && len(r.broken) == 0; round++ {
		time.Sleep(6 * time.Second) // the evacuation is in force, and the core is stable
		if err := staleEndRound(r, c, f, o, round, order, trouble); err != nil {
			return err
		}
	}
	close(stopClients)
	clients.Wait()
	return nil
}

// staleEndRound freezes a control host once, and checks which upstreams get requests afterwards.
func staleEndRound(r *record, c *cluster, f *upstreams, o *operator, round int, order func(string) (time.Time, error), trouble bool) error {
	frozen := -1
	for i, p := range c.controls {
		if _, leads := c.logged(p, "leadership changed", `leads="true"`); !leads {
			frozen = i
		}
	}
	if frozen < 0 {
		return errors.New("no control host that never led")
	}
	o.next = frozen
	thawed := make(chan struct{})
	if trouble {
		c.signal(c.controls[frozen], syscall.SIGSTOP)
		go func() {
			defer close(thawed)
			time.Sleep(frozenFor)
			c.signal(c.controls[frozen], syscall.SIGCONT)
		}()
	} else {
		close(thawed)
	}
	if _, err := order("end"); err != nil {
		return err
	}
	time.Sleep(reconsiders)
	startedAt, err := order("start")
	if err != nil {
		return err
	}
	r.add("the evacuation is acknowledged; nothing takes it back from here on")
	<-thawed
	bound := startedAt.Add(evacuateMillis * time.Millisecond)
	if inTouchAt := time.Now().Add(stableWindow); inTouchAt.After(bound) {
		bound = inTouchAt
	}
	time.Sleep(time.Until(bound.Add(observedFor)))
	late, after := 0, 0
	for _, run := range f.list() {
		if !run.at.After(bound) {
			continue
		}
		after++
		if run.zone == evacuatedZone {
			late++
		}
	}
	r.add("round %d: %d requests were run later than evacuateMs after the acknowledgement, by machines in touch; %d of them in %s", round, after, late, evacuatedZone)
	if after < 50 {
		return errors.New("too few requests were served")
	}
	if late > 0 {
		r.rule("EVAC", "%d requests reached upstreams in %s later than %d ms after its evacuation was acknowledged, and nothing took it back", late, evacuatedZone, evacuateMillis)
	}
	return nil
}

// stockClient sends a request every 50 ms.
func stockClient(r *record, address string, number int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprintf("c%d%06x", number, i)
		status, _ := get(address, "stock.example", "/stock/a", id, 1200*time.Millisecond)
		r.add("client gets %d for attempt %s from %s", status, id, address)
	}
}
