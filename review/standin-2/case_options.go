package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["no-route"] = noRoute }

// noRoute sends requests that no route matches. With trouble their target is the asterisk form.
func noRoute(r *record, trouble bool) error {
	c, err := newCluster(r, 5, 2, false)
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
	for i := range 4 {
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
	method, target := "GET", "/never/"
	if trouble {
		method, target = "OPTIONS", "*"
	}
	for i := range c.gateways {
		conn, err := net.Dial("tcp", c.front(i))
		if err != nil {
			return err
		}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		id := fmt.Sprintf("d%d", i)
		r.add("client sends %s %s of attempt %s to %s", method, target, id, c.front(i))
		_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1200\r\n\r\n", method, target, id)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = conn.Close()
		sealed := response.Header.Get("X-Server-Seal")
		r.add("client gets %d for attempt %s, seal %q", response.StatusCode, id, sealed)
		if response.StatusCode/100 == 2 && sealed == "" {
			r.rule("MIXED", "%s gives a client %d without an upstream's seal; no route matches the request, and no upstream got it", c.gateways[i].name, response.StatusCode)
		}
	}
	return nil
}
