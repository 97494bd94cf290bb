package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	modelStep     = 5 * time.Millisecond
	modelGateways = 8
	modelServers  = 22
	modelDowntime = 3 * time.Second
)

// model is a service with gateways, servers that crash, and clients that repeat their requests. Only the
// model knows which requests are crashing.
type model struct {
	random    *rand.Rand
	tracker   *Tracker
	tables    []*Table
	now       time.Duration
	downUntil []time.Duration // by server
	births    []int64         // by server; a new process each time
	crashing  map[string]bool
	running   []modelRun
	crashes   map[string][]time.Duration // times at which servers crashed, by crashing request
	refused   map[string]int             // requests that were not sent, by request
}

// modelRun is a request at a server.
type modelRun struct {
	request string
	server  int
	gateway int
	endsAt  time.Duration
}

func newModel(seed uint64) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 7)), tracker: NewTracker(), crashing: map[string]bool{}, crashes: map[string][]time.Duration{},
		refused: map[string]int{}, downUntil: make([]time.Duration, modelServers), births: make([]int64, modelServers), now: time.Second,
	}
	for range modelGateways {
		m.tables = append(m.tables, NewTable())
	}
	return m
}

func modelRequest(name string, number int) string {
	return Fingerprint([]byte(name), []byte(fmt.Sprint(number)))
}

func modelServer(number int) string { return fmt.Sprint("s", number) }

// send sends a request through a random gateway to a server, unless it is quarantined there.
func (m *model) send(request string, server int) {
	gateway := m.random.IntN(modelGateways)
	if m.tables[gateway].State(m.now, request).Quarantined > 0 {
		m.refused[request]++
		return
	}
	if m.downUntil[server] > m.now {
		return
	}
	if m.tables[gateway].State(m.now, request).Crashes > 0 && !m.tracker.Permit(m.now, PermitRequest{Request: request, ServerID: modelServer(server)}).Granted {
		return
	}
	work := 20*time.Millisecond + time.Duration(m.random.IntN(120))*time.Millisecond
	m.running = append(m.running, modelRun{request, server, gateway, m.now + work})
}

// step ends the runs that are due. A crashing request crashes its server.
func (m *model) step() {
	m.now += modelStep
	var due, rest []modelRun
	for _, run := range m.running {
		if run.endsAt > m.now {
			rest = append(rest, run)
		} else {
			due = append(due, run)
		}
	}
	m.running = rest
	for _, run := range due {
		switch {
		case m.downUntil[run.server] > m.now:
		case m.crashing[run.request]:
			m.running = append(m.running, run)
			m.crashes[run.request] = append(m.crashes[run.request], m.now)
			m.crash(run.server)
		case m.tables[run.gateway].State(m.now, run.request).Crashes > 0:
			m.tracker.Observe(m.now, Report{Answered: []string{run.request}})
		}
	}
	m.publish()
}

// crash ends a server. Each gateway reports the requests that it had there.
func (m *model) crash(server int) {
	reports := make([][]string, modelGateways)
	var rest []modelRun
	for _, run := range m.running {
		if run.server == server {
			reports[run.gateway] = append(reports[run.gateway], run.request)
		} else {
			rest = append(rest, run)
		}
	}
	m.running = rest
	m.births[server]++
	m.downUntil[server] = m.now + modelDowntime
	for _, requests := range reports {
		if len(requests) == 0 {
			continue
		}
		m.tracker.Observe(m.now, Report{Crashes: []Crash{{ServerID: modelServer(server), StartMillis: m.births[server], Requests: requests}}})
	}
	m.publish()
}

func (m *model) publish() {
	u := m.tracker.Changes(m.now)
	for _, table := range m.tables {
		table.Apply(m.now, u)
	}
}

// load sends the requests of one step: popular ones, one that is repeated for half a second, and each
// client's own.
func (m *model) load(step int) {
	for range 4 {
		server := m.random.IntN(modelServers)
		switch m.random.IntN(4) {
		case 0:
			m.send(modelRequest("popular", m.random.IntN(5)), server)
		case 1:
			m.send(modelRequest("again", step/100), server)
		default:
			m.send(modelRequest("own", m.random.IntN(3000)), server)
		}
	}
}

// Guards against a crashing request that reaches servers without end, and against requests that are
// quarantined for having been at the same servers.
func TestOnlyCrashingRequestsAreQuarantined(t *testing.T) {
	const (
		maxLateCrashes = 3               // later than lateAfter after the third crash
		lateAfter      = 3 * time.Second // stableWindowMs of the users' rule
	)
	for seed := range uint64(40) {
		m := newModel(seed)
		for i := range 3 {
			m.crashing[modelRequest("crashing", i)] = true
		}
		for step := range 6000 {
			m.load(step)
			if m.random.IntN(10) == 0 {
				m.send(modelRequest("crashing", m.random.IntN(3)), m.random.IntN(modelServers))
			}
			m.step()
		}
		for request, n := range m.refused {
			if !m.crashing[request] {
				t.Errorf("seed %d: a harmless request was refused %d times", seed, n)
			}
		}
		for request := range m.crashing {
			late := 0
			for _, at := range m.crashes[request] {
				if len(m.crashes[request]) >= quarantineCrashes && at > m.crashes[request][quarantineCrashes-1]+lateAfter {
					late++
				}
			}
			if late > maxLateCrashes || m.refused[request] == 0 {
				t.Errorf("seed %d: a crashing request crashed %d servers, %d of them late, and was refused %d times", seed, len(m.crashes[request]), late, m.refused[request])
			}
		}
	}
}

// Guards against quarantine on days on which servers crash for other reasons: single ones, a third of them
// at the same moment, and one after the other while clients repeat their requests.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	for seed := range uint64(40) {
		m := newModel(seed)
		for step := range 6000 {
			m.load(step)
			switch {
			case step%1000 == 500:
				for server := range modelServers / 3 {
					m.crash(server)
				}
			case step > 3000 && step%400 < 66 && step%3 == 0:
				m.crash((step % 400) / 3)
			case m.random.IntN(300) == 0:
				m.crash(m.random.IntN(modelServers))
			}
			m.step()
		}
		if len(m.refused) > 0 {
			t.Errorf("seed %d: %d requests were quarantined, want none", seed, len(m.refused))
		}
	}
}
