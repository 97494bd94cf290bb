package routes

import "strings"

// Table selects routes and services of one configuration. Match and Service may
// be called at the same time; a Picker may not.
type Table struct {
	config   Config
	byHost   map[string]map[string]*Route // by host, then by path prefix
	services map[string]*Service
}

// NewTable returns the table of a valid configuration.
func NewTable(c Config) *Table {
	t := &Table{config: c, byHost: map[string]map[string]*Route{}, services: map[string]*Service{}}
	for i := range c.Routes {
		r := &t.config.Routes[i]
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*Route{}
		}
		t.byHost[host][r.PathPrefix] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &t.config.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits of clients.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns the services.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns a service, or nil if there is none of that name.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of a host and a path: the one with the longest prefix
// that begins the path, or nil. The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.byHost[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// hostName returns a Host header's name in lower case, without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Picker divides the requests of routes among their shares, by smooth weighted
// round robin: after n requests, each share has had its part within one.
type Picker struct {
	version uint64
	current map[string][]int64 // by route, the balance of each share
}

// Pick returns the service of the route's next request. Balances start anew with
// each configuration.
func (p *Picker) Pick(version uint64, r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	if p.version != version || p.current == nil {
		p.version, p.current = version, map[string][]int64{}
	}
	balance := p.current[r.Name]
	if balance == nil {
		balance = make([]int64, len(r.Shares))
		p.current[r.Name] = balance
	}
	best, total := -1, int64(0)
	for i, s := range r.Shares {
		balance[i] += s.Weight
		total += s.Weight
		if s.Weight > 0 && (best < 0 || balance[i] > balance[best]) {
			best = i
		}
	}
	balance[best] -= total
	return r.Shares[best].Service
}
