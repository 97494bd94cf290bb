package routing

import "github.com/galenalug/galenalug/internal/wire"

// Dump is the state of a Link for operators.
type Dump struct {
	Tables []TableDump `json:"tables"`
	Shares []ShareDump `json:"shares"`
}

// TableDump describes the routing table of one group.
type TableDump struct {
	Group   string `json:"group"`
	Version uint64 `json:"version"`
	Source  string `json:"watched_at"` // control host that sends the updates
	Servers int    `json:"servers"`
	Session bool   `json:"session"` // whether this host's session is valid
}

// ShareDump is this host's share of one allowance.
type ShareDump struct {
	Customer string  `json:"customer"`
	Service  string  `json:"service"`
	Share    float64 `json:"share"`  // requests per second
	Demand   float64 `json:"demand"` // requests per second
}

// Dump returns a Dump of the link.
func (l *Link) Dump() any {
	dump := Dump{Shares: l.limits.dump()}
	for _, group := range l.plan {
		entry := TableDump{Group: group.Name, Version: l.table.version(group.Name), Source: l.subscribedHost(group.Name)}
		if group.Name != wire.GroupGlobal {
			entry.Servers, entry.Session = l.table.summary(group.Name)
		}
		dump.Tables = append(dump.Tables, entry)
	}
	return dump
}

// subscribedHost returns the control host that sends updates of a group's table.
func (l *Link) subscribedHost(group string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub := l.subscriptions[group]
	return sub.candidates[sub.current]
}

// summary returns the number of a group's servers and whether this host's session is valid.
func (t *Table) summary(group string) (servers int, session bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.views[group].State().Servers()), t.leases[group].Valid(t.now())
}

func (l *Limits) dump() []ShareDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	var shares []ShareDump
	for pair, limit := range l.pairs {
		shares = append(shares, ShareDump{
			Customer: pair.Customer,
			Service:  pair.Service,
			Share:    limit.holder.Share(l.now()),
			Demand:   limit.demand,
		})
	}
	return shares
}
