package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that an upstream has run.
type arrival struct {
	upstream string
	zone     string
	attempt  string // the client attempt's ID
	deadline string // X-Deadline-Ms
	at       time.Time
}

// upstream is a sound backend server: it sends heartbeats, checks the incarnation that a request expects, and signs its
// answers.
type upstream struct {
	id, service, zone string
	number            int // among those of its service
	address           string
	born              int64
	fleet             *upstreams

	mu     sync.Mutex
	seq    int64
	next   string // control host of the next heartbeat
	state  string
	keys   keyHolder
	server *http.Server
	cancel context.CancelFunc
}

// upstreams are all upstreams of a case, and what they have run.
type upstreams struct {
	record   *record
	controls []string
	// answer returns the body of an answer, and how long the request takes.
	answer func(u *upstream, r *http.Request) (body []byte, took time.Duration)
	keyed  bool // requests have keys, and upstreams run only those that they hold
	// breaksOff reports whether an answer is broken off after three quarters. It may be nil.
	breaksOff func(u *upstream) bool

	mu   sync.Mutex
	runs []arrival
	all  []*upstream
}

// add starts an upstream.
func (f *upstreams) add(ip, id, service, zone string) (*upstream, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{
		id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), fleet: f,
		state: "ready", cancel: cancel,
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }() // ends when it is closed
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.all {
		if other.service == service {
			u.number++
		}
	}
	f.all = append(f.all, u)
	go u.beat(ctx)
	return u, nil
}

// close ends all upstreams.
func (f *upstreams) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.all {
		u.cancel()
		_ = u.server.Close()
	}
}

// list returns the requests that were run so far.
func (f *upstreams) list() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]arrival(nil), f.runs...)
}

// seal returns the signature of an answer.
func seal(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+"/"), body...))
	return fmt.Sprintf("%x", sum[:8])
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		w.Header().Set("X-Instance-Id", u.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if u.fleet.keyed {
		key, err := strconv.ParseInt(r.Header.Get("X-Shard-Key"), 10, 64)
		if err != nil || !u.startWork(key) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		defer u.endWork(key)
	}
	run := arrival{upstream: u.id, zone: u.zone, attempt: attempt, deadline: r.Header.Get("X-Deadline-Ms"), at: time.Now()}
	u.fleet.mu.Lock()
	u.fleet.runs = append(u.fleet.runs, run)
	u.fleet.mu.Unlock()
	u.fleet.record.add("%s (%s) runs %s %s of attempt %s", u.id, u.zone, r.Method, r.URL.Path, attempt)
	body, took := u.fleet.answer(u, r)
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Seal", seal(attempt, body))
	w.Header().Set("X-Server-Load", "1,0,6")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if u.fleet.breaksOff != nil && u.fleet.breaksOff(u) {
		u.fleet.record.add("%s breaks off its answer to attempt %s", u.id, attempt)
		_, _ = w.Write(body[:len(body)*3/4])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body) // fails if the gateway has closed the connection
}

// beat sends heartbeats until the upstream ends.
func (u *upstream) beat(ctx context.Context) {
	index := 0
	for ctx.Err() == nil {
		u.mu.Lock()
		u.seq++
		seq, state, address := u.seq, u.state, u.next
		u.mu.Unlock()
		if address == "" {
			address = u.fleet.controls[index%len(u.fleet.controls)]
			index++
		}
		next, ok := u.sendBeat(ctx, address, seq, state)
		u.mu.Lock()
		u.next = ""
		if ok {
			u.next = next
		}
		u.mu.Unlock()
		pause := heartbeatInterval
		switch {
		case !ok:
			pause = 50 * time.Millisecond
		case u.hasFreed():
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (u *upstream) sendBeat(ctx context.Context, address string, seq int64, state string) (next string, ok bool) {
	beat := map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": 6},
		"status": map[string]any{"state": state, "seq": seq, "warmupLeftMs": 0},
	}
	sentAt := time.Now()
	freed := 0
	if u.fleet.keyed {
		beat["holds"], beat["freed"], freed = u.reportKeys(sentAt)
	}
	body, err := json.Marshal(beat)
	if err != nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/instances/"+u.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	var reply struct {
		HeartbeatAddr string   `json:"heartbeatAddr"`
		Holds         *[][]any `json:"holds"`
		HoldMs        int64    `json:"holdMs"`
	}
	if json.NewDecoder(io.LimitReader(response.Body, 4<<10)).Decode(&reply) != nil || response.StatusCode != http.StatusOK {
		return "", false
	}
	if u.fleet.keyed {
		u.acknowledged(freed)
		if reply.Holds != nil {
			u.takeKeys(*reply.Holds, sentAt, time.Duration(reply.HoldMs)*time.Millisecond)
		}
	}
	return reply.HeartbeatAddr, true
}
