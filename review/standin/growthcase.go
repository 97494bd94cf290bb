package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// bigConfigs times routesEach routes are added, as by big_config with count = 350.
	bigConfigs = 10
	routesEach = 350
	// changes is the number of small changes that follow. Each changes the time-out of one route.
	changes = 700
	// changesUntil ends them earlier, so that the case keeps its time.
	changesUntil = 85 * time.Second
)

// configGrowth: the configuration grows by many routes, and hundreds of changes follow.
func configGrowth(r *run) ([]string, error) {
	started := time.Now()
	r.putTimeout = 8 * time.Second
	if err := r.startSystem(5, 2, 2); err != nil {
		return nil, err
	}
	services := []service{{counterService, true}, {archiveService, false}}
	routes, version := []route{counter, stock, photos}, 1
	if err := r.put(0, version, routes, services); err != nil {
		return nil, err
	}
	if err := r.disableBootstrap(); err != nil {
		return nil, err
	}
	guard := r.guardMemory()
	for i := range bigConfigs {
		if r.trouble {
			for j := range routesEach {
				n := i*routesEach + j
				routes = append(routes, route{fmt.Sprintf("r-more-%d", n), fmt.Sprintf("/more-%d/", n), "safe", archiveService, 1500, 2})
			}
		}
		version++
		if err := r.put(version-1, version, routes, services); err != nil {
			r.record.printf("%v", err)
			break
		}
	}
	acknowledged := version
	// An order without a clear answer is sent again unchanged.
	for acknowledged < bigConfigs+changes && time.Since(started) < changesUntil && !guard.broken() {
		routes[0].timeoutMs = 1500 + acknowledged%2
		if err := r.put(acknowledged, acknowledged+1, routes, services); err != nil {
			r.record.printf("%v", err)
			continue
		}
		acknowledged++
	}
	r.record.printf("%d versions acknowledged", acknowledged)
	time.Sleep(2 * time.Second)
	guard.end()
	return guard.breaks(r, acknowledged), nil
}

// breaks checks the rule of the processes that end by themselves, and reads the configuration back.
func (g *memoryGuard) breaks(r *run, acknowledged int) []string {
	var breaks []string
	for _, p := range r.controls {
		r.record.printf("%s: at most %d MB, killed %d times", p.name, g.peakMB[p.name], g.kills[p.name])
	}
	if g.broken() {
		breaks = append(breaks, fmt.Sprintf("Fault: on %d of the %d machines in use processes ended by themselves three times (memory over the limit)", maxOftenEnded, len(r.controls)+len(r.gateways)))
	}
	if !r.readBack(acknowledged) {
		breaks = append(breaks, fmt.Sprintf("CONFIG: version %d was acknowledged, but doesn't come within 6 s", acknowledged))
	}
	return breaks
}

// readBack reads the configuration from the control hosts in turn, for 6 s.
func (r *run) readBack(version int) bool {
	until := time.Now().Add(6 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		response, err := operatorClient.Get("http://" + r.controlAddress(i%len(r.controls)) + "/config/get")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.record.printf("operator: the configuration was read from %s", r.controlAddress(i%len(r.controls)))
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
