package peer

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/wire"
)

// Traffic directions.
const (
	DirectionSent     = "sent"
	DirectionReceived = "received"
)

const kindOther = "other"

// kindNames are the values of the metric label kind. Unknown kinds share one value, so that a peer
// can't create label values.
var kindNames = map[int]string{
	wire.KindRaft:      "raft",
	wire.KindWatch:     "watch",
	wire.KindTable:     "table",
	wire.KindAnnounce:  "announce",
	wire.KindRenew:     "renew",
	wire.KindRunBegin:  "run_begin",
	wire.KindRunFinish: "run_finish",
	wire.KindPropose:   "propose",
	wire.KindJoin:      "join",
	wire.KindReport:    "report",

	wire.KindServerHeartbeat: "server_heartbeat",
	wire.KindServerLeave:     "server_leave",
	wire.KindPutConfig:       "put_config",
	wire.KindGetConfig:       "get_config",
	wire.KindGetServers:      "get_servers",
	wire.KindSubscribe:       "subscribe",
	wire.KindFleetTable:      "fleet_table",
	wire.KindLoadReport:      "load_report",
	wire.KindServerDigest:    "server_digest",
	wire.KindSlotRequest:     "slot_request",
	wire.KindSlotAnswer:      "slot_answer",
	wire.KindSlotRelease:     "slot_release",
}

func kindName(kind int) string {
	if name, ok := kindNames[kind]; ok {
		return name
	}
	return kindOther
}

// Metrics holds the counters of all connections of a process.
type Metrics struct {
	bytes       *prometheus.CounterVec
	frames      *prometheus.CounterVec
	lateReplies prometheus.Counter
	overflows   prometheus.Counter
	refused     prometheus.Counter
}

// NewMetrics creates the counters and registers them unless registerer is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	labels := []string{"direction", "kind"}
	m := &Metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_peer_bytes_total",
			Help: "Bytes of peer messages with their WebSocket headers.",
		}, labels),
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_peer_frames_total",
			Help: "Peer messages.",
		}, labels),
		lateReplies: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galena_peer_late_answers_total",
			Help: "Answers dropped because their call had ended.",
		}),
		overflows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galena_peer_overflows_total",
			Help: "Messages not sent because the send queue was full.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galena_peer_refused_total",
			Help: "Connections refused by the authentication.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.bytes, m.frames, m.lateReplies, m.overflows, m.refused)
	}
	return m
}

// Count is the traffic of one kind of message on one connection.
type Count struct {
	Direction string // DirectionSent or DirectionReceived
	Kind      string
	Frames    uint64
	Bytes     uint64 // including WebSocket headers
}

type countKey struct{ direction, kind string }

// counts holds the traffic counters of one connection and also updates the process's metrics.
type counts struct {
	metrics *Metrics
	mu      sync.Mutex
	byKind  map[countKey]Count
}

func newCounts(metrics *Metrics) *counts {
	return &counts{metrics: metrics, byKind: map[countKey]Count{}}
}

func (c *counts) add(direction string, kind, size int) {
	name := kindName(kind)
	c.metrics.bytes.WithLabelValues(direction, name).Add(float64(size))
	c.metrics.frames.WithLabelValues(direction, name).Inc()
	key := countKey{direction, name}
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.byKind[key]
	count.Direction = direction
	count.Kind = name
	count.Frames++
	count.Bytes += uint64(size)
	c.byKind[key] = count
}

func (c *counts) list() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Count, 0, len(c.byKind))
	for _, count := range c.byKind {
		list = append(list, count)
	}
	return list
}

// sizeOnWire returns the size of a message including its WebSocket header (RFC 6455, section 5.2).
// Messages sent by a client are masked.
func sizeOnWire(payload int, masked bool) int {
	size := payload + 2
	if payload > 0xffff {
		size += 8
	} else if payload > 125 {
		size += 2
	}
	if masked {
		size += 4
	}
	return size
}
