package routes

import "strings"

// Table looks up the routes and services of one configuration. It is immutable and safe for
// concurrent use.
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

// Config returns the configuration. It must not be modified.
func (t *Table) Config() Config { return t.config }

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the client limits.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns all services.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns the service of that name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host with the longest prefix of the path, or nil if there is none.
// The host may include a port.
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

// hostName returns the host name of a Host header, in lower case and without the port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Picker distributes the requests of routes over their shares by smooth weighted round robin: after
// any number of requests, each share has received its part to within one request. It is not safe
// for concurrent use.
type Picker struct {
	version  uint64
	balances map[string][]int64 // by route, the current weight of each share
}

// Pick returns the service for the route's next request. A new configuration version resets the
// balances.
func (p *Picker) Pick(version uint64, r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	if p.version != version || p.balances == nil {
		p.version, p.balances = version, map[string][]int64{}
	}
	balance := p.balances[r.Name]
	if balance == nil {
		balance = make([]int64, len(r.Shares))
		p.balances[r.Name] = balance
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
