package ledger

import "unique"

// storedRecord is a record in a snapshot or SlotChunk. Times are relative to the logical time of
// the snapshot or chunk, so that they stay correct in a group with another logical time.
type storedRecord struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Customer    string
	Key         string
	Slot        int
	Digest      []byte
	Nonce       []byte
	Host        string
	Attempt     uint64
	Phase       uint8
	Deadline    int64 // relative, milliseconds; negative once passed
	Expires     int64 // relative, milliseconds
	Status      int
	ContentType string
	Body        []byte
}

func (r *record) stored(now uint64) storedRecord {
	return storedRecord{
		Service:     r.account.service,
		Customer:    r.account.customer,
		Key:         r.key,
		Slot:        int(r.slot),
		Digest:      r.digest[:],
		Nonce:       r.nonce[:],
		Host:        r.host.Value(),
		Attempt:     r.attempt,
		Phase:       uint8(r.phase),
		Deadline:    int64(r.deadline) - int64(now),
		Expires:     int64(r.expires) - int64(now),
		Status:      int(r.status),
		ContentType: r.contentType.Value(),
		Body:        []byte(r.body),
	}
}

// valid reports whether the record is consistent with a ledger at logical time now whose highest
// attempt number is lastAttempt.
func (s *storedRecord) valid(now, lastAttempt uint64) bool {
	if !validRun(s.Service, s.Customer, s.Key) || !validSlot(s.Slot) || !validName(s.Host) {
		return false
	}
	if len(s.Digest) != MinDigestBytes || len(s.Nonce) != MaxNonceBytes || s.Attempt > lastAttempt {
		return false
	}
	if len(s.Body) > MaxBodyBytes || len(s.ContentType) > MaxContentTypeBytes || s.Status < 0 || s.Status > maxStatus {
		return false
	}
	return s.validPhase() && s.validTimes(now)
}

func (s *storedRecord) validPhase() bool {
	switch phase(s.Phase) {
	case phaseRunning, phaseUnknown:
		return s.Status == 0 && s.ContentType == "" && len(s.Body) == 0
	case phaseNotKept:
		return s.Status >= minStatus && s.ContentType == "" && len(s.Body) == 0
	case phaseAnswered:
		return s.Status >= minStatus
	}
	return false
}

// validTimes reports whether the times are in range. The expiry must not be in a bucket before that of
// now, because buckets.lowest requires those to be empty.
func (s *storedRecord) validTimes(now uint64) bool {
	const maxOffsetMillis = MaxDeadlineMillis + 3*maxWindowMillis
	if s.Deadline > maxOffsetMillis || s.Expires > maxOffsetMillis || s.Deadline < -int64(now) {
		return false
	}
	expires := int64(now) + s.Expires
	return expires >= 0 && uint64(expires)/bucketMillis >= now/bucketMillis
}

// record returns the record for a ledger at logical time now. Ledger.insert sets its account.
func (s *storedRecord) record(now uint64) *record {
	return &record{
		runID:       runID{key: s.Key},
		digest:      digest(s.Digest),
		nonce:       nonce(s.Nonce),
		attempt:     s.Attempt,
		deadline:    uint64(int64(now) + s.Deadline),
		expires:     uint64(int64(now) + s.Expires),
		host:        unique.Make(s.Host),
		contentType: unique.Make(s.ContentType),
		body:        string(s.Body),
		slot:        int32(s.Slot),
		status:      uint16(s.Status),
		phase:       phase(s.Phase),
	}
}

// clampTimes raises relative times that lie too far in the past for the importing ledger, whose
// logical time now may be smaller than the source's: the absolute deadline must not be negative, and
// a record that expired at the source expires now.
func (s *storedRecord) clampTimes(now uint64) *storedRecord {
	s.Deadline = max(s.Deadline, -int64(now))
	s.Expires = max(s.Expires, 0)
	return s
}
