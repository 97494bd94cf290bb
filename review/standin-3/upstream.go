package main

import (
	"bytes"
	"context"
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

const (
	callTimeout   = time.Second            // after which an upstream calls the next control host
	releaseBeat   = 100 * time.Millisecond // interval of heartbeats until all releases are acknowledged
	upstreamSlots = 6
	keys          = 1 << 16
)

// row is a range of keys that an upstream holds.
type row struct {
	from, to, fence int64
}

// upstream is a stand-in that follows the platform's pages.
type upstream struct {
	id, service, zone string
	keyed             bool
	rec               *record
	controls          []string
	onRun             func(attempt string) // called as a request begins; may be nil

	born     int64
	listener net.Listener
	server   *http.Server
	stopBeat context.CancelFunc
	beats    sync.WaitGroup

	mu       sync.Mutex    // guards the fields below
	work     time.Duration // on a request
	seq      int64
	state    string
	held     []row
	ending   []row // released, but requests are still in progress on them
	freed    [][]any
	until    time.Time     // end of the lease
	fences   []int64       // highest fencing token seen, by key
	working  map[int64]int // requests in progress, by key
	beatAddr string
	lastBeat string // response to the last heartbeat that was acknowledged
}

// start starts a life of the upstream at an address, with a start time as its clock shows it.
func (u *upstream) start(address string, born int64) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.listener, u.born = listener, born
	u.mu.Lock()
	u.seq, u.state, u.held, u.ending, u.freed, u.until = 0, "ready", nil, nil, nil, time.Time{}
	u.working, u.beatAddr, u.fences = map[int64]int{}, "", make([]int64, keys)
	u.mu.Unlock()
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func(s *http.Server) { _ = s.Serve(listener) }(u.server)
	ctx, cancel := context.WithCancel(context.Background())
	u.stopBeat = cancel
	u.beats.Go(func() { u.beatLoop(ctx) })
	u.rec.logf("upstream %s of %s starts at %s, born %d", u.id, u.service, u.address(), born)
	return nil
}

// crash ends the life: nothing is sent, and all connections are reset.
func (u *upstream) crash() {
	u.stopBeat()
	_ = u.server.Close()
	_ = u.listener.Close()
	u.beats.Wait()
	u.rec.logf("upstream %s crashes", u.id)
}

func (u *upstream) address() string { return u.listener.Addr().String() }

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		u.serveHealth(w)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		u.rec.logf("upstream %s answers 421 to %s, which expects %s", u.id, attempt, expected)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key, err := strconv.ParseInt(r.Header.Get("X-Shard-Key"), 10, 64)
	if u.keyed && (err != nil || !u.begin(key)) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.onRun != nil {
		u.onRun(attempt)
	}
	time.Sleep(u.workTime())
	if u.keyed {
		u.end(key)
	}
	w.Header().Set("X-Server-Seal", "seal-"+u.id+"-"+attempt)
	w.Header().Set("X-Server-Load", fmt.Sprintf("1,0,%d", upstreamSlots))
	fmt.Fprintf(w, "%s ran %s (%d bytes)", u.id, attempt, len(body))
}

func (u *upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("X-Instance-Id", u.id)
	if u.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// begin reports whether the upstream holds a key, and if so counts a request on it.
func (u *upstream) begin(key int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.holdsLocked(key) {
		return false
	}
	u.working[key]++
	return true
}

func (u *upstream) end(key int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.working[key]--
}

func (u *upstream) holdsLocked(key int64) bool {
	if !time.Now().Before(u.until) {
		return false
	}
	for _, r := range u.held {
		if key >= r.from && key <= r.to {
			return true
		}
	}
	return false
}

// rows returns the ranges that the upstream holds now.
func (u *upstream) rows() []row {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !time.Now().Before(u.until) {
		return nil
	}
	return append([]row(nil), u.held...)
}

// lastReply returns the response to the last heartbeat that was acknowledged.
func (u *upstream) lastReply() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastBeat
}

// setWork changes how long the upstream works on a request.
func (u *upstream) setWork(work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = work
}

func (u *upstream) workTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.work
}

// setState changes the state that the heartbeats report.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

func (u *upstream) beatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := heartbeatInterval
		if more, _ := u.beat(ctx); more {
			wait = releaseBeat
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// body returns the next heartbeat, and the number of releases in it.
func (u *upstream) body() ([]byte, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	body := map[string]any{
		"address": u.address(), "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": upstreamSlots},
		"status": map[string]any{"state": u.state, "seq": u.seq, "warmupLeftMs": 0},
	}
	if u.keyed {
		u.settleEnding()
		holds := [][]any{}
		if time.Now().Before(u.until) {
			for _, r := range append(append([]row(nil), u.held...), u.ending...) {
				holds = append(holds, []any{r.from, r.to, r.fence})
			}
		}
		body["holds"], body["freed"] = holds, append([][]any{}, u.freed...)
	}
	encoded, _ := json.Marshal(body) // has only maps, texts and numbers
	return encoded, len(u.freed)
}

// beat sends a heartbeat, to one control host after the other until one acknowledges it. It reports whether releases wait for
// an acknowledgement, and whether the heartbeat was acknowledged.
func (u *upstream) beat(ctx context.Context) (more, acknowledged bool) {
	for range len(u.controls) {
		body, freed := u.body()
		u.mu.Lock()
		address := u.beatAddr
		u.mu.Unlock()
		if address == "" {
			address = u.controls[rand.IntN(len(u.controls))]
		}
		sent := time.Now()
		status, text, err := post(ctx, address, "/instances/"+u.id+"/heartbeat", body, nil)
		if err == nil && status/100 == 2 && len(text) <= 4<<10 {
			return u.apply(sent, text, freed), true
		}
		u.mu.Lock()
		u.beatAddr = ""
		u.mu.Unlock()
		if ctx.Err() != nil {
			break
		}
	}
	return false, false
}

// reply is the response to a heartbeat.
type reply struct {
	HeartbeatAddr string   `json:"heartbeatAddr"`
	Holds         *[][]any `json:"holds"`
	HoldMs        int64    `json:"holdMs"`
}

// apply takes the response to a heartbeat: what it leaves out is released, and what it grants is held.
func (u *upstream) apply(sent time.Time, text []byte, freed int) (more bool) {
	var r reply
	if json.Unmarshal(text, &r) != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.freed = u.freed[min(freed, len(u.freed)):]
	u.lastBeat = string(text)
	if r.HeartbeatAddr != "" {
		u.beatAddr = r.HeartbeatAddr
	}
	if u.keyed && r.Holds == nil {
		u.rec.logf("%s: its heartbeat is answered without holds: %s", u.id, text)
	}
	if !u.keyed || r.Holds == nil {
		return len(u.freed) > 0
	}
	var next []row
	for _, cells := range *r.Holds {
		granted := row{from: int64(cells[0].(float64)), to: int64(cells[1].(float64)), fence: int64(cells[2].(float64))}
		if u.acceptFence(granted) {
			next = append(next, granted)
		}
	}
	if time.Now().Before(u.until) {
		u.release(next)
	}
	u.held, u.until = next, sent.Add(time.Duration(r.HoldMs)*time.Millisecond)
	return len(u.freed)+len(u.ending) > 0
}

// acceptFence reports whether no key of a row was seen with a higher fencing token, and records the token. The caller holds mu.
func (u *upstream) acceptFence(r row) bool {
	for key := r.from; key <= r.to; key++ {
		if u.fences[key] > r.fence {
			return false
		}
	}
	for key := r.from; key <= r.to; key++ {
		u.fences[key] = r.fence
	}
	return true
}

// release releases what the next rows leave out. The caller holds mu.
func (u *upstream) release(next []row) {
	for _, old := range u.held {
		for from := old.from; from <= old.to; {
			to, kept := cover(next, from, old.to)
			if !kept {
				u.ending = append(u.ending, row{from: from, to: to, fence: old.fence})
			}
			from = to + 1
		}
	}
	u.settleEnding()
}

// settleEnding reports released rows as freed once no request is in progress on them. The caller holds mu.
func (u *upstream) settleEnding() {
	var left []row
	for _, r := range u.ending {
		if u.atWork(r) {
			left = append(left, r)
			continue
		}
		u.freed = append(u.freed, []any{r.from, r.to, fmt.Sprintf("%016x", rand.Uint64())})
	}
	u.ending = left
}

// atWork reports whether a request is in progress on a key of a row. The caller holds mu.
func (u *upstream) atWork(r row) bool {
	for key, requests := range u.working {
		if requests > 0 && key >= r.from && key <= r.to {
			return true
		}
	}
	return false
}

// cover returns the end of the longest range from a key on that is entirely covered by one row, or entirely uncovered.
func cover(rows []row, from, last int64) (to int64, covered bool) {
	to = last
	for _, r := range rows {
		if from >= r.from && from <= r.to {
			return min(r.to, last), true
		}
		if r.from > from {
			to = min(to, r.from-1)
		}
	}
	return to, false
}

// leave sends a leave call until it is acknowledged.
func (u *upstream) leave(ctx context.Context) bool {
	body := fmt.Appendf(nil, `{"born":%d}`, u.born)
	for _, address := range u.controls {
		status, _, err := post(ctx, address, "/instances/"+u.id+"/leave", body, nil)
		if err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// post sends a call and returns the response.
func post(ctx context.Context, address, path string, body []byte, header map[string]string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return postWithin(ctx, address, path, body, header)
}

// postWithin is post without a timeout of its own.
func postWithin(ctx context.Context, address, path string, body []byte, header map[string]string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return do(request)
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func do(request *http.Request) (int, []byte, error) {
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
