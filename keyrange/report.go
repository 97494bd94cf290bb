package keyrange

import "time"

// takeReport brings the rows in line with what a server says it holds and gave
// back.
func (c *Coordinator) takeReport(now time.Duration, svc *service, s *server, hb Heartbeat) {
	for i := range svc.rows {
		if svc.rows[i].holder == s.info.ID {
			svc.rows[i].reported = false
		}
	}
	for _, held := range hb.Holds {
		if valid(held.From, held.To, svc.keys()) {
			c.takeHeld(now, svc, s, held)
		}
	}
	if now-s.firstAt >= cleanInterval {
		c.freeUnproven(now, svc, s)
	}
	for _, given := range hb.Released {
		if valid(given.From, given.To, svc.keys()) {
			c.takeReleased(now, svc, s, given)
		}
	}
}

func (svc *service) keys() int64 { return svc.rows[len(svc.rows)-1].to + 1 }

func valid(from, to, keys int64) bool { return from >= 0 && from <= to && to < keys }

// takeHeld notes keys that the server holds. Keys of an earlier leader's grant
// are adopted; of two such holders, the one with the higher token is right.
func (c *Coordinator) takeHeld(now time.Duration, svc *service, s *server, held Range) {
	bound := LeaseBound(c.options.Lease)
	svc.rows.each(held.From, held.To, func(w *row) {
		switch {
		case w.holder == s.info.ID && w.born == s.info.StartMillis:
			if w.unproven {
				c.note(now, EventAdopted, svc, w)
			}
			w.reported, w.unproven = true, false
			w.token = max(w.token, held.Token)
		case w.holder != "" && held.Token > w.token:
			*w = row{
				from: w.from, to: w.to, holder: s.info.ID, born: s.info.StartMillis,
				token: held.Token, until: now + bound, reported: true,
			}
			c.note(now, EventAdopted, svc, w)
		case w.holder == "":
			// The holder's lease is over by our count; wait until it agrees.
			w.freeAt = max(w.freeAt, now+bound)
		}
	})
}

// takeReleased frees keys that the server was told to give back.
func (c *Coordinator) takeReleased(now time.Duration, svc *service, s *server, given Release) {
	svc.rows.each(given.From, given.To, func(w *row) {
		if w.holder == s.info.ID && w.leaving && !w.reported {
			c.note(now, EventReleased, svc, w)
			w.free(now, given.Handover)
		}
	})
}

// freeUnproven frees keys that were granted to the server in an earlier term, but
// that it does not hold by two heartbeats.
func (c *Coordinator) freeUnproven(now time.Duration, svc *service, s *server) {
	for i := range svc.rows {
		w := &svc.rows[i]
		if w.holder == s.info.ID && w.unproven && !w.reported {
			c.note(now, EventReleased, svc, w)
			w.free(now, "")
		}
	}
}

// renew returns the grants of everything that the server is to hold, and lets
// its leases run until the given time. Grants of earlier heartbeats that are not
// recorded yet are left out.
func (svc *service) renew(now time.Duration, s *server, until time.Duration) []Grant {
	var grants []Grant
	for i := range svc.rows {
		w := &svc.rows[i]
		if w.holder != s.info.ID || w.leaving || w.unproven {
			continue
		}
		if w.pendingAt != 0 && w.pendingAt != max(now, 1) {
			continue
		}
		w.until = until
		grants = append(grants, Grant{From: w.from, To: w.to, Token: w.token, Handover: w.handover})
		if w.reported {
			w.handover = ""
		}
	}
	s.granted = len(grants)
	return grants
}

// compact joins neighbours of a server that holds many ranges, under one new
// token.
func (c *Coordinator) compact(svc *service, s *server) {
	if s.granted < compactRows {
		return
	}
	out := svc.rows[:0]
	for _, next := range svc.rows {
		last := len(out) - 1
		if last >= 0 && joinable(&out[last], &next, s.info.ID) {
			out[last].to, out[last].rated = next.to, 0
			out[last].token = c.nextToken() // the record needs no change: the holder stays
			continue
		}
		out = append(out, next)
	}
	svc.rows = out
}

func joinable(a, b *row, id string) bool {
	return a.holder == id && b.holder == id && a.reported && b.reported &&
		!a.leaving && !b.leaving && a.handover == "" && b.handover == ""
}
