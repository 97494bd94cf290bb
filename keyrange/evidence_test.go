package keyrange

import (
	"testing"
	"time"
)

// Guards against refused connections of an earlier process of a server that end the keys of its next one.
func TestRefusalsCountOnlyForTheirIncarnation(t *testing.T) {
	c := New(Options{Term: 1, Keys: 16, Lease: 4 * time.Second, HeartbeatTimeout: 8 * time.Second})
	c.SetServices([]KeyedService{{Name: testService}})
	beat := func(now time.Duration, sequence int64) HeartbeatReply {
		reply := c.Heartbeat(now, Heartbeat{Sequence: sequence, Server: Server{ID: "s1", StartMillis: 2, Service: testService, Address: "a:1", Slots: 1}})
		c.ResolveGrants(now, c.TakePendingGrants(), true)
		return reply
	}
	for i := range int64(8) {
		beat(time.Second+time.Duration(i)*500*time.Millisecond, i+1)
	}
	if len(c.servers) != 1 {
		t.Fatal("the server is not known")
	}
	now := 6500 * time.Millisecond
	for _, host := range []string{"gateway-1", "gateway-2"} {
		c.Report(now, host, LoadReport{Servers: []ServerLoad{{ServerID: "s1", StartMillis: 1, Refused: 1}}})
	}
	if len(c.servers) != 1 {
		t.Error("the process counts as ended because its predecessor's address was closed")
	}
	for _, host := range []string{"gateway-1", "gateway-2"} {
		c.Report(now, host, LoadReport{Servers: []ServerLoad{{ServerID: "s1", StartMillis: 2, Refused: 1}}})
	}
	if len(c.servers) != 0 {
		t.Error("the process does not count as ended although its own address is closed")
	}
}
