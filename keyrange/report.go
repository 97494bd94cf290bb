package keyrange

import "time"

// applyReport updates the segments from the keys that a server reports as held and released.
func (c *Coordinator) applyReport(now time.Duration, svc *service, s *server, hb Heartbeat) {
	for i := range svc.segments {
		if svc.segments[i].holder == s.info.ID {
			svc.segments[i].reported = false
		}
	}
	for _, held := range hb.Holds {
		if valid(held.From, held.To, svc.keys()) {
			c.applyHeld(now, svc, s, held)
		}
	}
	if now-s.firstAt >= confirmInterval {
		c.freeUnconfirmed(now, svc, s)
	}
	for _, release := range hb.Released {
		if valid(release.From, release.To, svc.keys()) {
			c.applyReleased(now, svc, s, release)
		}
	}
}

func (svc *service) keys() int64 { return svc.segments[len(svc.segments)-1].to + 1 }

func valid(from, to, keys int64) bool { return from >= 0 && from <= to && to < keys }

// applyHeld processes a range that the server reports as held. Grants of an earlier leader are
// adopted. Keys of another holder stay there: each grant is recorded before it is sent, so that
// no server can know of a newer one than the leader.
func (c *Coordinator) applyHeld(now time.Duration, svc *service, s *server, held Range) {
	bound := LeaseBound(c.options.Lease)
	svc.segments.forEach(held.From, held.To, func(seg *segment) {
		switch {
		case seg.holder == s.info.ID && seg.startMillis == s.info.StartMillis:
			if seg.unconfirmed {
				c.recordEvent(now, EventAdopted, svc, seg)
			}
			seg.reported, seg.unconfirmed = true, false
			seg.token = max(seg.token, held.Token)
		case seg.holder == "":
			// The lease has expired by the leader's clock, but the server may still consider it
			// valid: grant the keys only after a further lease bound.
			seg.freeAt = max(seg.freeAt, now+bound)
		}
	})
}

// applyReleased frees keys that were revoked from the server.
func (c *Coordinator) applyReleased(now time.Duration, svc *service, s *server, release Release) {
	svc.segments.forEach(release.From, release.To, func(seg *segment) {
		if seg.holder == s.info.ID && seg.revoking && !seg.reported {
			c.recordEvent(now, EventReleased, svc, seg)
			seg.free(now, release.Handover)
		}
	})
}

// freeUnconfirmed frees keys that were granted to the server in an earlier term but are
// missing from its reports. A heartbeat that the server sent before it could know of the grant is no
// proof: such heartbeats may arrive late, after the server has received the keys.
func (c *Coordinator) freeUnconfirmed(now time.Duration, svc *service, s *server) {
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.holder == s.info.ID && seg.unconfirmed && !seg.reported && s.knowsOf(seg) {
			c.recordEvent(now, EventReleased, svc, seg)
			seg.free(now, "")
		}
	}
}

// knowsOf reports whether the server's newest heartbeat was sent after the one that was answered with
// the grant, or by a later incarnation. Sequence numbers of different incarnations don't compare.
func (s *server) knowsOf(seg *segment) bool {
	if s.info.StartMillis != seg.startMillis {
		return s.info.StartMillis > seg.startMillis
	}
	return s.sequence > seg.sequence
}

// renew returns the grants of all keys that the server is to hold, and extends their leases to
// leaseEnd. Grants of earlier heartbeats that are still being recorded are left out.
func (svc *service) renew(now time.Duration, s *server, leaseEnd time.Duration) []Grant {
	var grants []Grant
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.holder != s.info.ID || seg.revoking || seg.unconfirmed {
			continue
		}
		if seg.pendingSince != 0 && seg.pendingSince != max(now, 1) {
			continue
		}
		seg.leaseEnd = leaseEnd
		grants = append(grants, Grant{From: seg.from, To: seg.to, Token: seg.token, Handover: seg.handover})
		if seg.reported {
			seg.handover = ""
		}
	}
	s.granted = len(grants)
	return grants
}

// compact merges adjacent segments of a server that holds many, under one new token.
func (c *Coordinator) compact(svc *service, s *server, ranges int) {
	if ranges < compactThreshold {
		return
	}
	out := svc.segments[:0]
	for _, next := range svc.segments {
		last := len(out) - 1
		if last >= 0 && compactable(&out[last], &next, s.info.ID) {
			out[last].to, out[last].rateVersion = next.to, 0
			out[last].token = c.nextToken() // the record stays valid, since the holder does not change
			out[last].leaseEnd = max(out[last].leaseEnd, next.leaseEnd)
			out[last].call.confirmedAt, out[last].call.connection = 0, 0
			svc.changes++
			continue
		}
		out = append(out, next)
	}
	svc.segments = out
}

func compactable(a, b *segment, id string) bool {
	return a.holder == id && b.holder == id && a.reported && b.reported &&
		!a.revoking && !b.revoking && a.handover == "" && b.handover == "" && a.callsSettled() && b.callsSettled()
}
