package allowance

import "time"

// Holder keeps a child's share of one pair. It counts the lease from the moment
// at which the renewal was sent, and takes no grant that an allocator may no
// longer have reserved.
//
// A child that divides its share further must not grant beyond Until, and tells
// Prepare how much its own children may hold.
type Holder struct {
	grant        Grant
	until        time.Duration // end of the lease
	acknowledged uint64        // latest grant to which use has been lowered
}

// SentRenewal is a renewal on its way. It belongs to the reply that answers it.
type SentRenewal struct {
	At     time.Duration
	Held   Grant  // for Renewal.Held
	latest uint64 // number of the holder's latest grant
}

// Prepare starts a renewal at now, just before it is sent. inUse is the sum that
// the child's own children may hold, and 0 for a child that has none.
func (h *Holder) Prepare(now time.Duration, inUse float64) SentRenewal {
	sent := SentRenewal{At: now, latest: h.grant.Number}
	if now >= h.until {
		return sent
	}
	if inUse <= h.grant.Share {
		h.acknowledged = h.grant.Number
	}
	sent.Held = Grant{Number: h.acknowledged, Share: h.grant.Share}
	return sent
}

// Accept takes the reply to a renewal. It returns false if it leaves the share as
// it was: the reply came too late or out of order, or the share that the renewal
// claimed ended meanwhile.
func (h *Holder) Accept(now time.Duration, sent SentRenewal, lease time.Duration, grant Grant) bool {
	until := sent.At + lease
	if now >= until || grant.Number <= h.grant.Number {
		return false
	}
	if sent.Held.Share > 0 && now >= h.until {
		return false
	}
	// Another allocator answers on the strength of what the renewal claimed.
	if grant.epoch() != sent.latest>>epochShift && h.grant.Number != sent.latest {
		return false
	}
	h.grant, h.until = grant, until
	return true
}

// Share returns the share at now, requests a second; 0 after the lease.
func (h *Holder) Share(now time.Duration) float64 {
	if now >= h.until {
		return 0
	}
	return h.grant.Share
}

// ShareFor returns the share that the child may divide at now among children of
// its own that hold it for reservation, so that none holds it beyond the lease.
func (h *Holder) ShareFor(now, reservation time.Duration) float64 {
	return h.Share(now + reservation)
}

// Expiry returns the end of the lease.
func (h *Holder) Expiry() time.Duration { return h.until }
