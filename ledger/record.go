package ledger

import (
	"cmp"
	"slices"
	"unique"
)

// phase is a record's state as it is kept. A later phase replaces an earlier
// one, never the reverse.
type phase uint8

const (
	phaseRunning phase = iota + 1
	phaseUnknown
	phaseNotKept
	phaseAnswered
)

type digest [MinDigestBytes]byte

// nonce is padded with zeros.
type nonce [MaxNonceBytes]byte

type accountID struct{ service, customer string }

// account counts a customer's records for one service. Records share its
// strings.
type account struct {
	accountID
	records int
}

type runID struct {
	account *account
	key     string
}

// record is one run. Its fields but for the list pointers never change.
type record struct {
	runID
	digest      digest
	nonce       nonce
	attempt     uint64
	deadline    uint64 // logical time from which a running try is unknown, milliseconds
	expires     uint64 // logical time from which the record may be removed, milliseconds
	host        unique.Handle[string]
	contentType unique.Handle[string]
	body        string
	previous    *record // in the expiry bucket
	next        *record
	slotBefore  *record // in the list of its slot
	slotAfter   *record
	slot        int32
	status      uint16
	phase       phase
}

// reply describes the record at a logical time.
func (r *record) reply(now uint64) Reply {
	reply := Reply{Attempt: r.attempt}
	switch {
	case r.phase == phaseRunning && now < r.deadline:
		reply.State = StateRunning
	case r.phase == phaseRunning:
		reply.State, reply.Reason = StateUnknown, ReasonDeadline
	case r.phase == phaseUnknown:
		reply.State, reply.Reason = StateUnknown, ReasonNoAnswer
	case r.phase == phaseNotKept:
		reply.State, reply.Reason, reply.Status = StateUnknown, ReasonAnswerNotKept, int(r.status)
	default:
		reply.State, reply.Status, reply.ContentType = StateAnswered, int(r.status), r.contentType.Value()
		reply.Body = []byte(r.body)
	}
	return reply
}

// buckets holds records by the second in which they expire. A record's bucket
// depends on its expiry time only, so that replicas remove it at the same
// command, also after a restore.
type buckets struct {
	heads   map[uint64]*record
	emptied uint64 // every bucket below this one is empty
}

// bucketMillis is the width of one bucket.
const bucketMillis = 1000

func (b *buckets) insert(r *record) {
	number := r.expires / bucketMillis
	head := b.heads[number]
	r.previous, r.next = nil, head
	if head != nil {
		head.previous = r
	}
	b.heads[number] = r
}

func (b *buckets) remove(r *record) {
	number := r.expires / bucketMillis
	if r.next != nil {
		r.next.previous = r.previous
	}
	switch {
	case r.previous != nil:
		r.previous.next = r.next
	case r.next != nil:
		b.heads[number] = r.next
	default:
		delete(b.heads, number)
	}
	r.previous, r.next = nil, nil
}

// expired takes out the buckets whose whole second has passed.
func (b *buckets) expired(now uint64) []*record {
	end := now / bucketMillis
	if end <= b.emptied {
		return nil
	}
	var heads []*record
	if end-b.emptied > uint64(len(b.heads)) {
		heads = b.takeAllBelow(end)
	} else {
		for number := b.emptied; number < end; number++ {
			if head := b.heads[number]; head != nil {
				heads = append(heads, head)
				delete(b.heads, number)
			}
		}
	}
	b.emptied = end
	return heads
}

func (b *buckets) takeAllBelow(end uint64) []*record {
	var heads []*record
	for number, head := range b.heads {
		if number < end {
			heads = append(heads, head)
			delete(b.heads, number)
		}
	}
	return heads
}

// slotLists holds records by their slot, so that a slot moves without a pass
// over the whole ledger.
type slotLists map[slotID]*record

func (l slotLists) insert(r *record) {
	id := r.slotID()
	head := l[id]
	r.slotBefore, r.slotAfter = nil, head
	if head != nil {
		head.slotBefore = r
	}
	l[id] = r
}

func (l slotLists) remove(r *record) {
	if r.slotAfter != nil {
		r.slotAfter.slotBefore = r.slotBefore
	}
	switch {
	case r.slotBefore != nil:
		r.slotBefore.slotAfter = r.slotAfter
	case r.slotAfter != nil:
		l[r.slotID()] = r.slotAfter
	default:
		delete(l, r.slotID())
	}
	r.slotBefore, r.slotAfter = nil, nil
}

func (r *record) slotID() slotID { return slotID{r.account.service, int(r.slot)} }

// sortRecords sorts by attempt. Only records that came from another group may
// have the same one.
func sortRecords(records []*record) {
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(a.attempt, b.attempt),
			cmp.Compare(a.account.service, b.account.service),
			cmp.Compare(a.account.customer, b.account.customer),
			cmp.Compare(a.key, b.key),
		)
	})
}
