package ledger

import (
	"math"
	"unique"
)

// Limits bounds the ledger's memory. Limits are part of the replicated state, so that replicas with
// different settings still reach the same state.
type Limits struct {
	WindowMillis   uint64 `cbor:"w"` // time a record is kept after its last change
	SlackMillis    uint64 `cbor:"s"` // time from an attempt's deadline until its outcome is unknown
	AccountRecords int    `cbor:"a"` // records of one customer for one service
	TotalRecords   int    `cbor:"t"` // records of all customers
	TotalBodyBytes int    `cbor:"b"` // bytes of all response bodies
}

// DefaultLimits returns the limits of a new ledger.
func DefaultLimits() Limits {
	return Limits{
		WindowMillis:   600_000,
		SlackMillis:    1000,
		AccountRecords: 100_000,
		TotalRecords:   1_000_000,
		TotalBodyBytes: 256 << 20,
	}
}

// maxWindowMillis limits the window and the slack to a week.
const maxWindowMillis = 7 * 24 * 3600 * 1000

func (l Limits) valid() bool {
	return l.WindowMillis > 0 && l.WindowMillis <= maxWindowMillis && l.SlackMillis <= maxWindowMillis &&
		l.AccountRecords > 0 && l.TotalRecords > 0 && l.TotalBodyBytes >= 0
}

type slotID struct {
	service string
	slot    int
}

// slotState is the state of a slot that has been sealed or adopted at least once.
type slotState struct {
	move       uint64 // number of the slot's last move
	sealed     bool   // records must not be added or changed
	adopting   bool   // sealed because chunks of the move are still missing
	sourceTime uint64 // SourceTime of the chunks, while adopting
	adopted    int    // number of records imported so far, while adopting
}

// Ledger is the state machine. New and Restore create one.
type Ledger struct {
	limits      Limits
	now         uint64 // logical time, milliseconds
	lastAttempt uint64
	bodyBytes   int
	accounts    map[accountID]*account
	records     map[runID]*record
	expiry      buckets
	slotRecords slotLists
	slots       map[slotID]slotState
}

// New returns an empty ledger with DefaultLimits.
func New() *Ledger {
	return &Ledger{
		limits:      DefaultLimits(),
		accounts:    make(map[accountID]*account),
		records:     make(map[runID]*record),
		expiry:      buckets{heads: make(map[uint64]*record)},
		slotRecords: make(slotLists),
		slots:       make(map[slotID]slotState),
	}
}

// Now returns the logical time in milliseconds.
func (l *Ledger) Now() uint64 { return l.now }

// Len returns the number of records, including expired ones that are not removed yet.
func (l *Ledger) Len() int { return len(l.records) }

// BodyBytes returns the bytes of all response bodies.
func (l *Ledger) BodyBytes() int { return l.bodyBytes }

// Limits returns the limits in force.
func (l *Ledger) Limits() Limits { return l.limits }

// Apply applies the command at a log index. Indexes must be strictly ascending.
func (l *Ledger) Apply(index uint64, c Command) Reply {
	switch {
	case c.Begin != nil:
		return l.begin(index, c.Begin)
	case c.Finish != nil:
		return l.finish(c.Finish)
	case c.Seal != nil:
		return l.seal(c.Seal)
	case c.Adopt != nil:
		return l.adopt(c.Adopt.Chunk)
	case c.Drop != nil:
		return l.drop(c.Drop)
	case c.Tick != nil:
		l.advance(c.Tick.At)
		return Reply{}
	case c.Configure != nil:
		return l.configure(*c.Configure)
	}
	return Reply{Refusal: RefusedInvalid}
}

// Lookup returns the state of a run without changing the ledger. It also works in a sealed slot.
func (l *Ledger) Lookup(service, customer, key string) (Reply, bool) {
	r := l.find(service, customer, key)
	if r == nil {
		return Reply{}, false
	}
	return r.reply(l.now), true
}

func (l *Ledger) find(service, customer, key string) *record {
	a := l.accounts[accountID{service, customer}]
	if a == nil {
		return nil
	}
	return l.records[runID{a, key}]
}

func (l *Ledger) configure(limits Limits) Reply {
	if !limits.valid() {
		return Reply{Refusal: RefusedInvalid}
	}
	l.limits = limits
	return Reply{}
}

// maxTime is the largest accepted logical time; sums of smaller times cannot overflow.
const maxTime = math.MaxUint64 / 4

// advance moves the logical time forward to at and removes expired records.
func (l *Ledger) advance(at uint64) {
	if at <= l.now || at > maxTime {
		return
	}
	l.now = at
	for _, head := range l.expiry.expired(at) {
		for r := head; r != nil; r = r.next {
			l.removeFromIndexes(r)
		}
	}
}

func (l *Ledger) begin(index uint64, b *Begin) Reply {
	l.advance(b.At)
	if !b.valid() {
		return Reply{Refusal: RefusedInvalid}
	}
	if l.slots[slotID{b.Service, b.Slot}].sealed {
		return Reply{Refusal: RefusedSealed}
	}
	if r := l.find(b.Service, b.Customer, b.Key); r != nil {
		return l.beginRecorded(r, b)
	}
	a := l.accounts[accountID{b.Service, b.Customer}]
	if len(l.records) >= l.limits.TotalRecords || (a != nil && a.records >= l.limits.AccountRecords) {
		return Reply{Refusal: RefusedFull}
	}
	l.lastAttempt = max(index, l.lastAttempt+1)
	r := &record{
		runID:       runID{key: b.Key},
		digest:      digest(b.Digest[:MinDigestBytes]),
		attempt:     l.lastAttempt,
		deadline:    l.now + uint64(b.DeadlineMillis) + l.limits.SlackMillis,
		host:        unique.Make(b.Host),
		contentType: unique.Make(""),
		slot:        int32(b.Slot),
		phase:       phaseRunning,
	}
	copy(r.nonce[:], b.Nonce)
	r.expires = r.deadline + l.limits.WindowMillis
	l.insert(r, accountID{b.Service, b.Customer})
	return Reply{State: StateNew, Attempt: r.attempt}
}

// beginRecorded answers a Begin whose run already has a record. Only StateNew comes with the attempt
// number, which the sender needs for its Finish.
func (l *Ledger) beginRecorded(r *record, b *Begin) Reply {
	if r.digest != digest(b.Digest[:MinDigestBytes]) {
		return Reply{State: StateConflict}
	}
	reply := r.reply(l.now)
	var n nonce
	copy(n[:], b.Nonce)
	if reply.State == StateRunning && r.nonce == n {
		reply.State = StateNew
	}
	if reply.State != StateNew {
		reply.Attempt = 0
	}
	return reply
}

func (l *Ledger) finish(f *Finish) Reply {
	l.advance(f.At)
	if !f.valid() {
		return Reply{Refusal: RefusedInvalid}
	}
	r := l.find(f.Service, f.Customer, f.Key)
	if r == nil || r.attempt != f.Attempt {
		return Reply{Refusal: RefusedStaleAttempt}
	}
	if l.slots[slotID{f.Service, int(r.slot)}].sealed {
		return Reply{Refusal: RefusedSealed}
	}
	if f.State == StateNotRun {
		return l.finishNotRun(r)
	}
	l.applyFinish(r, f)
	return l.records[r.runID].reply(l.now)
}

func (l *Ledger) finishNotRun(r *record) Reply {
	if r.phase != phaseRunning || l.now >= r.deadline {
		return Reply{Refusal: RefusedLate}
	}
	l.remove(r)
	return Reply{State: StateNotRun, Attempt: r.attempt}
}

// applyFinish replaces the record by one with the outcome. It has no effect if the record is already
// in that phase or a later one, or if the response was already declared not kept. A record is never
// modified in place, because a Frozen ledger may be read concurrently.
func (l *Ledger) applyFinish(r *record, f *Finish) {
	outcome := f.phase()
	if outcome == phaseAnswered && !l.canKeepResponse(f) {
		outcome = phaseNotKept
	}
	if outcome <= r.phase || (outcome == phaseAnswered && r.phase == phaseNotKept) {
		return
	}
	changed := *r
	changed.phase = outcome
	if outcome != phaseUnknown {
		changed.status = uint16(f.Status)
	}
	if outcome == phaseAnswered {
		changed.contentType, changed.body = unique.Make(f.ContentType), string(f.Body)
	}
	changed.expires = l.now + l.limits.WindowMillis
	l.expiry.remove(r)
	l.slotRecords.remove(r)
	l.expiry.insert(&changed)
	l.slotRecords.insert(&changed)
	l.records[r.runID] = &changed
	l.bodyBytes += len(changed.body) - len(r.body)
}

func (l *Ledger) canKeepResponse(f *Finish) bool {
	return len(f.Body) <= MaxBodyBytes && len(f.ContentType) <= MaxContentTypeBytes &&
		l.bodyBytes+len(f.Body) <= l.limits.TotalBodyBytes
}

// insert adds a record to every index.
func (l *Ledger) insert(r *record, id accountID) {
	a := l.accounts[id]
	if a == nil {
		a = &account{accountID: id}
		l.accounts[id] = a
	}
	a.records++
	r.account = a
	l.records[r.runID] = r
	l.bodyBytes += len(r.body)
	l.expiry.insert(r)
	l.slotRecords.insert(r)
}

// remove removes a record from every index.
func (l *Ledger) remove(r *record) {
	l.expiry.remove(r)
	l.removeFromIndexes(r)
}

// removeFromIndexes removes a record from every index except the expiry buckets.
func (l *Ledger) removeFromIndexes(r *record) {
	delete(l.records, r.runID)
	l.slotRecords.remove(r)
	l.bodyBytes -= len(r.body)
	r.account.records--
	if r.account.records == 0 {
		delete(l.accounts, r.account.accountID)
	}
}
