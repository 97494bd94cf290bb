package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// service is a row of the services of a configuration.
type service struct {
	name  string
	keyed bool
}

// route is a row of the routes of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, attempts         int
}

const host = "banhxe.example"

func configBody(version int, routes []route, services []service) []byte {
	routeRows, serviceRows := [][]any{}, [][]any{}
	for _, t := range routes {
		routeRows = append(routeRows, []any{t.name, host, t.prefix, t.kind, t.timeoutMs, t.timeoutMs / 2, 1, t.service, t.attempts, nil})
	}
	for _, s := range services {
		row := []any{s.name, "/health", 120, "h1", false, nil, nil, nil}
		if s.keyed {
			row = []any{s.name, "/health", 120, "h1", false, true, 2.0, "heartbeat"}
		}
		serviceRows = append(serviceRows, row)
	}
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "service", "maxAttempts", "trafficSplit"},
			"rows":    routeRows,
		},
		"services": map[string]any{
			"columns": []string{"name", "healthPath", "maxConns", "protocol", "tls", "useShards", "warmS", "grants"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return body
}

var operatorClient = &http.Client{Timeout: 4 * time.Second}

// put sends a configuration until it has a clear answer, each time to another control host.
func (r *run) put(base, version int, routes []route, services []service) error {
	body := configBody(version, routes, services)
	until := time.Now().Add(r.putTimeout)
	for i := rand.IntN(len(r.controls)); time.Now().Before(until); i++ {
		address := r.controlAddress(i % len(r.controls))
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/config/put", bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("X-Base-Version", fmt.Sprintf("%08x", base))
		response, err := operatorClient.Do(request)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		detail, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch response.StatusCode {
		case http.StatusOK:
			r.record.printf("operator: version %d on %d acknowledged by %s", version, base, address)
			return nil
		case http.StatusBadRequest, http.StatusPreconditionFailed:
			return fmt.Errorf("version %d refused: %d %s", version, response.StatusCode, detail)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged within %v", version, r.putTimeout)
}
