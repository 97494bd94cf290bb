package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
)

// applyEvacuations puts a set of evacuated failure domains into force. An older one than that in force is ignored.
func (v *view) applyEvacuations(u evacuation.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.evacuations.Update(u, v.confirmedAt) {
		return
	}
	names := u.Set.Names()
	v.evacuationTrace.Add(time.Now(), trace.Evacuation{Revision: u.Set.Revision, Domains: names})
	log.WithFields(log.Fields{"revision": u.Set.Revision, "domains": strings.Join(names, " ")}).Info("evacuations in force")
	signal(v.configChanged) // so that it is reported at once
	v.signalChange()
}

// evacuationRevision returns the revision of the evacuations in force.
func (v *view) evacuationRevision() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.evacuations.Revision()
}

// leaseOver reports whether requests that leave at the given time may not be sent, because the leader may have
// acknowledged the start of an evacuation that this gateway does not know. It is false if evacuations are not offered.
func (v *view) leaseOver(at time.Duration) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.evacuations.Offered() && !v.configLease.Valid(at)
}

// evacuated reports whether a request that leaves at the given time may not go to a failure domain; owner says whether it
// goes to the owner of its key.
func (v *view) evacuated(at time.Duration, domain string, owner bool) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.evacuations.Blocked(at, domain, owner)
}

// evacuatedFor reports whether a request may not be sent to a server any more, since an evacuation was put into force
// or the lease has ended after the server was chosen.
func (c *call) evacuatedFor(to *target) bool {
	at := c.host.arrivalTime(clockNow())
	return c.host.view.leaseOver(at) || c.host.view.evacuated(at, to.domain, c.keyed)
}

// countSent counts a request to a server if its failure domain is evacuated.
func (h *Host) countSent(to *target) {
	v := h.view
	v.mu.RLock()
	evacuated := v.evacuations.Evacuated(to.domain)
	v.mu.RUnlock()
	if evacuated {
		v.evacuationTraffic.add(to.domain)
		h.metrics.evacuatedRequests.Inc()
	}
}

// evacuationTraffic counts the requests to evacuated failure domains since the last report.
type evacuationTraffic struct {
	mu   sync.Mutex // guards sent; no other lock is acquired while it is held
	sent map[string]int64
}

func (t *evacuationTraffic) add(domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent = map[string]int64{}
	}
	t.sent[domain]++
}

// take returns the counts and resets them.
func (t *evacuationTraffic) take() evacuation.Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var traffic evacuation.Traffic
	for domain, requests := range t.sent {
		traffic.Domains = append(traffic.Domains, evacuation.Sent{Domain: domain, Requests: requests})
	}
	t.sent = nil
	return traffic
}

// reportEvacuationTraffic tells the leader of requests to evacuated failure domains, if there were any.
func (l *leaderLink) reportEvacuationTraffic(client *peer.Client) {
	traffic := l.view.evacuationTraffic.take()
	if len(traffic.Domains) == 0 {
		return
	}
	body, err := cbor.Marshal(traffic)
	if err == nil {
		err = client.Notify(wire.KindEvacuationSent, body)
	}
	if err != nil {
		log.WithError(err).Debug("cannot report requests to evacuated failure domains")
	}
}

func (u *updateHandler) applyEvacuations(from *peer.Conn, body []byte) {
	var update evacuation.Update
	if err := cbor.Unmarshal(body, &update); err != nil {
		log.WithError(err).Error("cannot decode evacuations; resubscribing")
		from.Close()
		return
	}
	u.suspectCold(update.Set)
	u.view.applyEvacuations(update)
}

// suspectCold treats the servers of the failure domains whose evacuation a set ends as cold until the leader has proof
// that they are not: they may have started again meanwhile, and the table that says so may arrive later than the set.
func (u *updateHandler) suspectCold(set evacuation.Set) {
	for _, s := range u.view.serversOfEnded(set) {
		u.backends.get(s).suspectRestart(false)
	}
}

// serversOfEnded returns the servers of the failure domains whose evacuation a set ends.
func (v *view) serversOfEnded(set evacuation.Set) []keyrange.Server {
	v.mu.RLock()
	defer v.mu.RUnlock()
	ended := v.evacuations.EndedBy(set)
	var servers []keyrange.Server
	for _, s := range v.servers {
		if slices.Contains(ended, s.Domain) {
			servers = append(servers, s.Server)
		}
	}
	return servers
}
