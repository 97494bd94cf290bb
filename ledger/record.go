package ledger

import (
	"cmp"
	"slices"
	"unique"
)

// phase is the stored state of a record. A record's phase only increases.
type phase uint8

const (
	phaseRunning phase = iota + 1
	phaseUnknown
	phaseNotKept
	phaseAnswered
)

type digest [MinDigestBytes]byte

// nonce is the nonce of a Begin, padded with zeros.
type nonce [MaxNonceBytes]byte

type accountID struct{ service, customer string }

// account counts a customer's records for one service. Records share its strings to save memory.
type account struct {
	accountID
	records int
}

type runID struct {
	account *account
	key     string
}

// record is one run. All fields except the list pointers are immutable.
type record struct {
	runID
	digest       digest
	nonce        nonce
	attempt      uint64
	deadline     uint64 // logical time from which a running attempt is unknown, milliseconds
	expires      uint64 // logical time from which the record may be removed, milliseconds
	host         unique.Handle[string]
	contentType  unique.Handle[string]
	body         string
	previous     *record // in the list of its expiry bucket
	next         *record
	slotPrevious *record // in the list of its slot
	slotNext     *record
	slot         int32
	status       uint16
	phase        phase
}

// reply returns the record's state at logical time now.
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

// buckets groups records by the second in which they expire. A record's bucket depends only on its
// expiry time, so all replicas remove it at the same command, including those restored from a
// snapshot.
type buckets struct {
	heads  map[uint64]*record
	lowest uint64 // every bucket with a smaller number is empty
}

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

// expired removes the buckets whose second has passed entirely and returns their lists.
func (b *buckets) expired(now uint64) []*record {
	end := now / bucketMillis
	if end <= b.lowest {
		return nil
	}
	var heads []*record
	if end-b.lowest > uint64(len(b.heads)) {
		heads = b.removeBelow(end)
	} else {
		for number := b.lowest; number < end; number++ {
			if head := b.heads[number]; head != nil {
				heads = append(heads, head)
				delete(b.heads, number)
			}
		}
	}
	b.lowest = end
	return heads
}

func (b *buckets) removeBelow(end uint64) []*record {
	var heads []*record
	for number, head := range b.heads {
		if number < end {
			heads = append(heads, head)
			delete(b.heads, number)
		}
	}
	return heads
}

// slotLists groups records by slot, so that moving a slot does not scan the whole ledger.
type slotLists map[slotID]*record

func (l slotLists) insert(r *record) {
	id := r.slotID()
	head := l[id]
	r.slotPrevious, r.slotNext = nil, head
	if head != nil {
		head.slotPrevious = r
	}
	l[id] = r
}

func (l slotLists) remove(r *record) {
	if r.slotNext != nil {
		r.slotNext.slotPrevious = r.slotPrevious
	}
	switch {
	case r.slotPrevious != nil:
		r.slotPrevious.slotNext = r.slotNext
	case r.slotNext != nil:
		l[r.slotID()] = r.slotNext
	default:
		delete(l, r.slotID())
	}
	r.slotPrevious, r.slotNext = nil, nil
}

func (r *record) slotID() slotID { return slotID{r.account.service, int(r.slot)} }

// sortRecords sorts by attempt number, then by run. Attempt numbers can be equal only if a record
// came from another group.
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
