package fleet

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/slotqueue"
)

// slotMetrics are the metrics of the queues of scarce services.
type slotMetrics struct {
	answers *prometheus.CounterVec
	waiting *prometheus.GaugeVec
	granted *prometheus.GaugeVec
}

func newSlotMetrics() *slotMetrics {
	return &slotMetrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalug_fleet_slot_answers_total", Help: "Requests for slots of scarce services, by the leader's answer.",
		}, []string{"answer"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenalug_fleet_slot_waiting", Help: "Requests that wait for a slot of a scarce service.",
		}, []string{"service"}),
		granted: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenalug_fleet_slots_granted", Help: "Slots of a scarce service that requests have.",
		}, []string{"service"}),
	}
}

// reset removes the values of services, which only a leader has.
func (m *slotMetrics) reset() {
	m.waiting.Reset()
	m.granted.Reset()
}

// updateSlotQueues brings the queues up to date with the services that are queued and with their servers. It must be called
// with Host.mu held.
func (h *Host) updateSlotQueues(now time.Duration, l *leadership, queued []string) {
	for _, service := range l.slots.Services() {
		if !slices.Contains(queued, service) {
			h.sendSlots(l.slots.Remove(service))
			h.metrics.slots.waiting.DeleteLabelValues(service)
			h.metrics.slots.granted.DeleteLabelValues(service)
		}
	}
	for _, service := range queued {
		h.sendSlots(l.slots.SetServers(now, service, h.slotServers(now, l, service)))
		waiting, granted := l.slots.Waiting(service)
		h.metrics.slots.waiting.WithLabelValues(service).Set(float64(waiting))
		h.metrics.slots.granted.WithLabelValues(service).Set(float64(granted))
	}
}

// slotServers returns the servers of a service that may get requests from its queue. Cold servers are left out: gateways send
// them requests with tokens. Others that warm up count with a part of their speed.
func (h *Host) slotServers(now time.Duration, l *leadership, service string) []slotqueue.Server {
	var servers []slotqueue.Server
	for _, s := range l.coordinator.AvailableServers(now, service) {
		if s.WarmupMillis > 0 && l.coordinator.WarmupRate(s.ID) > 0 {
			continue
		}
		server := slotqueue.Server{
			ID: s.ID, StartMillis: s.StartMillis, Domain: s.Domain, Region: h.settings.Domains[s.Domain], Slots: s.Slots, Speed: 1,
		}
		if l.loads != nil {
			server.Speed = l.loads.Speed(s.ID)
		}
		if s.WarmupMillis > 0 { // the speed in loads is that of the warm server
			server.Speed *= keyrange.WarmupFactor
		}
		servers = append(servers, server)
	}
	return servers
}

// handleSlotRequest adds a gateway's request for a slot to the queue.
func (h *Host) handleSlotRequest(from *peer.Conn, body []byte) {
	var request slotqueue.Request
	if err := cbor.Unmarshal(body, &request); err != nil {
		log.WithError(err).Warn("invalid request for a slot dropped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leading; l != nil {
		h.sendSlots(l.slots.Add(clock.Now(), from, request))
	}
}

// handleSlotRelease takes back a slot of a gateway's request.
func (h *Host) handleSlotRelease(from *peer.Conn, body []byte) {
	var release slotqueue.Release
	if err := cbor.Unmarshal(body, &release); err != nil {
		log.WithError(err).Warn("invalid release of a slot dropped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leading; l != nil {
		h.sendSlots(l.slots.Release(clock.Now(), from, release))
	}
}

// forgetSlots drops the requests of a gateway that wait. It must be called with Host.mu held.
func (h *Host) forgetSlots(conn *peer.Conn) {
	if h.leading != nil {
		h.leading.slots.Forget(conn)
	}
}

// tickSlots does the periodic work of the queues. It must be called with Host.mu held.
func (h *Host) tickSlots(now time.Duration, l *leadership) { h.sendSlots(l.slots.Tick(now)) }

// sendSlots sends answers to gateways. It must be called with Host.mu held.
func (h *Host) sendSlots(decisions []slotqueue.Decision[*peer.Conn]) {
	for _, d := range decisions {
		h.metrics.slots.answers.WithLabelValues(slotAnswer(d.Answer)).Inc()
		body, err := cbor.Marshal(d.Answer)
		if err != nil {
			log.WithError(err).Error("encoding an answer to a request for a slot failed")
			return
		}
		_ = d.Gateway.Notify(wire.KindSlotAnswer, body) // on an error the connection ends, and with it the gateway's wait
	}
}

// slotAnswer returns the label of an answer.
func slotAnswer(a slotqueue.Answer) string {
	switch {
	case a.Refused:
		return "refused"
	case a.ServerID == "":
		return "not-queued"
	}
	return "granted"
}
