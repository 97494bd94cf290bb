package keyrange

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model check runs a Coordinator against a simulation of crashing servers, leader changes
// and a network that loses and delays messages. After each step it checks that no two
// processes hold the same key.
// Long run: go test ./keyrange -run TestModel -rapid.checks=20000 -v

const (
	modelKeys    = 12
	modelServers = 4
	modelLease   = 2 * time.Second
	// modelReplyTimeout is how long a server waits for a reply.
	modelReplyTimeout = time.Second
	// modelMaxDelay is the longest delay of a message.
	modelMaxDelay = 3 * time.Second
	modelSteps    = 250
)

// modelProcess is one incarnation of a server.
type modelProcess struct {
	id              string
	startMillis     int64
	address         string
	clockSlowdown   float64 // duration in real time of one second on its clock
	sequence        int64
	held            []Range
	released        []Release
	leaseExpiry     time.Duration // real time at which its lease expires
	seenTokens      [modelKeys]uint64
	pendingSequence int64         // sequence number of the heartbeat that waits for its reply; 0 for none
	sentAt          time.Duration // time at which that heartbeat was sent
	nextAt          time.Duration
	draining        bool
	cutUntil        time.Duration // until then its messages are lost and connections to it are refused
}

type modelMessage struct {
	at      time.Duration
	process *modelProcess // receiver of a reply or sender of a heartbeat
	hb      Heartbeat
	reply   HeartbeatReply
	seq     int64
	report  *ServerLoad // of an entry host
}

type model struct {
	random       *rand.Rand
	violation    string // the first violation
	now          time.Duration
	term         uint64
	startMillis  int64
	leader       *Coordinator
	record       Record
	processes    []*modelProcess
	messages     []modelMessage
	highestToken [modelKeys]uint64 // highest token of any grant that a process accepted
	lastHolder   [modelKeys]*modelProcess
	steps        int
	held         int // keys with a holder, added up over all steps
	removedGuard modelGuard
	evacuations  *modelEvacuations
	withdrawn    time.Duration // until then the configuration lacks the service; 0 if it has it
}

// modelGuard is a safety rule that a run disables; empty for none.
type modelGuard string

const (
	guardInherited modelGuard = "a new leader waits for the leases of earlier ones"
	guardLease     modelGuard = "the leader knows how long a lease is"
	guardRecorded  modelGuard = "grants are recorded"
	guardCut       modelGuard = "refused connections and missing heartbeats end no server"
	guardForeign   modelGuard = "a heartbeat of an unknown service ends no server"
	guardLate      modelGuard = "a late heartbeat of an earlier process ends no server"
	guardWithdrawn modelGuard = "keys of a service that the configuration lacks stay leased"
)

func TestModelNeverTwoHolders(t *testing.T) {
	steps, held := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := runModel(rapid.Uint64().Draw(rt, "seed"), "")
		if m.violation != "" {
			rt.Fatal(m.violation)
		}
		steps += m.steps
		held += m.held
	})
	t.Logf("%d steps, in which %.0f%% of the keys had a holder", steps, 100*float64(held)/float64(steps*modelKeys))
}

// TestModelFindsRemovedGuards proves that the model check can fail: if one of the safety rules
// is disabled, it finds two holders.
func TestModelFindsRemovedGuards(t *testing.T) {
	for _, guard := range []modelGuard{guardInherited, guardLease, guardRecorded, guardCut, guardForeign, guardLate, guardWithdrawn} {
		found, seed := "", uint64(0)
		for ; seed < 500 && found == ""; seed++ {
			found = runModel(seed, guard).violation
		}
		if found == "" {
			t.Errorf("no violation found without the guard %q", guard)
			continue
		}
		t.Logf("without the guard %q: seed %d: %s", guard, seed-1, found)
	}
}

// runModel runs one random schedule. If removedGuard is not empty, that safety rule is
// disabled.
func runModel(seed uint64, removedGuard modelGuard) *model {
	return (&model{removedGuard: removedGuard}).run(seed)
}

func (m *model) run(seed uint64) *model {
	m.random = rand.New(rand.NewPCG(seed, 0))
	m.elect()
	for i := range modelServers {
		m.start(fmt.Sprintf("s%d", i), fmt.Sprintf("a%d", i))
	}
	for range modelSteps {
		m.step()
	}
	return m
}

// draw returns a random number from 0 to most.
func (m *model) draw(most int) int { return m.random.IntN(most + 1) }

func (m *model) elect() {
	m.term++
	o := Options{Term: m.term, Keys: modelKeys, Lease: modelLease, DrainPeriod: 2500 * time.Millisecond, HeartbeatTimeout: 4 * time.Second}
	if m.term > 1 {
		o.InheritedLeasesEnd = m.now + LeaseBound(modelLease)
		o.RecordedGrants = m.record.All()
	}
	switch m.removedGuard {
	case guardInherited:
		o.InheritedLeasesEnd = m.now
	case guardRecorded:
		o.RecordedGrants = nil
	case guardLease:
		o.Lease = modelLease / 2 // the leader assumes half of the lease time that the servers use
	}
	m.leader = New(o)
	m.configure()
}

// configure gives the leader the configuration in force.
func (m *model) configure() {
	if m.withdrawn > 0 {
		m.leader.SetServices(nil)
	} else {
		m.leader.SetServices([]KeyedService{{Name: testService}})
	}
	switch m.removedGuard {
	case guardForeign:
		m.leader.configured[modelForeignService] = true
	case guardWithdrawn:
		if m.withdrawn > 0 {
			delete(m.leader.services, testService)
		}
	}
}

// modelForeignService is a service that no configuration has.
const modelForeignService = "nobody"

func (m *model) start(id, address string) {
	m.startMillis++
	m.processes = append(m.processes, &modelProcess{
		id: id, startMillis: m.startMillis, address: address, clockSlowdown: 1 + float64(m.draw(20))/1000, nextAt: m.now,
	})
}

func (m *model) step() {
	m.steps++
	m.now += time.Duration(m.draw(120)) * time.Millisecond
	m.deliver()
	m.expire()
	switch m.draw(60) {
	case 0:
		m.elect()
	case 1:
		m.crash()
	case 2:
		p := m.processes[m.draw(len(m.processes)-1)]
		p.draining = !p.draining
	case 3:
		m.leader.Report(m.now, "gateway", LoadReport{Services: []ServiceLoad{{
			Service: testService, Keys: []KeyLoad{{Key: int64(m.draw(modelKeys - 1)), Count: 60}},
		}}})
	case 4:
		m.processes[m.draw(len(m.processes)-1)].cutUntil = m.now + time.Duration(m.draw(2500))*time.Millisecond
	case 5:
		m.foreignHeartbeat()
	case 6:
		if m.withdrawn == 0 {
			m.withdrawn = m.now + time.Duration(m.draw(800))*time.Millisecond
			m.configure()
		}
	}
	if m.withdrawn > 0 && m.now >= m.withdrawn {
		m.withdrawn = 0
		m.configure()
	}
	m.refuse()
	m.evacuations.step(m.now, m.leader)
	for _, p := range m.processes {
		m.heartbeat(p)
	}
	m.check()
	m.evacuations.check(m.now, m.leader, m.fail)
}

// refuse lets the leader take refused connections for the end of a server, which a guard forbids.
func (m *model) refuse() {
	if m.removedGuard != guardCut {
		return
	}
	for _, p := range m.processes {
		s := m.leader.servers[p.id]
		if m.now < p.cutUntil && s != nil && m.now-s.lastSeen > time.Second {
			m.leader.endIfProved(m.now, s, sighting{address: s.info.Address, answered: true})
		}
	}
}

// foreignHeartbeat has another writer send a heartbeat with the address of a process, and with its ID or another one.
func (m *model) foreignHeartbeat() {
	p := m.processes[m.draw(len(m.processes)-1)]
	id := p.id
	if m.draw(1) == 0 {
		id = "foreign"
	}
	start := p.startMillis + int64(m.draw(1))
	hb := Heartbeat{Server: Server{ID: id, StartMillis: start, Service: modelForeignService, Address: p.address, Slots: 2}, Sequence: p.sequence + int64(m.draw(100))}
	m.leader.Heartbeat(m.now, hb)
	m.leader.ResolveGrants(m.now, m.leader.TakePendingGrants(), false)
}

// crash ends a process and starts another one with the same ID or only the same address. An entry host may report
// what answers at the address now.
func (m *model) crash() {
	i := m.draw(len(m.processes) - 1)
	old := m.processes[i]
	m.processes = append(m.processes[:i], m.processes[i+1:]...)
	id := old.id
	if m.draw(1) == 0 {
		id = fmt.Sprintf("s%d", 100+m.startMillis)
	}
	m.start(id, old.address)
	if m.draw(1) == 0 {
		m.send(modelMessage{report: &ServerLoad{ServerID: old.id, StartMillis: old.startMillis, Misdirected: 1}}, nil)
	}
}

func (m *model) expire() {
	for _, p := range m.processes {
		if len(p.held) > 0 && m.now >= p.leaseExpiry {
			p.held = nil // keys of an expired lease are not reported as released
		}
	}
}

func (m *model) heartbeat(p *modelProcess) {
	if p.pendingSequence != 0 && m.now-p.sentAt < modelReplyTimeout || m.now < p.nextAt {
		return
	}
	p.sequence++
	p.pendingSequence, p.sentAt, p.nextAt = p.sequence, m.now, m.now+300*time.Millisecond
	hb := Heartbeat{
		Server: Server{
			ID: p.id, StartMillis: p.startMillis, Service: testService, Address: p.address, Slots: 2, Draining: p.draining,
			Domain: modelDomain(p.address),
		},
		Sequence: p.sequence, Holds: append([]Range(nil), p.held...), Released: append([]Release(nil), p.released...),
	}
	m.send(modelMessage{hb: hb, seq: p.sequence}, p)
}

// send delivers a message after a delay that is usually short, or loses it.
func (m *model) send(message modelMessage, from *modelProcess) {
	delay := time.Duration(m.draw(60)) * time.Millisecond
	if m.draw(9) == 0 {
		delay = time.Duration(m.draw(int(modelMaxDelay/time.Millisecond))) * time.Millisecond
	}
	if m.draw(15) == 0 || from != nil && m.now < from.cutUntil {
		return
	}
	message.at = m.now + delay
	if message.process == nil {
		message.process = from
	}
	m.messages = append(m.messages, message)
}

func (m *model) deliver() {
	var later []modelMessage
	due := m.messages
	m.messages = nil
	for _, message := range due {
		switch {
		case message.at > m.now:
			later = append(later, message)
		case message.report != nil:
			m.leader.Report(m.now, "gateway", LoadReport{Servers: []ServerLoad{*message.report}})
		case message.hb.Sequence != 0:
			m.answerHeartbeat(message)
		default:
			m.receive(message)
		}
	}
	m.messages = append(m.messages, later...)
}

// answerHeartbeat processes a heartbeat on the current leader.
func (m *model) answerHeartbeat(message modelMessage) {
	if s := m.leader.servers[message.hb.Server.ID]; m.removedGuard == guardLate && s != nil && s.info.StartMillis > message.hb.Server.StartMillis {
		m.leader.endIfProved(m.now, s, sighting{address: s.info.Address, answered: true})
	}
	reply := m.leader.Heartbeat(m.now, message.hb)
	granted := m.leader.TakePendingGrants()
	recorded := m.draw(19) != 0
	m.leader.ResolveGrants(m.now, granted, recorded)
	if len(granted) > 0 && !recorded {
		if m.draw(1) == 0 {
			m.record.Apply(granted) // a grant may be in the record although the leader saw an error
		}
		return
	}
	m.record.Apply(granted)
	m.send(modelMessage{process: message.process, reply: reply, seq: message.seq}, message.process)
}

// receive processes a reply at a server if it is still waiting for it.
func (m *model) receive(message modelMessage) {
	p := message.process
	alive := false
	for _, other := range m.processes {
		alive = alive || other == p
	}
	if !alive || m.now < p.cutUntil || p.pendingSequence != message.seq || m.now-p.sentAt >= modelReplyTimeout {
		return
	}
	p.pendingSequence = 0
	p.released = nil // the heartbeat that reported them is acknowledged
	if !message.reply.Renewed {
		return
	}
	p.leaseExpiry = p.sentAt + time.Duration(float64(modelLease)*p.clockSlowdown)
	var next []Range
	for _, g := range message.reply.Grants {
		if m.accept(p, g) {
			next = append(next, Range{From: g.From, To: g.To, Token: g.Token})
		}
	}
	for _, old := range p.held {
		for key := old.From; key <= old.To; key++ {
			if !covers(next, key) {
				p.released = append(p.released, Release{From: key, To: key, Handover: "h"})
			}
		}
	}
	p.held = next
}

func covers(segments []Range, key int64) bool {
	for _, r := range segments {
		if key >= r.From && key <= r.To {
			return true
		}
	}
	return false
}

// accept accepts a grant unless the server has seen a higher token on one of its keys. It
// checks that the token is higher than those of all other holders.
func (m *model) accept(p *modelProcess, g Grant) bool {
	for key := g.From; key <= g.To; key++ {
		if p.seenTokens[key] > g.Token {
			return false
		}
	}
	for key := g.From; key <= g.To; key++ {
		p.seenTokens[key] = g.Token
		if m.lastHolder[key] != p && g.Token <= m.highestToken[key] {
			m.fail("key %d: token %d granted after token %d of another process", key, g.Token, m.highestToken[key])
		}
		m.lastHolder[key] = p
		m.highestToken[key] = max(m.highestToken[key], g.Token)
	}
	return true
}

// checkFleet compares a measurement that is used again with a new one.
func (m *model) checkFleet() {
	svc := m.leader.services[testService]
	if svc == nil || m.steps%8 != 0 {
		return
	}
	kept := m.leader.measureFleet(m.now, svc).counts()
	svc.fleet.at = 0
	if measured := m.leader.measureFleet(m.now, svc).counts(); kept != measured {
		m.fail("at %v the kept measurement is %s, a new one %s", m.now, kept, measured)
	}
}

// counts describes who is a member and how many segments of each kind it has.
func (f *fleet) counts() string {
	var lines []string
	for id, member := range f.members {
		lines = append(lines, fmt.Sprintf("%s/%d: %d segments, %d unconfirmed, %d revoking",
			id, member.server.info.StartMillis, member.segments, member.unconfirmed, member.revoking))
	}
	slices.Sort(lines)
	return fmt.Sprint(lines, f.moving)
}

func (m *model) check() {
	m.checkFleet()
	for key := int64(0); key < modelKeys; key++ {
		var holder *modelProcess
		for _, p := range m.processes {
			if m.now >= p.leaseExpiry || !covers(p.held, key) {
				continue
			}
			if holder != nil {
				m.fail("at %v key %d is held by both %s and %s", m.now, key, holder.id, p.id)
			}
			holder = p
		}
		if holder != nil {
			m.held++
		}
	}
}

// fail records the first violation.
func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}
