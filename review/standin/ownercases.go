package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// Services and routes of the cases.
const (
	counterService = "doi-banh"
	archiveService = "kho-anh"
	serverCount    = 20
)

var (
	counter = route{"r-counter", "/phieu/", "unsafe", counterService, 1500, 2}
	stock   = route{"r-stock", "/kho/", "safe", counterService, 1500, 2}
	photos  = route{"r-photos", "/anh/", "upload", archiveService, 2000, 2}
)

// startWithKeys starts a system whose servers hold all keys.
func (r *run) startWithKeys() error {
	if err := r.startSystem(5, 2, 2); err != nil {
		return err
	}
	routes, services := []route{counter, stock, photos}, []service{{counterService, true}, {archiveService, false}}
	if err := r.put(0, 1, routes, services); err != nil {
		return err
	}
	if err := r.disableBootstrap(); err != nil {
		return err
	}
	for i := range serverCount {
		if _, err := r.startServer(fmt.Sprintf("i-counter-%d", i+1), counterService); err != nil {
			return err
		}
	}
	if _, err := r.startServer("i-archive-1", archiveService); err != nil {
		return err
	}
	return r.waitFor("the servers hold all keys", 25*time.Second, func() bool { return r.allKeysHeld(counterService) })
}

// foreignHeartbeat: another writer sends a heartbeat for the address of a server, with a service that no
// configuration names.
func foreignHeartbeat(r *run) ([]string, error) {
	if err := r.startWithKeys(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		body, err := json.Marshal(map[string]any{
			"address": r.servers[0].address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "giam-sat", "version": "v1", "zone": zone, "slots": 6},
			"status": map[string]any{"state": "ready", "seq": 1, "warmupLeftMs": 0},
		})
		if err != nil {
			return nil, err
		}
		_, status, err := postHeartbeat(r.controlAddress(0), "i-foreign-1", body)
		r.record.printf("another writer: POST /instances/i-foreign-1/heartbeat %s: status %d, error %v", body, status, err)
	}
	time.Sleep(8 * time.Second)
	return r.sharedKeys(), nil
}

// serviceReturns: a configuration takes a service out, and the next one brings it back. Before that the leader of
// the control hosts was stopped as planned.
func serviceReturns(r *run) ([]string, error) {
	if err := r.startWithKeys(); err != nil {
		return nil, err
	}
	if err := r.restartLeader(); err != nil {
		return nil, err
	}
	time.Sleep(12 * time.Second)
	if err := r.waitFor("the servers hold all keys under the new leader", 15*time.Second, func() bool { return r.allKeysHeld(counterService) }); err != nil {
		return nil, err
	}
	services := []service{{counterService, true}, {archiveService, false}}
	moved := []route{counter, stock, photos}
	without := services
	if r.trouble {
		moved = []route{photos}
		without = services[1:]
	}
	if err := r.put(1, 2, moved, without); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if err := r.put(2, 3, []route{counter, stock, photos}, services); err != nil {
		return nil, err
	}
	time.Sleep(12 * time.Second)
	return r.sharedKeys(), nil
}

// restartLeader stops the leader of the control hosts with SIGTERM and starts it again. The servers know it from
// the answers to their heartbeats.
func (r *run) restartLeader() error {
	var leader *program
	if err := r.waitFor("the leader is known", 5*time.Second, func() bool {
		leader = r.leader()
		return leader != nil
	}); err != nil {
		return err
	}
	r.stop(leader, syscall.SIGTERM)
	time.Sleep(time.Second)
	return r.start(leader)
}

// leader returns the control host to which a server was told to send its heartbeats, or nil.
func (r *run) leader() *program {
	for _, s := range r.servers {
		for i, p := range r.controls {
			if s.heartbeatTarget() == r.controlAddress(i) {
				return p
			}
		}
	}
	return nil
}

func (s *server) heartbeatTarget() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target
}
