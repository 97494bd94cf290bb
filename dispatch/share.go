package dispatch

const (
	// maxCredit is the number of requests up to which a Share accumulates credit.
	maxCredit = 2.0
	// urgentOverdraft is the number of requests by which urgent requests may overdraw the credit, at
	// the cost of later requests.
	urgentOverdraft = 3.0
)

// Share limits the requests for an overloaded server to a given fraction, urgent requests first. It
// is needed where there are many gateways: each sees too few requests to detect the overload
// itself, so the leader tells them the fraction.
type Share struct {
	credit float64
}

// Allow reports whether a request may be sent to a server that can take the given fraction of all
// requests, in thousandths; 0 stands for no limit.
func (s *Share) Allow(permille, priority int64) bool {
	if permille <= 0 {
		s.credit = 0
		return true
	}
	s.credit = min(s.credit+float64(permille)/1000, maxCredit)
	needed := 1.0
	if priority <= maxUrgentPriority {
		needed = 1 - urgentOverdraft
	}
	if s.credit < needed {
		return false
	}
	s.credit--
	return true
}

const (
	// minConnections is the number of connections that a gateway may always open to a server. With a
	// single one, a request that never ends would block all others.
	minConnections = 2
	// skewFactor is the multiple of its equal part of a server's capacity that one gateway may use:
	// clients are spread unevenly over the gateways, and most of them use other servers.
	skewFactor = 8
)

// ConnectionLimit returns the number of connections that each of many gateways may open to a server
// that accepts maxConnections in total, or 0 for any number. The limit is set in advance because, when a key becomes hot,
// all gateways send at the same moment, before any of them can see the others' requests.
func ConnectionLimit(maxConnections, gateways int64, slots int) int {
	gateways = max(gateways, 1)
	limit := int64(skewFactor * urgentRequestsPerSlot * float64(slots) / float64(gateways))
	if maxConnections > 0 {
		limit = min(limit, maxConnections/gateways)
	}
	return int(max(minConnections, limit))
}

// OneEachOverloads reports whether one request from each gateway is more than a server can take.
func OneEachOverloads(gateways int64, slots int) bool {
	return float64(gateways) > ordinaryRequestsPerSlot*float64(slots)
}
