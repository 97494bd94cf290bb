package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign-owner"] = foreignOwner }

const (
	// foreignBeats is the number of heartbeats of the other writer, foreignInterval the time between them.
	foreignBeats    = 2
	foreignInterval = time.Second
	// lookupClients send requests for random keys.
	lookupClients = 12
)

// foreignOwner sends two heartbeats of another writer, in which fields are missing, under the ID of an upstream that holds
// keys. They say that the upstream leaves and has released its keys.
func foreignOwner(r *record, trouble bool) error {
	c, err := newCluster(r, 5, 2, false)
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return err
	}
	f := &upstreams{record: r, controls: c.controlAddresses(), keyed: true}
	f.answer = func(*upstream, *http.Request) ([]byte, time.Duration) { return []byte("stock"), 20 * time.Millisecond }
	defer f.close()
	for i := range 8 {
		if _, err := f.add(c.ip(61+i), fmt.Sprintf("i-%d", i+1), "stock", zoneOrder[i%len(zoneOrder)]); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { f.watchHolders(stop) })
	o := &operator{name: "operator", record: r, addresses: c.controlAddresses()}
	routes := []routeRow{{"r-stock", "stock.example", "/stock/", "safe", 1500, "stock", 2}}
	if a := o.put(0, 1, configuration(1, routes, []serviceRow{{"stock", "h1", false, true}})); a.status != 200 {
		return errors.New("the configuration was not accepted")
	}
	if err := awaitKeys(f); err != nil {
		return err
	}
	var clients sync.WaitGroup
	var served atomic.Int64
	for i := range lookupClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("c%x%06x", i, n)
				request := fmt.Sprintf("GET /stock/a HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Shard-Key: %d\r\n\r\n", id, rand.IntN(1<<16))
				if status, _ := send(c.front(i%2), request, 1500*time.Millisecond); status == 200 {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for i := range foreignBeats {
			if err := sendForeignLeave(r, c.controlAddresses()[0], f.all[2], 1000+i); err != nil {
				return err
			}
			time.Sleep(foreignInterval)
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	watch.Wait()
	r.add("%d requests were served", served.Load())
	if served.Load() < 500 {
		return errors.New("too few requests were served")
	}
	return nil
}

// awaitKeys waits until all keys have been held for two seconds.
func awaitKeys(f *upstreams) error {
	since := time.Time{}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		keys := int64(0)
		for _, u := range f.all {
			for _, row := range u.held(time.Now()) {
				keys += row.to - row.from + 1
			}
		}
		switch {
		case keys < 1<<16:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > 2*time.Second:
			return nil
		}
	}
	return errors.New("the keys were not granted")
}

// sendForeignLeave sends a heartbeat under the ID of an upstream that lacks the fields zone, version and warmupLeftMs.
func sendForeignLeave(r *record, address string, u *upstream, seq int) error {
	body, err := json.Marshal(map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "slots": 6},
		"status": map[string]any{"state": "draining", "seq": seq},
		"holds":  [][]any{}, "freed": [][]any{{0, 65535, ""}},
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
