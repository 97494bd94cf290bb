package allowance

import "time"

// Holder is a child's view of its leased share of one pair's limit. The lease runs from the time at
// which the renewal was sent. Holder rejects grants that an allocator may no longer have reserved.
//
// A child that divides its share further must not grant beyond Expiry, and passes to Prepare the
// sum of the shares that its own children may hold.
type Holder struct {
	grant        Grant
	expiry       time.Duration // of the lease
	acknowledged uint64        // number of the latest grant that the child's use does not exceed
}

// SentRenewal describes a renewal that awaits its reply. The caller passes it to Accept together
// with that reply.
type SentRenewal struct {
	At     time.Duration // when the renewal was sent; the lease runs from then
	Held   Grant         // value for Renewal.Held
	latest uint64        // number of the holder's latest grant when the renewal was sent
}

// Prepare starts a renewal. It must be called just before the renewal is sent. inUse is the sum of
// the shares that the child's own children may hold, and 0 for a child that has none.
func (h *Holder) Prepare(now time.Duration, inUse float64) SentRenewal {
	sent := SentRenewal{At: now, latest: h.grant.Number}
	if now >= h.expiry {
		return sent
	}
	if inUse <= h.grant.Share {
		h.acknowledged = h.grant.Number
	}
	sent.Held = Grant{Number: h.acknowledged, Share: h.grant.Share}
	return sent
}

// Accept processes the reply to a renewal. It returns false and leaves the share unchanged if the
// reply is late or out of order, or if the share that the renewal claimed has expired since.
func (h *Holder) Accept(now time.Duration, sent SentRenewal, lease time.Duration, grant Grant) bool {
	expiry := sent.At + lease
	if now >= expiry || grant.Number <= h.grant.Number {
		return false
	}
	if sent.Held.Share > 0 && now >= h.expiry {
		return false
	}
	// An allocator of another epoch reserves only what the renewal claimed, so its grant is void if
	// the holder has accepted another grant since.
	if grant.epoch() != sent.latest>>epochShift && h.grant.Number != sent.latest {
		return false
	}
	h.grant, h.expiry = grant, expiry
	return true
}

// Share returns the share at now in requests per second, 0 once the lease has expired.
func (h *Holder) Share(now time.Duration) float64 {
	if now >= h.expiry {
		return 0
	}
	return h.grant.Share
}

// ShareFor returns the share that the child may divide at now among its own children, each of which
// may hold it for the duration reservation. It is 0 if they could hold it beyond the lease.
func (h *Holder) ShareFor(now, reservation time.Duration) float64 {
	return h.Share(now + reservation)
}

// Expiry returns the time at which the lease expires.
func (h *Holder) Expiry() time.Duration { return h.expiry }
