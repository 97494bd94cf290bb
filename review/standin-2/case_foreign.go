package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign-heartbeat"] = foreignHeartbeat }

const (
	// workTime is how long a request takes.
	workTime = 150 * time.Millisecond
	// serveLonger is how much longer than drainMs a leaving upstream serves.
	serveLonger = 2 * time.Second
	// orderClients send orders one after the other.
	orderClients = 24
)

// foreignHeartbeat sends one heartbeat of another writer, in which fields are missing, under the ID of an upstream. Then
// the upstream leaves as planned: it reports that it is draining, goes on for longer than drainMs, leaves and exits.
func foreignHeartbeat(r *record, trouble bool) error {
	c, err := newCluster(r, 5, 2, false)
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return err
	}
	f := &upstreams{record: r, controls: c.controlAddresses()}
	f.answer = func(*upstream, *http.Request) ([]byte, time.Duration) { return []byte("ordered"), workTime }
	defer f.close()
	for i := range 4 {
		if _, err := f.add(c.ip(61+i), fmt.Sprintf("i-%d", i+1), "orders", zoneOrder[i%len(zoneOrder)]); err != nil {
			return err
		}
	}
	o := &operator{name: "operator", record: r, addresses: c.controlAddresses()}
	routes := []routeRow{
		{"r-stock", "shop.example", "/stock/", "safe", 1500, "orders", 2},
		{"r-orders", "shop.example", "/orders/", "unsafe", 1500, "orders", 2},
	}
	if a := o.put(0, 1, configuration(1, routes, []serviceRow{{"orders", "h1", false, false}})); a.status != 200 {
		return errors.New("the configuration was not accepted")
	}
	if err := awaitServing(c, "shop.example", "/stock/"); err != nil {
		return err
	}
	var clients sync.WaitGroup
	stopClients := make(chan struct{})
	var served, failed atomic.Int64
	for i := range orderClients {
		clients.Go(func() { orderClient(r, c.front(i%2), i, stopClients, &served, &failed) })
	}
	time.Sleep(4 * time.Second) // the core has been stable
	leaving := f.all[1]         // in the failure domain of a gateway
	if trouble {
		if err := sendForeign(r, c.controlAddresses()[0], leaving); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	acknowledgedAt, err := leaving.drain()
	if err != nil {
		return err
	}
	time.Sleep(time.Until(acknowledgedAt.Add(drainMillis*time.Millisecond + serveLonger)))
	failedBefore := failed.Load()
	leaving.leave()
	time.Sleep(2 * time.Second)
	close(stopClients)
	clients.Wait()
	bound := acknowledgedAt.Add(drainMillis * time.Millisecond)
	late := 0
	for _, run := range f.list() {
		if run.upstream == leaving.id && run.at.After(bound) {
			late++
		}
	}
	r.add("%d orders were served; %d failed after %s had exited", served.Load(), failed.Load()-failedBefore, leaving.id)
	r.add("%d requests reached %s later than drainMs after its draining was acknowledged", late, leaving.id)
	if served.Load() < 200 {
		return errors.New("too few requests were served")
	}
	if late > 0 {
		r.rule("DRAIN", "%d requests reached %s later than %d ms after its draining was acknowledged; %d orders failed after it had exited",
			late, leaving.id, drainMillis, failed.Load()-failedBefore)
	}
	return nil
}

// sendForeign sends a heartbeat under the ID of an upstream that lacks the fields zone, version and warmupLeftMs.
func sendForeign(r *record, address string, u *upstream) error {
	body, err := json.Marshal(map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "slots": 6},
		"status": map[string]any{"state": "ready", "seq": 1000},
	})
	if err != nil {
		return err
	}
	r.add("another writer sends POST /instances/%s/heartbeat with %s", u.id, body)
	response, err := http.Post("http://"+address+"/instances/"+u.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	r.add("another writer gets %d %s", response.StatusCode, text)
	return nil
}

// drain sends heartbeats that say that the upstream is draining until one is acknowledged, and goes on with them.
func (u *upstream) drain() (acknowledgedAt time.Time, err error) {
	u.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	u.mu.Lock()
	u.state, u.cancel = "draining", cancel
	u.mu.Unlock()
	for i := range 20 {
		u.mu.Lock()
		u.seq++
		seq := u.seq
		u.mu.Unlock()
		address := u.fleet.controls[i%len(u.fleet.controls)]
		if _, ok := u.sendBeat(ctx, address, seq, "draining"); ok {
			u.fleet.record.add("%s is draining, acknowledged by %s (seq %d)", u.id, address, seq)
			go u.beat(ctx)
			return time.Now(), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, errors.New("the draining was not acknowledged")
}

// leave sends the leave call and ends the upstream.
func (u *upstream) leave() {
	u.cancel()
	body := fmt.Sprintf(`{"born":%d}`, u.born)
	response, err := http.Post("http://"+u.fleet.controls[0]+"/instances/"+u.id+"/leave", "application/json", bytes.NewReader([]byte(body)))
	if err == nil {
		_ = response.Body.Close()
	}
	u.fleet.record.add("%s leaves and exits", u.id)
	_ = u.server.Close()
}

// orderClient sends orders, one after the other.
func orderClient(r *record, address string, number int, stop <-chan struct{}, served, failed *atomic.Int64) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		id := fmt.Sprintf("c%d%06x", number, i)
		status, header := send(address, orderRequest(id), 1500*time.Millisecond)
		r.add("client gets %d for attempt %s", status, id)
		switch {
		case status == 200:
			served.Add(1)
		case status == 0 || status >= 500 && status != 503 && header.Get("X-Server-Seal") == "":
			failed.Add(1)
		}
	}
}

func orderRequest(id string) string {
	return fmt.Sprintf("POST /orders/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\nwheel", id)
}
