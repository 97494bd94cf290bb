package health

import (
	"cmp"
	"slices"
	"time"
)

// Server is the session of a server as recorded in the ownership table.
type Server struct {
	Session  uint64
	Name     string
	Address  string
	Service  string
	Region   string
	Capacity float64 // requests that the server runs concurrently
	// Leaving states that the session is about to end as planned.
	Leaving bool
}

// State is the health of a session.
type State int

// States of a session.
const (
	Healthy   State = iota
	Suspected       // there is evidence of a failure; other hosts are asked to probe the session
	Failed          // the lease must not be renewed
)

func (s State) String() string { return [...]string{"healthy", "suspected", "failed"}[s] }

// Reasons for an assessment.
const (
	ReasonNone          = ""
	ReasonFailures      = "requests or probes fail at several hosts"
	ReasonFewHosts      = "too few hosts or failure domains see it fail"
	ReasonOutvoted      = "requests succeed at too many hosts"
	ReasonHeartbeat     = "heartbeats are missing"
	ReasonServiceWide   = "most of the service seems to have failed"
	ReasonWithheldLimit = "the withheld part of the service's capacity is at its bound"
	ReasonQuarantine    = "it failed before, and its probes are not answered for long enough yet"
)

// Assessment is the result of Evaluate for one session.
type Assessment struct {
	Session uint64
	State   State
	Reason  string
	// Quarantined states that the session gets no slots yet. It may be Healthy.
	Quarantined bool
}

// Detector detects failed sessions of the servers of one region. It is not safe for concurrent use.
type Detector struct {
	settings    Settings
	hosts       map[string]*reporter
	sessions    map[uint64]*session
	records     map[string]*failureRecord // by server name
	toProbe     []*session                // in ascending order of the sessions
	assessments []Assessment              // of the latest evaluation
	evaluatedAt time.Duration
}

// reporter is an entry host that has reported recently.
type reporter struct {
	host       Host
	reportedAt time.Duration
	trusted    bool // false if most servers seem to fail for this host
}

// session is the state of one session.
type session struct {
	server        Server
	observations  map[string]*observations // by host name
	lastHeartbeat time.Duration
	load          int // requests, as reported with the heartbeat
	state         State
	reason        string
	failingSince  time.Duration           // first failure of the current evidence
	probeRequests map[string]probeRequest // by host name
	quarantined   bool
	mayHoldSlots  bool // was not quarantined in some evaluation
	withheld      bool // failed, and counted towards the limit on withheld capacity
}

// New returns a detector without any evidence.
func New(settings Settings) *Detector {
	return &Detector{
		settings: settings,
		hosts:    map[string]*reporter{},
		sessions: map[uint64]*session{},
		records:  map[string]*failureRecord{},
	}
}

// Observe records the reports of a host. Reports on sessions that were not passed to Evaluate are
// ignored.
func (d *Detector) Observe(now time.Duration, host Host, reports []Report) {
	known := d.hosts[host.Name]
	if known == nil {
		if len(d.hosts) >= maxHosts {
			return
		}
		known = &reporter{trusted: true}
		d.hosts[host.Name] = known
	}
	known.host = host
	known.reportedAt = now
	for _, report := range reports {
		if s := d.sessions[report.Session]; s != nil {
			s.observe(now, host, report)
		}
	}
}

func (s *session) observe(now time.Duration, host Host, report Report) {
	o := s.observations[host.Name]
	if o == nil {
		if len(s.observations) >= maxObservers || s.observersIn(host.Domain) >= maxObserversPerDomain {
			return
		}
		o = &observations{}
		s.observations[host.Name] = o
	}
	o.host = host
	o.add(now, report)
}

func (s *session) observersIn(domain string) int {
	count := 0
	for _, o := range s.observations {
		if o.host.Domain == domain {
			count++
		}
	}
	return count
}

// Heartbeat records a server's heartbeat and the load that it reports, in requests. Neither is
// evidence that the server answers requests.
func (d *Detector) Heartbeat(now time.Duration, id uint64, load int) {
	if s := d.sessions[id]; s != nil {
		s.lastHeartbeat = now
		s.load = load
	}
}

// Evaluate returns the assessments of the existing sessions, in ascending order of the sessions. A
// session that is missing from servers but was passed to an earlier call has ended; unless it was
// leaving, that counts as a failure of its server. A session that is Failed remains Failed.
//
// A call with the same sessions within evaluationInterval of the previous evaluation returns its
// result.
func (d *Detector) Evaluate(now time.Duration, servers []Server) []Assessment {
	changed := d.syncSessions(now, servers)
	if !changed && now-d.evaluatedAt < evaluationInterval {
		return d.assessments
	}
	d.evaluatedAt = now
	d.expire(now)
	d.updateTrust()
	for _, s := range d.sorted() {
		if s.state != Failed {
			s.state, s.reason = d.assess(now, s)
		}
	}
	d.limitWithheld(now)
	d.updateQuarantine(now)
	d.publish()
	return d.assessments
}

// syncSessions updates the set of sessions, and reports whether it changed.
func (d *Detector) syncSessions(now time.Duration, servers []Server) bool {
	changed := false
	present := make(map[uint64]bool, len(servers))
	for _, server := range servers {
		present[server.Session] = true
		s := d.sessions[server.Session]
		if s == nil {
			if len(d.sessions) >= maxSessions {
				continue
			}
			s = &session{observations: map[string]*observations{}, probeRequests: map[string]probeRequest{}, lastHeartbeat: now}
			d.sessions[server.Session] = s
			changed = true
		}
		s.server = server
	}
	for id, s := range d.sessions {
		if present[id] {
			continue
		}
		if s.state != Failed && !s.server.Leaving {
			d.recordFailure(now, s.server, lostLeaseWeight)
		}
		delete(d.sessions, id)
		changed = true
	}
	return changed
}

// expire discards evidence, hosts and records that are too old.
func (d *Detector) expire(now time.Duration) {
	for name, host := range d.hosts {
		if now-host.reportedAt > hostRetention {
			delete(d.hosts, name)
		}
	}
	for _, s := range d.sessions {
		for name, o := range s.observations {
			o.expire(now, d.settings.MaxEvidenceAge)
			if now-o.reportedAt > d.settings.MaxEvidenceAge {
				delete(s.observations, name)
			}
		}
		for name, request := range s.probeRequests {
			if now-request.at > probeRequestLifetime {
				delete(s.probeRequests, name)
			}
		}
	}
	d.expireRecords(now)
}

// updateTrust marks the hosts to which most servers seem to fail as not trusted: the likely cause is
// their own link.
func (d *Detector) updateTrust() {
	observed := map[string]int{} // sessions, by host
	failing := map[string]int{}
	for _, s := range d.sessions {
		for name, o := range s.observations {
			if o.showsSuccess() || o.hasFailures() || o.probeAnswered.count > 0 {
				observed[name]++
			}
			if o.hasFailures() {
				failing[name]++
			}
		}
	}
	for name, host := range d.hosts {
		host.trusted = failing[name] < distrustThreshold || 2*failing[name] <= observed[name]
	}
}

// assess returns the state of one session according to the evidence, and the reason.
func (d *Detector) assess(now time.Duration, s *session) (State, string) {
	minSpan := d.settings.MinFailureSpan
	if s.server.Capacity > 0 && float64(s.load) >= busyLoadFactor*s.server.Capacity {
		minSpan *= 2
	}
	failing, succeeding, anyFailure := 0, 0, false
	domains := map[string]bool{}
	localResponses := s.localResponses()
	s.failingSince = now
	for name, o := range s.observations {
		anyFailure = anyFailure || o.hasFailures()
		host := d.hosts[name]
		switch {
		case host == nil || !host.trusted:
		case localResponses && o.host.Region != s.server.Region:
			// A failure seen only from other regions is more likely one of the link between them.
		case o.showsSuccess():
			succeeding++
		case o.showsFailure(d.settings, minSpan):
			failing++
			domains[o.host.Domain] = true
			s.failingSince = min(s.failingSince, o.failingSince())
		}
	}
	switch {
	case failing >= minObservers && len(domains) >= minObservers && failing >= failingPerSucceeding*succeeding:
		return Failed, ReasonFailures
	case failing >= minObservers && len(domains) >= minObservers:
		return Suspected, ReasonOutvoted
	case anyFailure:
		return Suspected, ReasonFewHosts
	case now-s.lastHeartbeat > d.settings.HeartbeatTimeout:
		return Suspected, ReasonHeartbeat
	}
	return Healthy, ReasonNone
}

// localResponses reports whether hosts of the server's own region get responses.
func (s *session) localResponses() bool {
	for _, o := range s.observations {
		if o.host.Region == s.server.Region && o.showsSuccess() {
			return true
		}
	}
	return false
}

// failingSince returns the time of the first failure in the current streak.
func (o *observations) failingSince() time.Duration {
	if o.failed.count > 0 {
		return o.failed.first
	}
	return o.probeFailed.first
}

// sorted returns the sessions in ascending order of their IDs.
func (d *Detector) sorted() []*session {
	all := make([]*session, 0, len(d.sessions))
	for _, s := range d.sessions {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *session) int { return cmp.Compare(a.server.Session, b.server.Session) })
	return all
}

// publish stores the assessments and the sessions to probe.
func (d *Detector) publish() {
	d.toProbe = nil
	d.assessments = make([]Assessment, 0, len(d.sessions))
	for _, s := range d.sorted() {
		assessment := Assessment{Session: s.server.Session, State: s.state, Reason: s.reason, Quarantined: s.quarantined}
		if s.quarantined && s.reason == ReasonNone {
			assessment.Reason = ReasonQuarantine
		}
		d.assessments = append(d.assessments, assessment)
		if (s.state != Healthy || s.quarantined) && !s.withheld {
			d.toProbe = append(d.toProbe, s)
		}
	}
}
