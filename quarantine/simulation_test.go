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
	gateways  []*modelGateway
	now       time.Duration
	downUntil []time.Duration    // by server
	births    []int64            // by server; a new process each time
	crashing  map[string]float64 // share of the runs of a request that crash their server
	running   []modelRun
	crashes   map[string][]time.Duration // times at which servers crashed, by crashing request
	refused   map[string]int             // requests that were refused as quarantined, by request
	held      int                        // harmless requests that were not sent for lack of a permit
}

// modelGateway is a gateway and its connection to the leader.
type modelGateway struct {
	*Gateway
	connectsAt time.Duration // to the present leader
	connected  bool
}

// modelRun is a request at a server.
type modelRun struct {
	request string
	server  int
	gateway *modelGateway
	endsAt  time.Duration
}

func newModel(seed uint64) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 7)), tracker: NewTracker(0), crashing: map[string]float64{}, crashes: map[string][]time.Duration{},
		refused: map[string]int{}, downUntil: make([]time.Duration, modelServers), births: make([]int64, modelServers), now: time.Second,
	}
	for range modelGateways {
		m.gateways = append(m.gateways, &modelGateway{Gateway: NewGateway()})
	}
	return m
}

// changeLeader replaces the leader by one that knows nothing. Each gateway connects to it within the given
// time, or never.
func (m *model) changeLeader(reconnect time.Duration, never float64) {
	m.tracker = NewTracker(m.now)
	for _, g := range m.gateways {
		g.connected = false
		g.connectsAt = m.now + time.Duration(m.random.Int64N(int64(reconnect)))
		if m.random.Float64() < never {
			g.connectsAt = time.Hour
		}
	}
}

func modelRequest(name string, number int) string {
	return Fingerprint([]byte(name), []byte(fmt.Sprint(number)))
}

func modelServer(number int) string { return fmt.Sprint("s", number) }

// send sends a request through a random gateway to a server, unless it is quarantined there.
func (m *model) send(request string, server int) {
	gateway := m.gateways[m.random.IntN(modelGateways)]
	if gateway.State(m.now, request).Quarantined > 0 {
		m.refused[request]++
		return
	}
	if m.downUntil[server] > m.now {
		return
	}
	if !m.permit(gateway, request, server) {
		if m.crashing[request] == 0 {
			m.held++
		}
		return
	}
	work := 20*time.Millisecond + time.Duration(m.random.IntN(120))*time.Millisecond
	m.running = append(m.running, modelRun{request, server, gateway, m.now + work})
}

// permit asks for a permit as gateways do.
func (m *model) permit(gateway *modelGateway, request string, server int) bool {
	state := gateway.State(m.now, request)
	switch {
	case state.Crashes == 0 || state.Free:
		return true
	case gateway.connected:
		return m.tracker.Permit(m.now, PermitRequest{Request: request, ServerID: modelServer(server)}).Granted
	}
	return gateway.PermitAlone(m.now, request)
}

// step ends the runs that are due. A crashing request crashes its server.
func (m *model) step() {
	m.now += modelStep
	m.connect()
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
		switch share := m.crashing[run.request]; {
		case m.downUntil[run.server] > m.now:
		case share > 0 && m.random.Float64() < share:
			m.running = append(m.running, run)
			m.crashes[run.request] = append(m.crashes[run.request], m.now)
			m.crash(run.server)
		default:
			run.gateway.ObserveAnswer(run.request)
		}
	}
	m.exchange()
}

// connect connects the gateways that are due to the leader.
func (m *model) connect() {
	for _, g := range m.gateways {
		if g.connected || m.now < g.connectsAt {
			continue
		}
		g.connected = true
		g.Apply(m.now, m.tracker.Snapshot(m.now))
		m.tracker.Observe(m.now, g.FirstReport(m.now))
	}
}

// exchange passes the reports of the connected gateways to the leader, and its news to them.
func (m *model) exchange() {
	for _, g := range m.gateways {
		if !g.connected {
			continue
		}
		if report, any := g.TakeReport(m.now); any {
			m.tracker.Observe(m.now, report)
		}
	}
	u := m.tracker.Changes(m.now)
	for _, g := range m.gateways {
		if g.connected {
			g.Apply(m.now, u)
		}
	}
}

// crash ends a server. Each gateway sees the requests that it had there.
func (m *model) crash(server int) {
	ended := map[*modelGateway][]string{}
	var rest []modelRun
	for _, run := range m.running {
		if run.server == server {
			ended[run.gateway] = append(ended[run.gateway], run.request)
		} else {
			rest = append(rest, run)
		}
	}
	m.running = rest
	m.births[server]++
	m.downUntil[server] = m.now + modelDowntime
	for _, g := range m.gateways {
		if requests := ended[g]; len(requests) > 0 {
			g.ObserveCrash(m.now, Crash{ServerID: modelServer(server), StartMillis: m.births[server], Requests: requests})
		}
	}
	m.exchange()
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

// bound is the users' bound on a request that crashes servers.
const (
	boundCrashes     = 3               // crashes that start the clock
	boundLate        = 3 * time.Second // after them
	boundLateCrashes = 3               // that may come later than that
)

// lateCrashes returns how many servers a request crashed later than the bound allows.
func (m *model) lateCrashes(request string) (late int) {
	crashes := m.crashes[request]
	if len(crashes) < boundCrashes {
		return 0
	}
	for _, at := range crashes {
		if at > crashes[boundCrashes-1]+boundLate {
			late++
		}
	}
	return late
}

// check reports harmless requests that were quarantined, and requests that crashed servers too late.
func (m *model) check(t *testing.T, seed uint64) {
	t.Helper()
	for request, n := range m.refused {
		if m.crashing[request] == 0 {
			t.Errorf("seed %d: a harmless request was refused %d times", seed, n)
		}
	}
	for request := range m.crashing {
		if late := m.lateCrashes(request); late > boundLateCrashes {
			t.Errorf("seed %d: a crashing request crashed %d servers, %d of them late, and was refused %d times",
				seed, len(m.crashes[request]), late, m.refused[request])
		}
	}
}

// Guards against a crashing request that reaches servers without end, and against requests that are
// quarantined for having been at the same servers.
func TestOnlyCrashingRequestsAreQuarantined(t *testing.T) {
	for seed := range uint64(40) {
		m := newModel(seed)
		for i := range 3 {
			m.crashing[modelRequest("crashing", i)] = 1
		}
		for step := range 6000 {
			m.load(step)
			if m.random.IntN(10) == 0 {
				m.send(modelRequest("crashing", m.random.IntN(3)), m.random.IntN(modelServers))
			}
			m.step()
		}
		m.check(t, seed)
		for request := range m.crashing {
			if m.refused[request] == 0 {
				t.Errorf("seed %d: a crashing request was never refused", seed)
			}
		}
	}
}

// Guards against a request that crashes servers without end because leaders change: each successor starts
// without evidence, and some gateways reach it late or never.
func TestEvidenceSurvivesChangesOfLeader(t *testing.T) {
	for seed := range uint64(20) {
		m := newModel(seed)
		m.crashing[modelRequest("crashing", 0)] = 1
		changeAt := m.now
		for step := range 6000 {
			if m.now >= changeAt {
				m.changeLeader(1500*time.Millisecond, 0.1)
				changeAt = m.now + 300*time.Millisecond + time.Duration(m.random.Int64N(int64(4*time.Second)))
			}
			m.load(step)
			if m.random.IntN(100) == 0 {
				m.send(modelRequest("crashing", 0), m.random.IntN(modelServers))
			}
			m.step()
		}
		m.check(t, seed)
	}
}

// Guards against a leader that changes before it has done anything: what gateways know must suffice.
func TestEvidenceSurvivesLeadersOfOneStep(t *testing.T) {
	for seed := range uint64(20) {
		m := newModel(seed)
		m.crashing[modelRequest("crashing", 0)] = 1
		for step := range 1500 {
			m.changeLeader(2*modelStep, 0.1)
			m.load(step)
			if m.random.IntN(100) == 0 {
				m.send(modelRequest("crashing", 0), m.random.IntN(modelServers))
			}
			m.step()
		}
		m.check(t, seed)
	}
}

// Guards against requests that crash only some of their servers and are cleared by the others' answers.
func TestRequestsThatCrashSometimesAreQuarantined(t *testing.T) {
	const seeds, meanCrashes = 15, 10
	for _, share := range []float64{0.5, 0.8} {
		crashes := 0
		for seed := range uint64(seeds) {
			m := newModel(seed)
			request := modelRequest("crashing", 0)
			m.crashing[request] = share
			for step := range 6000 {
				m.load(step)
				if m.random.IntN(10) == 0 {
					m.send(request, m.random.IntN(modelServers))
				}
				m.step()
			}
			if m.refused[request] == 0 {
				t.Errorf("share %v, seed %d: crashed %d servers, and was never refused", share, seed, len(m.crashes[request]))
			}
			crashes += len(m.crashes[request])
		}
		if crashes > meanCrashes*seeds {
			t.Errorf("share %v: %d crashes in %d runs, want %d a run on average at most", share, crashes, seeds, meanCrashes)
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
