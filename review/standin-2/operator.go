package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator calls the control hosts as the platform's operator does: it waits a second for a response, and then sends the
// same call to another host.
type operator struct {
	name      string
	record    *record
	addresses []string
	next      int // index of the host for the next call
}

// answer is the response to one attempt of a call; status 0 stands for none.
type answer struct {
	status int
	body   []byte
}

// attempt sends a call to one host once. The connection is closed after a second without a response.
func (o *operator) attempt(method, address, path, base string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	if base != "" {
		request.Header.Set("X-Base-Version", base)
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	o.record.add("%s sends %s %s to %s", o.name, method, path, address)
	response, err := client.Do(request)
	if err != nil {
		o.record.add("%s gets no response to %s %s from %s: %v", o.name, method, path, address, err)
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	o.record.add("%s gets %d for %s %s from %s", o.name, response.StatusCode, method, path, address)
	return answer{response.StatusCode, text}
}

// final reports whether a response ends a call.
func (a answer) final() bool {
	switch a.status {
	case 200, 400, 409, 412, 413, 422:
		return true
	}
	return false
}

// call sends a call to one host after the other until a response ends it, or for the given time.
func (o *operator) call(method, path, base string, body []byte, most time.Duration) answer {
	until := time.Now().Add(most)
	pause := 50 * time.Millisecond
	for time.Now().Before(until) {
		a := o.attempt(method, o.addresses[o.next%len(o.addresses)], path, base, body)
		if a.final() {
			return a
		}
		o.next++
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return answer{}
}

// routeRow and serviceRow are rows of a configuration, in the order of routeColumns and serviceColumns.
type routeRow struct {
	name, host, prefix, kind string
	timeoutMs                int
	service                  string
	maxAttempts              int
}

type serviceRow struct {
	name     string
	protocol string
	tls      bool
	keyed    bool
}

var (
	routeColumns   = []string{"name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "service", "maxAttempts", "trafficSplit"}
	serviceColumns = []string{"name", "healthPath", "maxConns", "protocol", "tls", "useShards", "warmS", "grants"}
)

// configuration returns the body of a configuration.
func configuration(version int, routes []routeRow, services []serviceRow) []byte {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	r, s := table{Columns: routeColumns}, table{Columns: serviceColumns}
	for i, row := range routes {
		r.Rows = append(r.Rows, []any{row.name, row.host, row.prefix, row.kind, row.timeoutMs, 400, 1 + i%3, row.service, row.maxAttempts, nil})
	}
	for _, row := range services {
		cells := []any{row.name, "/health", 110, row.protocol, row.tls, nil, nil, nil}
		if row.keyed {
			cells[5], cells[6], cells[7] = true, 2.0, "heartbeat"
		}
		s.Rows = append(s.Rows, cells)
	}
	body, err := json.Marshal(map[string]any{
		"version": versionText(version), "routes": r, "services": s,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // the tables hold strings, numbers and booleans
	}
	return body
}

func versionText(version int) string {
	if version == 0 {
		return "0"
	}
	return fmt.Sprintf("%08x", version)
}

// put sends a configuration until a response ends the call.
func (o *operator) put(base, version int, body []byte) answer {
	o.record.add("%s puts version %d on version %d", o.name, version, base)
	return o.call(http.MethodPost, "/config/put", versionText(base), body, 20*time.Second)
}
