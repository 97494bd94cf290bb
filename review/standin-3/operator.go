package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// routeRow and serviceRow are rows of a configuration.
type routeRow struct {
	name, host, prefix, kind string
	timeoutMs                int
	service                  string
	split                    any // nil for none
	attempts                 int
}

type serviceRow struct {
	name  string
	keyed bool
}

// configuration returns the body of a configuration.
func configuration(version int, routes []routeRow, services []serviceRow) []byte {
	var routeRows, serviceRows [][]any
	for _, r := range routes {
		var service any
		if r.service != "" {
			service = r.service
		}
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMs, r.timeoutMs / 2, 1, service, r.attempts, r.split})
	}
	for _, s := range services {
		var warm, grants any
		if s.keyed {
			warm, grants = 2.0, "heartbeat"
		}
		serviceRows = append(serviceRows, []any{s.name, "/health", 110, "h1", false, s.keyed, warm, grants})
	}
	body, _ := json.Marshal(map[string]any{ // has only maps, lists, texts and numbers
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
	return body
}

// put sends a configuration, to one control host after the other, until it gets a clear response, and returns its status.
func (c *cluster) put(rec *record, base int, body []byte, timeout time.Duration) int {
	until := time.Now().Add(timeout)
	for i := 0; time.Now().Before(until); i++ {
		address := c.controlAddresses()[i%controlHosts]
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		status, text, err := postWithin(ctx, address, "/config/put", body, map[string]string{"X-Base-Version": fmt.Sprintf("%08x", base)})
		cancel()
		if err == nil && status < 500 {
			rec.logf("operator: put on %08x answered %d %.60s by %s", base, status, text, address)
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}
