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
	"time"
)

func init() { cases["pipelined"] = pipelined }

const (
	// pipelinedRounds is the number of connections on which a client sends two requests.
	pipelinedRounds = 24
	// firstTook is how long the first request of each connection takes.
	firstTook = 300 * time.Millisecond
)

// pipelined has clients send a second safe request before the first has been answered. The route allows one upstream for
// each client attempt.
func pipelined(r *record, trouble bool) error {
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
		if strings.HasPrefix(request.URL.Path, "/first/") {
			return []byte("first"), firstTook
		}
		return large, 20 * time.Millisecond
	}
	defer f.close()
	for i := range 8 {
		if _, err := f.add(c.ip(61+i), fmt.Sprintf("i-%d", i+1), "stock", zoneOrder[i%len(zoneOrder)]); err != nil {
			return err
		}
	}
	o := &operator{name: "operator", record: r, addresses: c.controlAddresses()}
	routes := []routeRow{
		{"r-first", "stock.example", "/first/", "safe", 3000, "stock", 1},
		{"r-second", "stock.example", "/second/", "safe", 3000, "stock", 1},
	}
	if a := o.put(0, 1, configuration(1, routes, []serviceRow{{"stock", "h1", false, false}})); a.status != 200 {
		return errors.New("the configuration was not accepted")
	}
	if err := awaitServing(c, "stock.example", "/first/"); err != nil {
		return err
	}
	whole := 0
	for i := range pipelinedRounds {
		if pipelineRound(r, c.front(i%2), i, trouble) {
			whole++
		}
		time.Sleep(400 * time.Millisecond) // stays far below the retry budget
	}
	r.add("%d of %d second requests got a whole answer", whole, pipelinedRounds)
	if whole < pipelinedRounds*3/4 {
		return errors.New("too few requests were served")
	}
	ran := map[string]map[string]bool{}
	for _, run := range f.list() {
		if ran[run.attempt] == nil {
			ran[run.attempt] = map[string]bool{}
		}
		ran[run.attempt][run.upstream] = true
	}
	over := 0
	for attempt, on := range ran {
		if len(on) > 1 {
			over++
			r.add("attempt %s ran on %d upstreams; its route allows 1", attempt, len(on))
		}
	}
	if over > 3 {
		r.rule("BUDGET", "%d client attempts ran on more upstreams than the maxAttempts of their route", over)
	}
	return nil
}

// pipelineRound sends two requests on one connection, the second before the first is answered if ahead is set, and
// reports whether the second got a whole answer.
func pipelineRound(r *record, address string, number int, ahead bool) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	ids := []string{fmt.Sprintf("f%07x", number), fmt.Sprintf("e%07x", number)}
	first, second := getRequest("stock.example", "/first/a", ids[0]), getRequest("stock.example", "/second/a", ids[1])
	r.add("client sends attempts %s and %s to %s", ids[0], ids[1], address)
	send := first
	if ahead {
		send += second
	}
	if _, err := io.WriteString(conn, send); err != nil {
		return false
	}
	reader := bufio.NewReader(conn)
	for i, id := range ids {
		if i == 1 && !ahead {
			if _, err := io.WriteString(conn, second); err != nil {
				return false
			}
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			r.add("client gets no answer to attempt %s: %v", id, err)
			return false
		}
		body, err := io.ReadAll(response.Body)
		r.add("client gets %d for attempt %s, %d bytes, answer to attempt %s, error %v", response.StatusCode, id, len(body), response.Header.Get("X-Attempt-Id"), err)
		if err != nil || response.StatusCode != 200 {
			return false
		}
	}
	return true
}
