package health

import (
	"cmp"
	"slices"
	"time"
)

// Server is one session as the ownership table has it.
type Server struct {
	Session  uint64
	Name     string
	Address  string
	Service  string
	Region   string
	Capacity float64 // requests run at the same time
	// Leaving reports whether the end of the session is planned.
	Leaving bool
}

// State is what is thought of a session.
type State int

// States of a session.
const (
	Healthy   State = iota
	Suspected       // some evidence is against it; other hosts are asked to probe
	Failed          // its lease is not to be renewed
)

// String returns the state's name.
func (s State) String() string { return [...]string{"healthy", "suspected", "failed"}[s] }

// Reasons of verdicts.
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

// Assessment is the judgement of one session.
type Assessment struct {
	Session uint64
	State   State
	Reason  string
	// Quarantined sessions get no slots. They may be Healthy.
	Quarantined bool
}

// Detector judges the sessions of one region's servers. It is not safe for
// concurrent use.
type Detector struct {
	settings Settings
	hosts    map[string]*witness
	sessions map[uint64]*watched
	records  map[string]*record // by server name
	suspects []*watched         // sessions to probe
	verdicts []Assessment       // of the last round
	judgedAt time.Duration
}

// witness is an entry host that reported lately.
type witness struct {
	host     Host
	reported time.Duration
	believed bool
}

// watched is what is known of one session.
type watched struct {
	server      Server
	sights      map[string]*sight // by host name
	heartbeat   time.Duration
	load        int
	state       State
	reason      string
	failedAt    time.Duration    // start of the evidence against it
	asked       map[string]asked // hosts that are to probe it
	quarantined bool
	served      bool // it may have slots
	withheld    bool // failed, and counted against the bound
}

// New returns a judge that knows nothing yet.
func New(settings Settings) *Detector {
	return &Detector{
		settings: settings,
		hosts:    map[string]*witness{},
		sessions: map[uint64]*watched{},
		records:  map[string]*record{},
	}
}

// Observe takes a host's report. Sessions that Judge has not seen are passed over.
func (j *Detector) Observe(now time.Duration, host Host, reports []Report) {
	known := j.hosts[host.Name]
	if known == nil {
		if len(j.hosts) >= maxHosts {
			return
		}
		known = &witness{believed: true}
		j.hosts[host.Name] = known
	}
	known.host = host
	known.reported = now
	for _, report := range reports {
		if w := j.sessions[report.Session]; w != nil {
			w.observe(now, host, report)
		}
	}
}

func (w *watched) observe(now time.Duration, host Host, report Report) {
	seen := w.sights[host.Name]
	if seen == nil {
		if len(w.sights) >= maxWitnesses || w.witnessesIn(host.Domain) >= maxDomainWitnesses {
			return
		}
		seen = &sight{}
		w.sights[host.Name] = seen
	}
	seen.host = host
	seen.take(now, report)
}

func (w *watched) witnessesIn(domain string) int {
	count := 0
	for _, seen := range w.sights {
		if seen.host.Domain == domain {
			count++
		}
	}
	return count
}

// Heartbeat takes a server's heartbeat and the load that it reports, in requests.
// Neither proves that it answers requests.
func (j *Detector) Heartbeat(now time.Duration, session uint64, load int) {
	if w := j.sessions[session]; w != nil {
		w.heartbeat = now
		w.load = load
	}
}

// Evaluate returns the verdicts on the sessions that exist, in ascending order. A
// session that was passed before and is not any more has ended: unless it was
// leaving, that counts as a failure of its server. A Failed session stays so.
//
// A call soon after another one, with the same sessions, returns the same
// verdicts.
func (j *Detector) Evaluate(now time.Duration, servers []Server) []Assessment {
	changed := j.follow(now, servers)
	if !changed && now-j.judgedAt < judgeInterval {
		return j.verdicts
	}
	j.judgedAt = now
	j.expire(now)
	j.believe()
	for _, w := range j.sorted() {
		if w.state != Failed {
			w.state, w.reason = j.judge(now, w)
		}
	}
	j.bound(now)
	j.quarantine(now)
	j.conclude()
	return j.verdicts
}

// follow takes the sessions that exist, and reports whether others did before.
func (j *Detector) follow(now time.Duration, servers []Server) bool {
	changed := false
	present := make(map[uint64]bool, len(servers))
	for _, server := range servers {
		present[server.Session] = true
		w := j.sessions[server.Session]
		if w == nil {
			if len(j.sessions) >= maxSessions {
				continue
			}
			w = &watched{sights: map[string]*sight{}, asked: map[string]asked{}, heartbeat: now}
			j.sessions[server.Session] = w
			changed = true
		}
		w.server = server
	}
	for id, w := range j.sessions {
		if present[id] {
			continue
		}
		if w.state != Failed && !w.server.Leaving {
			j.strike(now, w.server, lostStrikes)
		}
		delete(j.sessions, id)
		changed = true
	}
	return changed
}

// expire forgets what is too old to count.
func (j *Detector) expire(now time.Duration) {
	for name, host := range j.hosts {
		if now-host.reported > hostMemory {
			delete(j.hosts, name)
		}
	}
	for _, w := range j.sessions {
		for name, seen := range w.sights {
			seen.expire(now, j.settings.MaxEvidenceAge)
			if now-seen.reported > j.settings.MaxEvidenceAge {
				delete(w.sights, name)
			}
		}
		for name, a := range w.asked {
			if now-a.at > probeAssignment {
				delete(w.asked, name)
			}
		}
	}
	j.forget(now)
}

// believe finds the hosts to which most servers seem to have failed: their own
// link is the likelier cause.
func (j *Detector) believe() {
	seen := map[string]int{}
	against := map[string]int{}
	for _, w := range j.sessions {
		for name, s := range w.sights {
			if s.supports() || s.doubts() || s.probeAnswered.count > 0 {
				seen[name]++
			}
			if s.doubts() {
				against[name]++
			}
		}
	}
	for name, host := range j.hosts {
		host.believed = against[name] < discredit || 2*against[name] <= seen[name]
	}
}

// judge weighs the evidence on one session.
func (j *Detector) judge(now time.Duration, w *watched) (State, string) {
	silence := j.settings.MinFailureSpan
	if w.server.Capacity > 0 && float64(w.load) >= busyLoad*w.server.Capacity {
		silence *= 2
	}
	against, supporting, doubting := 0, 0, false
	domains := map[string]bool{}
	localAnswers := w.localAnswers()
	w.failedAt = now
	for name, s := range w.sights {
		doubting = doubting || s.doubts()
		host := j.hosts[name]
		switch {
		case host == nil || !host.believed:
		case localAnswers && s.host.Region != w.server.Region:
			// The link between the regions is the likelier cause.
		case s.supports():
			supporting++
		case s.against(j.settings, silence):
			against++
			domains[s.host.Domain] = true
			w.failedAt = min(w.failedAt, s.since())
		}
	}
	switch {
	case against >= minWitnesses && len(domains) >= minWitnesses && against >= outvote*supporting:
		return Failed, ReasonFailures
	case against >= minWitnesses && len(domains) >= minWitnesses:
		return Suspected, ReasonOutvoted
	case doubting:
		return Suspected, ReasonFewHosts
	case now-w.heartbeat > j.settings.HeartbeatTimeout:
		return Suspected, ReasonHeartbeat
	}
	return Healthy, ReasonNone
}

// localAnswers reports whether hosts of the server's own region get answers.
func (w *watched) localAnswers() bool {
	for _, s := range w.sights {
		if s.host.Region == w.server.Region && s.supports() {
			return true
		}
	}
	return false
}

// since returns when the failures began that the host sees.
func (s *sight) since() time.Duration {
	if s.failed.count > 0 {
		return s.failed.first
	}
	return s.probeFailed.first
}

// sorted returns the sessions in ascending order.
func (j *Detector) sorted() []*watched {
	all := make([]*watched, 0, len(j.sessions))
	for _, w := range j.sessions {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *watched) int { return cmp.Compare(a.server.Session, b.server.Session) })
	return all
}

// conclude notes the verdicts of a round.
func (j *Detector) conclude() {
	j.suspects = nil
	j.verdicts = make([]Assessment, 0, len(j.sessions))
	for _, w := range j.sorted() {
		verdict := Assessment{Session: w.server.Session, State: w.state, Reason: w.reason, Quarantined: w.quarantined}
		if w.quarantined && w.reason == ReasonNone {
			verdict.Reason = ReasonQuarantine
		}
		j.verdicts = append(j.verdicts, verdict)
		if (w.state != Healthy || w.quarantined) && !w.withheld {
			j.suspects = append(j.suspects, w)
		}
	}
}
