package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// holding is a range of keys that a server holds.
type holding struct {
	from, to, fence int64
	since           time.Time
}

// period is a time during which a server held a range of keys.
type period struct {
	holding
	server string
	until  time.Time
}

// released is a range that a server has released and not yet reported in an acknowledged heartbeat.
type released struct {
	from, to int64
	handover string
}

// server is a stand-in backend server. It follows PROTOCOL.md, "Service discovery", "Upstreams" and "Keys that
// upstreams hold".
type server struct {
	run     *run
	id      string
	service string
	address string
	born    int64
	http    *http.Server

	mu       sync.Mutex // guards the fields below
	seq      int64
	state    string
	silent   bool // sends no heartbeats: it is cut off from the control hosts
	target   string
	held     []holding
	freed    []released
	leaseEnd time.Time
	periods  []period
	arrivals []arrival
	ended    chan struct{}
	stopped  bool
}

// arrival is a request that reached a server.
type arrival struct {
	at      time.Time
	attempt string
	ran     bool
}

// startServer starts a server on an address of its own. The ID and the start time are new.
func (r *run) startServer(name, serviceName string) (*server, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(r.ips.ip(firstServer+len(r.servers)), "0"))
	if err != nil {
		return nil, err
	}
	s := &server{
		run: r, id: name, service: serviceName, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		state: "ready", ended: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	r.servers = append(r.servers, s)
	r.record.printf("server %s (%s) starts at %s", s.id, s.service, s.address)
	go func() { _ = s.http.Serve(listener) }()
	go s.heartbeats()
	return s, nil
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.stopped = true
		close(s.ended)
		_ = s.http.Close()
	}
}

// serve runs a request, if the server holds its key.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		s.reject(w, attempt)
		return
	}
	if text := r.Header.Get("X-Shard-Key"); text != "" {
		key, _ := strconv.ParseInt(text, 10, 64)
		if !s.holds(key) {
			s.reject(w, attempt)
			return
		}
	}
	s.arrived(attempt, true)
	time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
	w.Header().Set("X-Server-Seal", "seal."+s.id)
	w.Header().Set("X-Server-Load", "1,0,6")
	_, _ = io.WriteString(w, s.id+" ran "+attempt)
}

func (s *server) reject(w http.ResponseWriter, attempt string) {
	s.arrived(attempt, false)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (s *server) arrived(attempt string, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), attempt, ran})
}

func (s *server) holds(key int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for _, h := range s.held {
		if key >= h.from && key <= h.to {
			return true
		}
	}
	return false
}

// expire ends what the server holds when its lease has run out. The caller holds mu.
func (s *server) expire(now time.Time) {
	if now.Before(s.leaseEnd) {
		return
	}
	for _, h := range s.held {
		s.periods = append(s.periods, period{h, s.id, s.leaseEnd})
	}
	s.held = nil
}

// keysHeld returns the number of keys that the server holds now.
func (s *server) keysHeld() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	count := int64(0)
	for _, h := range s.held {
		count += h.to - h.from + 1
	}
	return count
}

// allPeriods returns the times for which the server held keys, up to now.
func (s *server) allPeriods() []period {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	all := append([]period{}, s.periods...)
	for _, h := range s.held {
		all = append(all, period{h, s.id, now})
	}
	return all
}

func (s *server) heartbeats() {
	wait := time.Duration(rand.Int64N(int64(heartbeatInterval)))
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(wait):
		}
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		wait = time.Duration(float64(heartbeatInterval) * (0.9 + 0.2*rand.Float64())) // approximately every heartbeatMs
		if silent {
			continue
		}
		switch again, ok := s.heartbeat(); {
		case again:
			wait = 100 * time.Millisecond
		case !ok:
			wait = 0 // the next node is called
		}
	}
}

// body returns the heartbeat to send now. The caller holds mu.
func (s *server) body() []byte {
	holds, freed := [][]any{}, [][]any{}
	for _, h := range s.held {
		holds = append(holds, []any{h.from, h.to, h.fence})
	}
	for _, f := range s.freed {
		freed = append(freed, []any{f.from, f.to, f.handover})
	}
	body, err := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": zone, "slots": 6},
		"status": map[string]any{"state": s.state, "seq": s.seq, "warmupLeftMs": 0},
		"holds":  holds, "freed": freed,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// heartbeatReply is the answer to a heartbeat.
type heartbeatReply struct {
	HeartbeatAddr string               `json:"heartbeatAddr"`
	Holds         *[][]json.RawMessage `json:"holds"`
	HoldMs        int64                `json:"holdMs"`
}

var heartbeatClient = &http.Client{Timeout: time.Second}

// heartbeat sends one heartbeat. again reports whether the next one is due within 100 ms.
func (s *server) heartbeat() (again, ok bool) {
	s.mu.Lock()
	s.expire(time.Now())
	s.seq++
	body, freed, target := s.body(), len(s.freed), s.target
	s.mu.Unlock()
	if target == "" {
		target = s.run.controlAddress(rand.IntN(len(s.run.controls)))
	}
	sent := time.Now()
	reply, status, err := postHeartbeat(target, s.id, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || status/100 != 2 {
		s.target = ""
		return false, false
	}
	if reply.HeartbeatAddr != "" {
		s.target = reply.HeartbeatAddr
	}
	s.freed = s.freed[freed:]
	if reply.Holds == nil {
		return false, true
	}
	s.apply(sent, reply)
	return len(s.freed) > 0, true
}

// postHeartbeat sends a heartbeat and returns its answer.
func postHeartbeat(target, id string, body []byte) (reply heartbeatReply, status int, err error) {
	response, err := heartbeatClient.Post("http://"+target+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return reply, 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 4097))
	if err != nil || len(text) > 4096 {
		return reply, 0, fmt.Errorf("answer of %d bytes: %w", len(text), err)
	}
	if response.StatusCode/100 == 2 && len(text) > 0 {
		err = json.Unmarshal(text, &reply)
	}
	return reply, response.StatusCode, err
}

// apply makes the server hold what the answer lists, and release the rest. The caller holds mu.
func (s *server) apply(sent time.Time, reply heartbeatReply) {
	now := time.Now()
	s.expire(now)
	var next []holding
	for _, row := range *reply.Holds {
		h := holding{since: now}
		if len(row) != 4 || json.Unmarshal(row[0], &h.from) != nil || json.Unmarshal(row[1], &h.to) != nil || json.Unmarshal(row[2], &h.fence) != nil {
			continue
		}
		next = append(next, h)
	}
	for _, old := range s.held {
		s.replace(now, old, next)
	}
	// What was held before and is held on keeps the start of its period.
	for i := range next {
		for _, old := range s.held {
			if old.from == next[i].from && old.to == next[i].to {
				next[i].since = old.since
			}
		}
	}
	s.held = next
	s.leaseEnd = sent.Add(time.Duration(reply.HoldMs) * time.Millisecond)
}

// replace ends the period of an old range, and releases those of its keys that the new ranges don't have.
// The caller holds mu.
func (s *server) replace(now time.Time, old holding, next []holding) {
	for _, n := range next {
		if n.from == old.from && n.to == old.to {
			return
		}
	}
	s.periods = append(s.periods, period{old, s.id, now})
	for from := old.from; from <= old.to; {
		to, kept := old.to, false
		for _, n := range next {
			switch {
			case n.from <= from && from <= n.to:
				to, kept = min(to, n.to), true
			case n.from > from && n.from <= to && !kept:
				to = n.from - 1
			}
		}
		if !kept {
			s.freed = append(s.freed, released{from, to, fmt.Sprintf("%016x", rand.Uint64())})
		}
		from = to + 1
	}
}
