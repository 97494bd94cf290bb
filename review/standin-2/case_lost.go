package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["broken-off"] = brokenOff }

const (
	// largeAnswer is the size of the answers of the faulty service, bytes.
	largeAnswer = 400 << 10
	// brokenEvery is the number of answers of a faulty upstream of which one is broken off: x = 0.02.
	brokenEvery = 50
	// faultyUpstreams of archiveUpstreams are faulty: share = 0.33.
	faultyUpstreams, archiveUpstreams = 3, 9
	// They are faulty for faultyFor in every faultyPeriod.
	faultyFor, faultyPeriod = 5 * time.Second, 10 * time.Second
	// pairClients send pairs of requests for pairTime.
	pairClients = 20
	pairTime    = 40 * time.Second
)

// brokenOff has clients send a second safe request before the first has been answered. Some upstreams of the first
// request's service break off a few of their answers. The second request goes to another service, whose upstreams are sound.
func brokenOff(r *record, trouble bool) error {
	c, err := newCluster(r, 5, 2, false)
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return err
	}
	large := bytes.Repeat([]byte("0123456789abcdef"), largeAnswer/16)
	f := &upstreams{record: r, controls: c.controlAddresses()}
	f.answer = func(_ *upstream, request *http.Request) ([]byte, time.Duration) {
		if strings.HasPrefix(request.URL.Path, "/archive/") {
			return large, 60 * time.Millisecond
		}
		return []byte("stock"), 20 * time.Millisecond
	}
	if trouble {
		var answers atomic.Int64
		f.breaksOff = func(u *upstream) bool {
			if u.service != "archive" || u.number >= faultyUpstreams || time.Since(r.started)%faultyPeriod >= faultyFor {
				return false
			}
			return answers.Add(1)%brokenEvery == 0
		}
	}
	defer f.close()
	for i := range archiveUpstreams {
		for j, service := range []string{"archive", "stock"} {
			if _, err := f.add(c.ip(61+2*i+j), fmt.Sprintf("i-%s-%d", service, i+1), service, zoneOrder[i%len(zoneOrder)]); err != nil {
				return err
			}
		}
	}
	o := &operator{name: "operator", record: r, addresses: c.controlAddresses()}
	routes := []routeRow{
		{"r-archive", "shop.example", "/archive/", "safe", 3000, "archive", 2},
		{"r-stock", "shop.example", "/stock/", "safe", 3000, "stock", 2},
	}
	services := []serviceRow{{"archive", "h1", false, false}, {"stock", "h1", false, false}}
	if a := o.put(0, 1, configuration(1, routes, services)); a.status != 200 {
		return errors.New("the configuration was not accepted")
	}
	if err := awaitServing(c, "shop.example", "/stock/"); err != nil {
		return err
	}
	var served, lost atomic.Int64
	var clients sync.WaitGroup
	ran := func(id string) (upstream string, found bool) {
		for _, run := range f.list() {
			if run.attempt == id {
				return run.upstream, true
			}
		}
		return "", false
	}
	until := time.Now().Add(pairTime)
	for i := range pairClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				unanswered := sendPair(r, c.front(i%2), fmt.Sprintf("%x%05x", i, n), &served)
				for _, id := range unanswered {
					if upstream, found := ran(id); found {
						lost.Add(1)
						r.add("attempt %s was passed on to %s, which is sound, and its connection was closed without an answer", id, upstream)
					}
				}
			}
		})
	}
	clients.Wait()
	r.add("%d second requests were answered, %d were passed on and lost", served.Load(), lost.Load())
	if served.Load() < 500 {
		return errors.New("too few requests were served")
	}
	if lost.Load() > 3 {
		r.rule("LOST", "%d requests from kept connections were passed on to sound upstreams, and their connections were closed without an answer", lost.Load())
	}
	return nil
}

// sendPair sends three requests on one connection: one alone, so that the connection is a kept one, and then a pair, the
// second before the first is answered. It returns the second request of the pair if the connection was closed without an
// answer to it.
func sendPair(r *record, address, pair string, served *atomic.Int64) (unanswered []string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	reader := bufio.NewReader(conn)
	alone, first, second := "a"+pair, "b"+pair, "c"+pair
	if _, err := io.WriteString(conn, getRequest("shop.example", "/stock/alone", alone)); err != nil {
		return nil
	}
	if !readAnswer(r, reader, alone) {
		return nil
	}
	if _, err := io.WriteString(conn, getRequest("shop.example", "/archive/a", first)+getRequest("shop.example", "/stock/b", second)); err != nil {
		return nil
	}
	readAnswer(r, reader, first)
	_, err = reader.Peek(1)
	var timeout net.Error
	switch {
	case err == nil:
		if readAnswer(r, reader, second) {
			served.Add(1)
		}
		return nil
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil // the client has given up
	}
	r.add("client: the connection is closed before any answer to attempt %s: %v", second, err)
	time.Sleep(100 * time.Millisecond)
	return []string{second}
}
