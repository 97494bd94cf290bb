package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
)

// trafficAge is the age up to which a gateway's report of requests to evacuated failure domains counts. Gateways repeat
// it every 500 ms, or less often if there are hundreds of them, as long as there are such requests.
const trafficAge = 3 * time.Second

// evacuationReport is the latest report of a gateway's requests to evacuated failure domains.
type evacuationReport struct {
	at   time.Duration
	sent []evacuation.Sent
}

func (h *Host) handleEvacuationTraffic(gateway string, body []byte) {
	var traffic evacuation.Traffic
	if err := cbor.Unmarshal(body, &traffic); err != nil {
		log.WithError(err).Warn("invalid report of requests to evacuated failure domains dropped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading != nil {
		h.leading.evacuations.traffic[gateway] = evacuationReport{at: clock.Now(), sent: traffic.Domains}
	}
}

// Evacuations returns the progress of the evacuations. The read is linearizable.
func (h *Host) Evacuations(ctx context.Context) (evacuation.Status, error) {
	var status evacuation.Status
	if !h.offersEvacuations() {
		return status, errors.Wrap(ErrUnknownDomain, "evacuations are not offered")
	}
	if !h.Leads() {
		err := h.forwardToLeader(ctx, wire.KindGetEvacuations, struct{}{}, &status)
		return status, err
	}
	if err := h.runner.ReadBarrier(ctx); err != nil {
		return status, mapLogError(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return status, errors.Wrap(ErrUnavailable, "this host is no longer the leader")
	}
	return h.evacuationStatus(clock.Now(), h.leading), nil
}

// evacuationStatus must be called with Host.mu held.
func (h *Host) evacuationStatus(now time.Duration, l *leadership) evacuation.Status {
	set := h.state.evacuationSet()
	status := evacuation.Status{Revision: set.Revision, Domains: []evacuation.DomainStatus{}, Behind: []string{}}
	for _, d := range set.Domains {
		status.Domains = append(status.Domains, evacuation.DomainStatus{
			Name: d.Name, Revision: d.Revision, StartMillis: d.StartMillis, StartedBy: d.StartedBy,
			Requests: l.evacuations.requests(now, d.Name), Keys: l.coordinator.KeysInDomain(d.Name),
		})
	}
	for conn, s := range h.subscribers {
		if s.evacuations != set.Revision {
			status.Behind = append(status.Behind, conn.Identity().Name)
		}
	}
	slices.Sort(status.Behind)
	return status
}

// requests returns the number of requests to a failure domain in the latest reports of the gateways.
func (e *evacuationState) requests(now time.Duration, domain string) int64 {
	total := int64(0)
	for gateway, report := range e.traffic {
		if now-report.at > trafficAge {
			delete(e.traffic, gateway)
			continue
		}
		for _, sent := range report.sent {
			if sent.Domain == domain {
				total += sent.Requests
			}
		}
	}
	return total
}
