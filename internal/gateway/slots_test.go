package gateway

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/admitshare"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
	"github.com/galenalug/galenalug/slotqueue"
)

// fakeQueue is a leader that answers requests for slots, or does not if answer is nil.
type fakeQueue struct {
	slots  *slotClient
	answer *slotqueue.Answer

	mu       sync.Mutex // guards released
	released []slotqueue.Outcome
}

func (q *fakeQueue) Notify(kind int, body []byte) error {
	if kind == wire.KindSlotRelease {
		var release slotqueue.Release
		err := cbor.Unmarshal(body, &release)
		q.mu.Lock()
		defer q.mu.Unlock()
		q.released = append(q.released, release.Outcome)
		return err
	}
	if q.answer == nil {
		return nil
	}
	var request slotqueue.Request
	if err := cbor.Unmarshal(body, &request); err != nil {
		return err
	}
	answer := *q.answer
	answer.ID = request.ID
	reply, err := cbor.Marshal(answer)
	q.slots.answered(reply)
	return err
}

// Guards against requests of a queued service that go to another server than that of their slot, that are lost with the
// leader or an unusable slot, or whose refusal is not truthful, and against slots that are not given back.
func TestQueuedRequests(t *testing.T) {
	for _, c := range []struct {
		name       string
		answer     *slotqueue.Answer
		status     int
		atGranted  int    // requests at the server of the slot
		refusing   bool   // that server refuses them
		wantReturn string // what became of the slots, in order
	}{
		{name: "granted", answer: &slotqueue.Answer{ServerID: "p2"}, status: 200, atGranted: 1, wantReturn: "served"},
		{name: "refused by the server", answer: &slotqueue.Answer{ServerID: "p2"}, status: 200, atGranted: 1, refusing: true, wantReturn: "refused served"},
		{name: "refused by the leader", answer: &slotqueue.Answer{Refused: true}, status: 503},
		{name: "leader silent", status: 200, wantReturn: "unsent"},
		{name: "not queued any more", answer: &slotqueue.Answer{}, status: 200},
		{name: "unknown server", answer: &slotqueue.Answer{ServerID: "p9"}, status: 200, wantReturn: "unsent"},
		{name: "earlier process", answer: &slotqueue.Answer{ServerID: "p2", StartMillis: 5}, status: 200, wantReturn: "unsent"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.ShareCapacity = true }, nil)
			near, granted := newFakeBackend(t, okResponse("near")), newFakeBackend(t, okResponse("granted"))
			if c.refusing {
				granted.responders = []responder{notExecuted, okResponse("granted")}
			}
			f.publish(near)
			f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Full: true, EntryHosts: 1, Servers: []keyrange.Server{
				{ID: "p1", Service: "photos", Address: near.listener.Addr().String(), Domain: "d1", Slots: 6},
				{ID: "p2", Service: "photos", Address: granted.listener.Addr().String(), Domain: "d9", Slots: 6},
			}})
			leader := &fakeQueue{slots: &f.host.slots, answer: c.answer}
			f.host.slots.leader = func() notifier { return leader }
			f.host.admission.update(clockNow(), admitshare.Plan{Queued: []string{"photos"}})
			response, _ := f.do("POST", "/photo/1", strings.NewReader("x"))
			if response.StatusCode != c.status {
				t.Errorf("status %d, want %d", response.StatusCode, c.status)
			}
			if response.StatusCode == 503 && (response.Header.Get("Retry-After") == "" || near.count()+granted.count() > 0) {
				t.Errorf("refusal without Retry-After, or after %d requests to servers", near.count()+granted.count())
			}
			if c.atGranted > 0 && granted.count() < c.atGranted {
				t.Errorf("%d requests at the server of the slot, want %d", granted.count(), c.atGranted)
			}
			leader.mu.Lock()
			defer leader.mu.Unlock()
			if got := joinOutcomes(leader.released); got != c.wantReturn {
				t.Errorf("slots given back: %q, want %q", got, c.wantReturn)
			}
		})
	}
}

func joinOutcomes(outcomes []slotqueue.Outcome) string {
	words := make([]string, len(outcomes))
	for i, outcome := range outcomes {
		if words[i] = string(outcome); outcome == slotqueue.Unsent {
			words[i] = "unsent"
		}
	}
	return strings.Join(words, " ")
}

// countingLeader answers no requests for slots.
type countingLeader struct{ requests atomic.Int64 }

func (l *countingLeader) Notify(kind int, _ []byte) error {
	if kind == wire.KindSlotRequest {
		l.requests.Add(1)
	}
	return nil
}

// Guards against a silent leader that delays each request, and against one that counts as silent since a request had hardly any
// time to wait.
func TestSilentLeaderIsAskedByOneRequest(t *testing.T) {
	leader := &countingLeader{}
	q := &slotClient{leader: func() notifier { return leader }}
	ask := func(wait time.Duration) { _, _, _ = q.ask(context.Background(), slotqueue.Request{}, wait) }
	ask(0)
	ask(time.Millisecond)
	if q.silent {
		t.Fatal("the leader counts as silent after 1 ms")
	}
	var asking sync.WaitGroup
	asking.Go(func() { ask(time.Hour) }) // must not wait longer than the next one
	asking.Go(func() { ask(2 * minSilence) })
	asking.Wait()
	before := leader.requests.Load()
	q.nextAttempt = 0 // the period has passed
	for range 5 {
		asking.Go(func() { ask(2 * minSilence) })
	}
	asking.Wait()
	if n := leader.requests.Load() - before; n != 1 {
		t.Errorf("%d requests asked a silent leader again, want 1", n)
	}
	if q.answered([]byte{0xa0}); q.silent {
		t.Error("the leader counts as silent after an answer")
	}
}

// Guards against requests that wait for answers that are lost with the connection.
func TestLostConnectionEndsWaitsForSlots(t *testing.T) {
	leader := &countingLeader{}
	q := &slotClient{leader: func() notifier { return leader }}
	go func() {
		for leader.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		q.disconnected()
	}()
	started := time.Now()
	if _, _, answered := q.ask(t.Context(), slotqueue.Request{}, 5*time.Second); answered || time.Since(started) > time.Second {
		t.Errorf("answered %v after %v", answered, time.Since(started))
	}
}

// Guards against a request that waits for its whole time since the connection ends just before the request is recorded.
func TestConnectionLostBeforeRequestIsRecorded(t *testing.T) {
	leader, lost := &countingLeader{}, false
	q := &slotClient{}
	q.leader = func() notifier {
		if lost {
			return nil
		}
		lost = true
		q.disconnected()
		return leader
	}
	started := time.Now()
	if _, _, answered := q.ask(t.Context(), slotqueue.Request{}, 2*time.Second); answered || time.Since(started) > time.Second || q.unanswered != 0 {
		t.Errorf("answered %v after %v, a request without an answer since %v", answered, time.Since(started), q.unanswered)
	}
}

// Guards against requests that are sent or delayed by the queue when the gateway gives them up.
func TestRequestsAreGivenUpWhileTheyWaitForSlots(t *testing.T) {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.ShareCapacity = true }, nil)
	server := newFakeBackend(t, okResponse("ok"))
	f.publish(server)
	leader := &countingLeader{}
	f.host.slots.leader = func() notifier { return leader }
	f.host.admission.update(clockNow(), admitshare.Plan{Queued: []string{"photos"}})
	time.AfterFunc(50*time.Millisecond, f.host.giveUp)
	started := time.Now()
	response, _ := f.do("POST", "/photo/1", strings.NewReader("x"))
	if elapsed := time.Since(started); response.StatusCode != 503 || server.count() > 0 || elapsed > 250*time.Millisecond {
		t.Errorf("status %d after %v, %d requests at the server", response.StatusCode, elapsed, server.count())
	}
}

// Guards against cold servers that get no tokens, and so no requests, while all requests of their service are queued.
func TestQueuedRequestsAskForColdTokens(t *testing.T) {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.ShareCapacity = true }, nil)
	server := newFakeBackend(t, okResponse("ok"))
	f.publishWarm(server)
	cold := keyrange.Server{ID: "p1", Service: "photos", Address: server.listener.Addr().String(), Domain: "d1", Slots: 6, WarmupMillis: 30_000}
	f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Full: true, EntryHosts: 1, Servers: []keyrange.Server{cold}})
	leader := &fakeQueue{slots: &f.host.slots, answer: &slotqueue.Answer{Refused: true}}
	f.host.slots.leader = func() notifier { return leader }
	f.host.admission.update(clockNow(), admitshare.Plan{Queued: []string{"photos"}})
	_, _ = f.do("POST", "/photo/1", strings.NewReader("x"))
	b := f.host.backends.get(cold)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nearbyAt == 0 {
		t.Error("the gateway asks for no tokens ahead")
	}
}

// Guards against servers that get no requests for a while since clients left, or since the gateway did not send the request.
func TestSlotOutcomeOfRequestsThatWereGivenUp(t *testing.T) {
	leader := &fakeQueue{}
	for _, err := range []error{
		&exchangeError{reason: reasonCanceled, mayHaveRun: true, err: context.Canceled}, &exchangeError{reason: reasonCanceled, err: context.Canceled},
		&exchangeError{reason: reasonConnect, err: errDrained}, &exchangeError{reason: reasonConnect, err: errNoColdToken},
		&exchangeError{reason: reasonConnect, err: io.EOF}, &exchangeError{reason: reasonTimeout, mayHaveRun: true, err: io.EOF},
	} {
		c := &call{slot: &slot{leader: leader}}
		c.endSlot(nil, nil, err)
	}
	if got := joinOutcomes(leader.released); got != "unsent unsent unsent unsent refused failed" {
		t.Errorf("outcomes %q", got)
	}
}

// publishQueued publishes servers of a service that the given leader queues, with routes to it whose timeout no test reaches.
func (f *fixture) publishQueued(leader notifier, servers ...*fakeBackend) {
	f.publishPhotos(servers...)
	config := testConfig()
	config.Version++
	for i := range config.Routes {
		r := &config.Routes[i]
		r.TimeoutMillis, r.MaxAttempts, r.Shares = 60_000, 1, []routes.Share{{Service: "photos", Weight: 1}}
	}
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		f.t.Fatal(err)
	}
	f.host.slots.leader = func() notifier { return leader }
	f.host.admission.update(clockNow(), admitshare.Plan{Queued: []string{"photos"}})
}

// Guards against slots that nobody can use, since a request that may not be sent again waits for its turn on its connection.
func TestRefusedRequestAheadHoldsNoSlot(t *testing.T) {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.ShareCapacity, s.PipelineDepth = true, 10 }, nil)
	release := make(chan struct{})
	refuse := rawResponse("HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	server := newFakeBackend(t, pathResponder(func(string) { <-release }), refuse)
	leader := &fakeQueue{slots: &f.host.slots, answer: &slotqueue.Answer{ServerID: "a"}}
	f.publishQueued(leader, server)
	client := f.connect()
	client.send(getRequest("/look/0"))
	waitFor(t, "a request at the server", func() bool { return server.count() == 1 })
	client.send(getRequest("/look/1"))
	waitFor(t, "the slots of the refused request", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return joinOutcomes(leader.released) == "refused unsent"
	})
	close(release)
	client.expect(200, "/look/0")
	client.expect(503, "")
}

// Guards against a warm-up that counts as the usual speed of a server, since its requests come from the leader's queue.
func TestServerOfSlotCountsAsWarmingUp(t *testing.T) {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { byWork(s); s.ShareCapacity = true }, nil)
	server := newFakeBackend(t, okResponse("ok"))
	leader := &fakeQueue{slots: &f.host.slots, answer: &slotqueue.Answer{ServerID: "a"}}
	f.publishQueued(leader, server)
	joining := f.publishJoining(time.Minute, server)
	f.do("POST", "/photo/1", nil)
	joining.mu.Lock()
	defer joining.mu.Unlock()
	if server.count() != 1 || !joining.countdown.WarmingUp(clockNow()) {
		t.Errorf("%d requests at the server, which does not count as warming up", server.count())
	}
}
