package keyrange

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model check of grants by calls runs a Coordinator against simulated servers and a network that loses,
// delays, doubles and reorders calls, and servers that carry them out late, after newer ones. After each step it
// checks that no two processes would run requests for the same key, and in the end that keys are served again.
// Long run: go test ./keyrange -run TestCallModel -rapid.checks=20000 -v

const (
	callModelKeys    = 12
	callModelServers = 4
	callModelLease   = 4 * time.Second
	callModelSteps   = 400
	// callModelMaxLate is the longest time from the arrival of a call until it is carried out.
	callModelMaxLate = 12 * time.Second
	// callModelRecovery is the time within which all keys are served once calls and heartbeats get through:
	// the longest lease, with the time for a call to arrive, and three grants.
	callModelRecovery = callModelLease + callModelLease/10 + 4*time.Second
	// callModelMove is how long a move of keys takes at most then: a request ends, and keys of an idle service
	// wait for the server for which they were revoked.
	callModelMove = 2 * time.Second
)

// callProcess is one incarnation of a server that takes grants by calls.
type callProcess struct {
	id, address string
	startMillis int64
	slowdown    float64 // duration in real time of one second on its clock
	sequence    int64
	nextAt      time.Duration
	draining    bool
	seen        [callModelKeys]uint64        // highest token
	holdsUntil  [callModelKeys]time.Duration // end of the lease in real time; 0 if it does not hold the key
	busyUntil   [callModelKeys]time.Duration // end of its request for the key
	connection  int64                        // for grants; 0 for none
}

// modelCall is a call on its way: to the server, or carried out and answered, or given up.
type modelCall struct {
	call      Call
	process   *callProcess // at the other end of its connection; nil until it is sent
	conn      int64        // that connection
	sentAt    time.Duration
	arrivesAt time.Duration // 0 if it is lost
	appliesAt time.Duration
	applied   bool
	result    CallResult
	answersAt time.Duration // 0 while there is no answer
	lostReply bool
	ended     bool // the leader knows its outcome
	leader    *Coordinator
}

type callModel struct {
	random      *rand.Rand
	violation   string
	now         time.Duration
	term        uint64
	starts      int64
	leader      *Coordinator
	record      Record
	processes   []*callProcess
	connections int64 // number of connections so far
	calls       []*modelCall
	beats       []modelMessage
	reports     []modelReport
	closed      []string // addresses of processes that have ended
	lastHolder  [callModelKeys]*callProcess
	heldAt      [callModelKeys]time.Duration // when it last had a holder
	highest     [callModelKeys]uint64
	calm        bool // nothing fails any more
	evacuations *modelEvacuations
	fault       callFault
}

// modelReport is an entry host's report that another process answers at a server's address.
type modelReport struct {
	at   time.Duration
	load ServerLoad
}

// callFault is a safety rule that is broken on purpose.
type callFault string

const (
	noFault           callFault = ""
	faultLease        callFault = "the lease counts from the answer, so that a call without one extends none"
	faultRelease      callFault = "a release cancels grants that were not answered"
	faultInheritance  callFault = "a new leader takes the keys as free"
	faultReincarnates callFault = "a process that started again holds no keys for sure"
)

func TestCallModelNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := runCallModel(rapid.Uint64().Draw(rt, "seed"), noFault)
		if m.violation != "" {
			rt.Fatal(m.violation)
		}
	})
}

// TestCallModelFindsFaults proves that the model check can fail.
func TestCallModelFindsFaults(t *testing.T) {
	for _, fault := range []callFault{faultLease, faultRelease, faultInheritance, faultReincarnates} {
		found, seed := "", uint64(0)
		for ; seed < 1000 && found == ""; seed++ {
			found = runCallModel(seed, fault).violation
		}
		if found == "" {
			t.Errorf("not found: %s", fault)
			continue
		}
		t.Logf("%s: seed %d: %s", fault, seed-1, found)
	}
}

func runCallModel(seed uint64, fault callFault) *callModel {
	return (&callModel{fault: fault}).run(seed)
}

func (m *callModel) run(seed uint64) *callModel {
	m.random, m.now = rand.New(rand.NewPCG(seed, 0)), time.Second
	m.elect()
	for i := range callModelServers {
		m.start(fmt.Sprint("s", i), fmt.Sprint("a", i))
	}
	for range callModelSteps {
		m.step()
	}
	m.recover()
	return m
}

func (m *callModel) draw(most int) int { return m.random.IntN(most + 1) }

func (m *callModel) drawTime(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most) + 1))
}

func (m *callModel) elect() {
	m.term++
	o := Options{Term: m.term, Keys: callModelKeys, Lease: callModelLease, DrainPeriod: 2500 * time.Millisecond, HeartbeatTimeout: 8 * time.Second}
	if m.term > 1 {
		o.InheritedLeasesEnd, o.RecordedGrants = m.now+LeaseBound(callModelLease), m.record.All()
	}
	if m.fault == faultInheritance {
		o.RecordedGrants = nil
	}
	m.leader = New(o)
	m.leader.SetServices([]KeyedService{{Name: testService, ByCall: true}})
}

func (m *callModel) start(id, address string) {
	m.starts++
	m.processes = append(m.processes, &callProcess{
		id: id, address: address, startMillis: m.starts, slowdown: 1 + float64(m.draw(20))/1000, nextAt: m.now,
	})
	m.closed = slices.DeleteFunc(m.closed, func(other string) bool { return other == address })
}

func (m *callModel) process(address string) *callProcess {
	for _, p := range m.processes {
		if p.address == address {
			return p
		}
	}
	return nil
}

func (m *callModel) step() {
	m.now += m.drawTime(80 * time.Millisecond)
	m.deliver()
	switch m.draw(80) {
	case 0:
		m.elect()
	case 1:
		m.end()
	case 2:
		p := m.processes[m.draw(len(m.processes)-1)]
		p.draining = !p.draining
	case 3, 4:
		m.leader.Report(m.now, "gateway", LoadReport{Services: []ServiceLoad{{
			Service: testService, Keys: []KeyLoad{{Key: int64(m.draw(callModelKeys - 1)), Count: 60}},
		}}})
	}
	m.restart()
	m.sendHeartbeats()
	m.evacuations.step(m.now, m.leader)
	m.sendCalls()
	m.check()
	m.evacuations.check(m.now, m.leader, m.fail)
}

// end ends a process. If another one starts at its address, an entry host may report that, also late.
func (m *callModel) end() {
	if len(m.processes) < 2 {
		return
	}
	i := m.draw(len(m.processes) - 1)
	old := m.processes[i]
	m.processes = append(m.processes[:i:i], m.processes[i+1:]...)
	m.closed = append(m.closed, old.address)
	id := old.id
	if m.draw(1) == 0 {
		id = fmt.Sprint("s", 100+m.starts)
	}
	if m.draw(2) == 0 {
		m.start(id, old.address)
		load := ServerLoad{ServerID: old.id, StartMillis: old.startMillis, Misdirected: 1}
		m.reports = append(m.reports, modelReport{at: m.now + m.drawTime(2*time.Second), load: load})
		return
	}
	if m.draw(1) == 0 {
		m.start(id, fmt.Sprint("b", m.starts))
	}
}

// restart starts processes at the addresses of ended ones, and delivers the reports that are due.
func (m *callModel) restart() {
	m.reports = slices.DeleteFunc(m.reports, func(r modelReport) bool {
		if r.at <= m.now {
			m.leader.Report(m.now, "gateway", LoadReport{Servers: []ServerLoad{r.load}})
		}
		return r.at <= m.now
	})
	if m.calm || len(m.processes) >= callModelServers || len(m.closed) == 0 || m.draw(20) != 0 {
		return
	}
	m.start(fmt.Sprint("s", 200+m.starts), m.closed[0])
}

func (m *callModel) sendHeartbeats() {
	for _, p := range m.processes {
		if m.now < p.nextAt {
			continue
		}
		p.sequence++
		p.nextAt = m.now + 300*time.Millisecond
		delay := m.drawTime(60 * time.Millisecond)
		if !m.calm && m.draw(9) == 0 {
			delay = m.drawTime(3 * time.Second)
		}
		if !m.calm && m.draw(15) == 0 {
			continue
		}
		m.beats = append(m.beats, modelMessage{at: m.now + delay, hb: Heartbeat{Sequence: p.sequence, Server: Server{
			ID: p.id, StartMillis: p.startMillis, Service: testService, Address: p.address, Slots: 2, Draining: p.draining,
			Domain: modelDomain(p.address),
		}}})
	}
}

// sendCalls records what the leader has granted, and sends its calls.
func (m *callModel) sendCalls() {
	calls := m.leader.Calls(m.now, 64)
	granted := m.leader.TakePendingGrants()
	recorded := m.calm || m.draw(19) != 0
	if recorded || m.draw(1) == 0 {
		m.record.Apply(granted)
	}
	m.leader.ResolveGrants(m.now, granted, recorded)
	for _, call := range calls {
		m.send(call)
	}
	if m.fault == faultLease {
		m.forgetCallsUnderWay()
	}
}

// forgetCallsUnderWay plants the fault of a lease that counts from the answer.
func (m *callModel) forgetCallsUnderWay() {
	segs := m.leader.services[testService].segments
	for i := range segs {
		if segs[i].call.sentAt != 0 && segs[i].call.confirmedAt != 0 {
			segs[i].leaseEnd = segs[i].call.leaseBefore
		}
	}
}

func (m *callModel) send(call Call) {
	c := &modelCall{call: call, sentAt: m.now, leader: m.leader}
	m.calls = append(m.calls, c)
	if m.calm {
		c.arrivesAt = m.now + m.drawTime(20*time.Millisecond)
		c.appliesAt = c.arrivesAt
		return
	}
	if m.draw(9) == 0 {
		c.sentAt += m.drawTime(call.NotAfter - m.now) // the leader was suspended
	}
	switch m.draw(9) {
	case 0:
		c.result.Outcome, c.answersAt = CallNotSent, m.now+m.drawTime(call.Timeout)
		return
	case 1: // lost
		return
	case 2: // late on its way
		c.arrivesAt = c.sentAt + m.drawTime(call.Timeout+arrivalSlack)
	default:
		c.arrivesAt = c.sentAt + m.drawTime(30*time.Millisecond)
	}
	c.appliesAt = c.arrivesAt
	c.lostReply = m.draw(9) == 0
	if m.draw(5) == 0 {
		c.appliesAt, c.lostReply = c.arrivesAt+m.drawTime(callModelMaxLate), true
	}
}

func (m *callModel) deliver() {
	var beats []modelMessage
	for _, b := range m.beats {
		if b.at > m.now {
			beats = append(beats, b)
			continue
		}
		m.leader.Heartbeat(m.now, b.hb)
		if m.fault == faultReincarnates {
			m.freeEarlierIncarnations()
		}
		granted := m.leader.TakePendingGrants()
		m.record.Apply(granted)
		m.leader.ResolveGrants(m.now, granted, true)
	}
	m.beats = beats
	var open []*modelCall
	for _, c := range m.calls {
		m.connect(c)
		if c.process != nil && c.arrivesAt > 0 && !c.applied && m.now >= c.appliesAt {
			c.applied = true
			m.apply(c)
		}
		m.endCall(c)
		if !c.ended || c.process != nil && c.arrivesAt > 0 && !c.applied {
			open = append(open, c)
		}
	}
	m.calls = open
}

// endCall tells the leader that sent a call what it knows of it, once it knows it.
func (m *callModel) endCall(c *modelCall) {
	switch {
	case c.ended:
		return
	case c.answersAt > 0 && !c.lostReply && c.answersAt <= m.now && c.answersAt-c.sentAt <= c.call.Timeout:
	case m.now >= c.sentAt+c.call.Timeout:
		c.result = CallResult{Outcome: CallUnknown}
	default:
		return
	}
	c.ended = true
	if c.leader != m.leader {
		return
	}
	m.leader.CallEnded(m.now, c.call, c.result)
	if m.fault == faultRelease && c.result.Outcome == CallUnknown {
		m.forgetUnanswered()
	}
}

// forgetUnanswered plants the fault of a release that is taken to cancel grants without an answer.
func (m *callModel) forgetUnanswered() {
	segs := m.leader.services[testService].segments
	for i := range segs {
		if segs[i].call.unanswered {
			segs[i].call.unanswered = false
			segs[i].call.confirmedAt = max(segs[i].call.lastSentAt, 1)
		}
	}
}

// freeEarlierIncarnations plants the fault of keys that are free once their holder has started again.
func (m *callModel) freeEarlierIncarnations() {
	segs := m.leader.services[testService].segments
	for i := range segs {
		if s := m.leader.servers[segs[i].holder]; s != nil && s.info.StartMillis != segs[i].startMillis {
			segs[i].free(m.now, "")
		}
	}
}

// connect finds the process at the other end of the connection of a call, when it is sent. A grant that must
// not go to another process finds its own connection, or none.
func (m *callModel) connect(c *modelCall) {
	if c.process != nil || c.ended || c.answersAt > 0 || m.now < c.sentAt {
		return
	}
	p := m.process(c.call.Address)
	switch {
	case p == nil:
		c.result, c.answersAt = CallResult{Outcome: CallRefused}, m.now
	case c.call.Connection != 0 && c.call.Connection != p.connection:
		c.result, c.answersAt = CallResult{Outcome: CallNoConn}, m.now
	case c.call.Kind == CallGrant && p.connection == 0:
		m.connections++
		p.connection = m.connections
		c.process, c.conn = p, p.connection
	default:
		c.process, c.conn = p, p.connection
	}
	if p != nil && !m.calm && m.draw(40) == 0 {
		p.connection = 0 // it is closed after this call
	}
}

// apply carries out a call at the process at the other end of its connection, unless that has ended.
func (m *callModel) apply(c *modelCall) {
	p := c.process
	if m.process(p.address) != p {
		return
	}
	if c.call.Kind == CallRelease {
		m.applyRelease(p, c)
		return
	}
	c.result, c.answersAt = CallResult{Outcome: CallDone, Connection: c.conn}, m.now
	for key := c.call.From; key <= c.call.To; key++ {
		if p.seen[key] > c.call.Token {
			c.result.Outcome = CallStale
			return
		}
	}
	leaseEnd := c.arrivesAt + time.Duration(float64(c.call.Lease)*p.slowdown)
	for key := c.call.From; key <= c.call.To; key++ {
		p.seen[key] = c.call.Token
		p.holdsUntil[key] = leaseEnd
		if leaseEnd > m.now && m.lastHolder[key] != p && c.call.Token <= m.highest[key] {
			m.fail("key %d: token %d taken after token %d of another process", key, c.call.Token, m.highest[key])
		}
		if leaseEnd > m.now {
			m.lastHolder[key] = p
			m.highest[key] = max(m.highest[key], c.call.Token)
		}
	}
}

// applyRelease stops new work at once, and answers when the requests have ended.
func (m *callModel) applyRelease(p *callProcess, c *modelCall) {
	c.result, c.answersAt = CallResult{Outcome: CallDone, Handover: "h"}, m.now
	for key := c.call.From; key <= c.call.To; key++ {
		if p.seen[key] > c.call.Token {
			continue // the release is about an earlier grant
		}
		if p.holdsUntil[key] > m.now {
			p.busyUntil[key] = max(p.busyUntil[key], min(p.holdsUntil[key], m.now+m.drawTime(600*time.Millisecond)))
		}
		p.holdsUntil[key] = 0
		c.answersAt = max(c.answersAt, p.busyUntil[key])
	}
}

// check checks that no process would run requests for a key while another one may.
func (m *callModel) check() {
	for key := range callModelKeys {
		holder, busy := m.holders(key)
		if len(holder) > 0 {
			m.heldAt[key] = m.now
		}
		if len(holder) > 1 || len(holder) == 1 && len(busy) > 0 && busy[0] != holder[0] {
			m.fail("at %v key %d: held by %v, at work %v", m.now, key, holder, busy)
		}
	}
}

func (m *callModel) holders(key int) (holders, busy []string) {
	for _, p := range m.processes {
		if p.holdsUntil[key] > m.now {
			holders = append(holders, fmt.Sprint(p.id, "/", p.startMillis))
		}
		if p.busyUntil[key] > m.now {
			busy = append(busy, fmt.Sprint(p.id, "/", p.startMillis))
		}
	}
	return holders, busy
}

// recover lets everything get through, and checks that all keys are served again in time.
func (m *callModel) recover() {
	m.calm = true
	m.evacuations.end(m.leader)
	for _, p := range m.processes {
		p.draining = false
	}
	until := m.now + callModelRecovery
	for m.now < until {
		m.step10()
	}
	for key, at := range m.heldAt {
		if m.now-at > callModelMove {
			m.fail("key %d has no holder %v after everything gets through, since %v", key, callModelRecovery, m.now-at)
		}
	}
}

// step10 is a step of 10 ms without new trouble.
func (m *callModel) step10() {
	m.now += 10 * time.Millisecond
	m.deliver()
	m.restart()
	m.sendHeartbeats()
	m.sendCalls()
	m.check()
}

func (m *callModel) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}
