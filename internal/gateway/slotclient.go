package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/slotqueue"
)

const (
	// silentPeriod is the interval at which one request asks a silent leader again.
	silentPeriod = time.Second
	// minSilence is the time without any answer from which the leader counts as silent, some round trips to another region. A
	// request that may wait for less shows nothing.
	minSilence = 100 * time.Millisecond
)

// notifier sends one-way messages to the leader.
type notifier interface {
	Notify(kind int, body []byte) error
}

// slotClient asks the leader for slots of scarce services.
type slotClient struct {
	leader func() notifier // returns nil while there is no subscription

	mu          sync.Mutex // guards the fields below; no other lock is acquired while it is held
	lastID      int64
	pending     map[int64]chan slotqueue.Answer // closed if no answer is to be expected
	unanswered  time.Duration                   // time of the first request since the latest answer; 0 for none
	silent      bool                            // the leader does not answer
	nextAttempt time.Duration                   // when a request may ask a silent leader
}

// slot is a slot that a request has.
type slot struct {
	leader notifier
	id     int64
}

// ask asks for a slot. It returns false if the leader is silent, doesn't answer in time, or the context ends before.
func (q *slotClient) ask(ctx context.Context, request slotqueue.Request, wait time.Duration) (slotqueue.Answer, *slot, bool) {
	leader := q.leader()
	if leader == nil || wait <= 0 || !q.mayAsk(clockNow()) {
		return slotqueue.Answer{}, nil, false
	}
	answers := q.open(&request)
	defer q.forget(request.ID)
	asked := &slot{leader: leader, id: request.ID}
	// If the connection has ended meanwhile, disconnected may have missed this request.
	if q.leader() != leader || !notifySlots(leader, wire.KindSlotRequest, request) {
		q.noteWithdrawn()
		return slotqueue.Answer{}, nil, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case answer, ok := <-answers:
		if ok {
			return answer, asked, true
		}
	case <-ctx.Done():
		q.noteWithdrawn()
	case <-timer.C:
		q.noteTimeout(clockNow())
	}
	asked.release(slotqueue.Unsent, 0)
	return slotqueue.Answer{}, nil, false
}

// open numbers a request, and returns the channel of its answer.
func (q *slotClient) open(request *slotqueue.Request) <-chan slotqueue.Answer {
	answers := make(chan slotqueue.Answer, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	request.ID = q.lastID
	if q.pending == nil {
		q.pending = map[int64]chan slotqueue.Answer{}
	}
	q.pending[request.ID] = answers
	return answers
}

func (q *slotClient) forget(id int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, id)
}

// mayAsk reports whether a request may ask the leader. A silent one is asked by one request in a period.
func (q *slotClient) mayAsk(now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.silent && now < q.nextAttempt {
		return false
	}
	q.nextAttempt = now + silentPeriod
	if q.unanswered == 0 {
		q.unanswered = now
	}
	return true
}

// noteTimeout records that a request got no answer in time. If the leader has answered no other either, it counts as silent,
// and all requests stop waiting for it.
func (q *slotClient) noteTimeout(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.unanswered == 0 || now-q.unanswered < minSilence {
		return
	}
	if !q.silent {
		q.silent, q.nextAttempt = true, now+silentPeriod
	}
	q.endWaits()
}

// noteWithdrawn records that a request is given up before it could get an answer. Without others, the leader owes none.
func (q *slotClient) noteWithdrawn() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) <= 1 {
		q.unanswered = 0
	}
}

// disconnected ends the waits of all requests, since the leader's answers are lost with the connection.
func (q *slotClient) disconnected() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unanswered, q.silent = 0, false
	q.endWaits()
}

// endWaits must be called with mu held.
func (q *slotClient) endWaits() {
	for _, answers := range q.pending {
		close(answers)
	}
	clear(q.pending)
}

// answered passes an answer of the leader to its request. One that comes too late is dropped: the request has withdrawn.
func (q *slotClient) answered(body []byte) {
	var answer slotqueue.Answer
	if err := cbor.Unmarshal(body, &answer); err != nil {
		log.WithError(err).Error("cannot decode answer to a request for a slot")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unanswered, q.silent = 0, false
	if answers := q.pending[answer.ID]; answers != nil {
		delete(q.pending, answer.ID)
		answers <- answer
	}
}

// release gives the slot back. A nil slot stands for none.
func (s *slot) release(outcome slotqueue.Outcome, atServer time.Duration) {
	if s != nil {
		notifySlots(s.leader, wire.KindSlotRelease, slotqueue.Release{ID: s.id, Outcome: outcome, AtServerMicros: atServer.Microseconds()})
	}
}

func notifySlots(leader notifier, kind int, message any) bool {
	body, err := cbor.Marshal(message)
	if err != nil {
		log.WithError(err).Errorf("cannot encode %T", message)
		return false
	}
	return leader.Notify(kind, body) == nil
}
