package dispatch

const (
	// shareBurst is the number of requests that a Share saves up for.
	shareBurst = 2.0
	// urgentDebt is the number of requests that urgent ones may take in advance, at
	// the cost of later ones.
	urgentDebt = 3.0
)

// Share lets a part of the requests for an overloaded server pass, the urgent ones
// first. Where there are many gateways, the leader tells them the part: each sees
// too few requests to judge by itself.
type Share struct {
	credit float64
}

// Allow tells whether a request may go to a server that can take the given part of
// all requests, in thousandths; 0 stands for all.
func (s *Share) Allow(permille, priority int64) bool {
	if permille <= 0 {
		s.credit = 0
		return true
	}
	s.credit = min(s.credit+float64(permille)/1000, shareBurst)
	needed := 1.0
	if priority <= urgentPriority {
		needed = 1 - urgentDebt
	}
	if s.credit < needed {
		return false
	}
	s.credit--
	return true
}

const (
	// leastConnections is the number of connections that a gateway may always open to
	// a server: one may be held by a request that never ends.
	leastConnections = 2
	// unevenness is how many times its equal part of a server's room a gateway may
	// take: clients choose gateways unevenly, and most of them ask for other servers.
	unevenness = 8
)

// ConnectionLimit returns the number of connections that one of many gateways may open
// to a server which accepts most in all. When a key turns hot all gateways send at
// the same moment, before any of them can see the others' requests.
func ConnectionLimit(most, gateways int64, slots int) int {
	gateways = max(gateways, 1)
	part := most / gateways
	room := int64(unevenness * urgentFill * float64(slots) / float64(gateways))
	return int(max(leastConnections, min(part, room)))
}

// OneEachOverloads tells whether one request from each gateway overfills a server.
func OneEachOverloads(gateways int64, slots int) bool {
	return float64(gateways) > ordinaryFill*float64(slots)
}
