package keyrange

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// endedTest has one server, s1 at a:1, which holds all keys of the service.
type endedTest struct {
	t   *testing.T
	c   *Coordinator
	now time.Duration
}

const (
	endedLease = 4 * time.Second
	endedBeat  = 500 * time.Millisecond
)

func newEndedTest(t *testing.T) *endedTest {
	e := &endedTest{t: t, now: time.Second, c: New(Options{Term: 1, Keys: 16, Lease: endedLease, HeartbeatTimeout: 2 * endedLease})}
	e.c.SetServices([]KeyedService{{Name: testService}}, "photos")
	for sequence := range int64(8) {
		e.now += endedBeat
		e.beat("s1", "a:1", testService, 2, sequence+1)
	}
	if held := e.keys("s1"); held != 16 {
		t.Fatalf("s1 holds %d keys, want all 16", held)
	}
	return e
}

func (e *endedTest) beat(id, address, service string, startMillis, sequence int64) HeartbeatReply {
	hb := Heartbeat{Sequence: sequence, Server: Server{ID: id, StartMillis: startMillis, Service: service, Address: address, Slots: 1}}
	reply := e.c.Heartbeat(e.now, hb)
	e.c.ResolveGrants(e.now, e.c.TakePendingGrants(), true)
	return reply
}

// keys returns the number of keys that a server holds by the leader's knowledge.
func (e *endedTest) keys(id string) int64 {
	held := int64(0)
	for _, seg := range e.c.services[testService].segments {
		if seg.holder == id {
			held += seg.to - seg.from + 1
		}
	}
	return held
}

func (e *endedTest) expectHeld(what string) {
	e.t.Helper()
	if held := e.keys("s1"); held != 16 {
		e.t.Errorf("%s: s1 holds %d keys before its lease ends, want all 16", what, held)
	}
}

// Guards against keys of a server that is cut off, with resets, and goes on: refused connections and missing
// heartbeats counted as its end (review 2).
func TestServerThatIsCutOffKeepsItsKeysUntilItsLeaseEnds(t *testing.T) {
	e := newEndedTest(t)
	lastBeat := e.now
	for e.now += endedBeat; e.now < lastBeat+endedLease; e.now += endedBeat {
		for _, gateway := range []string{"gateway-1", "gateway-2"} {
			e.c.Report(e.now, gateway, LoadReport{Servers: []ServerLoad{refusedConnections(t, "s1", 2)}})
		}
		e.beat("s2", "b:1", testService, 3, int64(e.now))
		e.expectHeld("connections to it are refused")
	}
	e.now = lastBeat + LeaseBound(endedLease) + 1
	e.beat("s2", "b:1", testService, 3, int64(e.now))
	if e.keys("s1") != 0 || e.keys("s2") == 0 {
		t.Errorf("after the lease of s1 it holds %d keys and s2 %d, want 0 and more than 0", e.keys("s1"), e.keys("s2"))
	}
}

// refusedConnections returns what entry hosts of earlier releases report of refused connections. Field "f" was
// their number.
func refusedConnections(t *testing.T, id string, startMillis int64) ServerLoad {
	t.Helper()
	body, err := cbor.Marshal(map[string]any{"i": id, "b": startMillis, "f": 1})
	if err != nil {
		t.Fatal(err)
	}
	var load ServerLoad
	if err := cbor.Unmarshal(body, &load); err != nil {
		t.Fatal(err)
	}
	return load
}

// Guards against heartbeats of other writers that end a server whose address or ID they name (review 3).
func TestHeartbeatThatNoServerSentEndsNoServer(t *testing.T) {
	for name, hb := range map[string]Server{
		"unknown service at its address":            {ID: "x", Address: "a:1", Service: "nobody", StartMillis: 9},
		"unknown service under its ID":              {ID: "s1", Address: "a:1", Service: "nobody", StartMillis: 9},
		"unknown service of its own process":        {ID: "s1", Address: "a:1", Service: "nobody", StartMillis: 2},
		"another service of its own process":        {ID: "s1", Address: "a:1", Service: "photos", StartMillis: 2},
		"another address of its own process":        {ID: "s1", Address: "c:1", Service: testService, StartMillis: 2},
		"earlier process at its address":            {ID: "x", Address: "a:1", Service: testService, StartMillis: 1},
		"process without a start time":              {ID: "x", Address: "a:1", Service: testService},
		"earlier process under its ID":              {ID: "s1", Address: "a:1", Service: testService, StartMillis: 1},
		"other service's earlier process under ID":  {ID: "s1", Address: "a:1", Service: "photos", StartMillis: 1},
		"unknown service at an address of no other": {ID: "s1", Address: "c:1", Service: "nobody", StartMillis: 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndedTest(t)
			if reply := e.beat(hb.ID, hb.Address, hb.Service, hb.StartMillis, 100); reply.Renewed {
				t.Errorf("the heartbeat was answered with a lease")
			}
			e.expectHeld("after the heartbeat")
			e.now += endedBeat
			if reply := e.beat("s1", "a:1", testService, 2, 9); !reply.Renewed || len(reply.Grants) == 0 {
				t.Errorf("the server's own next heartbeat got %+v, want its keys", reply)
			}
			e.beat("s2", "b:1", testService, 3, 1)
			e.expectHeld("after its own next heartbeat")
		})
	}
}

func TestLaterProcessAtIDOrAddressEndsServer(t *testing.T) {
	for name, later := range map[string]Server{
		"same ID and address":            {ID: "s1", Address: "a:1", Service: testService, StartMillis: 3},
		"same ID, other address":         {ID: "s1", Address: "c:1", Service: testService, StartMillis: 3},
		"same address":                   {ID: "x", Address: "a:1", Service: testService, StartMillis: 3},
		"same address, service no keys":  {ID: "x", Address: "a:1", Service: "photos", StartMillis: 3},
		"same ID, service without keys":  {ID: "s1", Address: "c:1", Service: "photos", StartMillis: 3},
		"same ID and address, other one": {ID: "s1", Address: "a:1", Service: "photos", StartMillis: 3},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndedTest(t)
			e.beat(later.ID, later.Address, later.Service, later.StartMillis, 1)
			for _, seg := range e.c.services[testService].segments {
				if seg.holder == "s1" && seg.startMillis == 2 {
					t.Fatalf("keys %d to %d are still leased to the process that has ended", seg.from, seg.to)
				}
			}
		})
	}
}

func TestAnswerOfAnotherServerAtItsAddressEndsServer(t *testing.T) {
	e := newEndedTest(t)
	e.c.Report(e.now, "gateway-1", LoadReport{Servers: []ServerLoad{{ServerID: "s1", StartMillis: 1, Misdirected: 1}}})
	e.expectHeld("a report of its earlier process")
	e.c.Report(e.now, "gateway-1", LoadReport{Servers: []ServerLoad{{ServerID: "s1", StartMillis: 2, Misdirected: 1}}})
	if held := e.keys("s1"); held != 0 {
		t.Errorf("s1 holds %d keys although another server answers at its address", held)
	}
}

// Guards against a heartbeat that claims the keys of another server under a high token, and took them at once.
func TestClaimOfKeysWithHighTokenTakesNothing(t *testing.T) {
	e := newEndedTest(t)
	claim := Heartbeat{
		Sequence: 1, Holds: []Range{{From: 0, To: 15, Token: 1 << 50}},
		Server: Server{ID: "s2", StartMillis: 3, Service: testService, Address: "b:1", Slots: 1},
	}
	for _, g := range e.c.Heartbeat(e.now, claim).Grants {
		t.Errorf("s2 was granted keys %d to %d", g.From, g.To)
	}
	e.expectHeld("after the claim")
	e.now += endedBeat
	if reply := e.beat("s1", "a:1", testService, 2, 9); len(reply.Grants) == 0 {
		t.Errorf("the holder's next heartbeat got %+v, want its keys", reply)
	}
}
