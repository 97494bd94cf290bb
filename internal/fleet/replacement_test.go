package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
)

// catchUp is the time after the start of a control host from which on the group must bear as many
// further losses as it tolerates: the platform's shortest catchUpS.
const catchUp = 4 * time.Second

// Guards against a state, while a host is replaced, in which the group has more or fewer voters than
// it needs and so bears fewer losses; and against replacements that outlast catchUp (issue 20).
func TestReplacementKeepsNumberOfVoters(t *testing.T) {
	for name, address := range map[string]string{"same address": "127.0.0.3", "other address": "127.0.0.4"} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
			leader := c.leaderOtherThan("127.0.0.3")
			c.kill(c.hosts["127.0.0.3"])
			time.Sleep(time.Second)
			c.dirs["127.0.0.3"] = ""
			started := time.Now()
			c.start(address, false)
			var quorum replog.Quorum
			for replaced := false; !replaced; time.Sleep(time.Millisecond) {
				status := leader.runner.Status().Node
				quorum = status.Quorum()
				if quorum.Voters != 3 {
					t.Fatalf("%d voters %s after the start of the new host: %+v", quorum.Voters, time.Since(started), status.Members)
				}
				replaced = quorum.Margin == 1
				if time.Since(started) > catchUp {
					t.Fatalf("%+v %s after the start of the new host", quorum, time.Since(started))
				}
			}
			t.Logf("replaced after %s", time.Since(started))
		})
	}
}

// Guards against a host that was replaced by plan, its successor first, and counts as a voter for
// seconds after it has stopped: the group bears one loss less until then (issue 20).
func TestStoppedSurplusVoterIsRemovedAtOnce(t *testing.T) {
	for name, leads := range map[string]bool{"follower": false, "leader": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
			c.leaderOtherThan("127.0.0.3")
			c.start("127.0.0.4", false)
			c.wait("a fourth voter", func() bool { return c.voters() == 4 })
			old := c.hosts["127.0.0.3"]
			if leads {
				old = c.leader()
			}
			c.stop(old)
			stopped := time.Now()
			for {
				if leader := c.leader(); leader != nil {
					if q := leader.runner.Status().Node.Quorum(); q.Voters == 3 && q.Margin == 1 {
						break
					}
				}
				if time.Since(stopped) > time.Second { // an election, far less than removeAfter
					t.Fatalf("%d voters %s after the stop of %s", c.voters(), time.Since(stopped), old.name)
				}
				time.Sleep(time.Millisecond)
			}
			t.Logf("removed %s after the stop", time.Since(stopped))
		})
	}
}

// Guards against a host that was removed while it could not be heard, and that never joins again
// since its own log still lists it as a voter (issue 20).
func TestRemovedHostJoinsAgain(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	leader := c.leaderOtherThan("127.0.0.3")
	removed := c.hosts["127.0.0.3"]
	if err := leader.runner.Remove(t.Context(), removed.name); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	for leader.runner.Status().Node.Quorum().Margin < 1 {
		if time.Since(started) > catchUp {
			t.Fatalf("the host is no voter %s after its removal: %+v", catchUp, leader.runner.Status().Node.Members)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a host that never starts again after it lost power while it created its store on an
// empty disk, so that the group stays one voter short (issue 20).
func TestHostJoinsAfterCrashDuringItsFirstStart(t *testing.T) {
	leftovers := map[string]func(dir string){
		"first segment": func(dir string) { createStore(t, dir, "identity") },
		"identity not renamed": func(dir string) {
			createStore(t, dir, "identity")
			if err := os.WriteFile(filepath.Join(dir, "identity.tmp"), []byte{1}, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"directory": func(dir string) {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				t.Fatal(err)
			}
		},
	}
	for name, leave := range leftovers {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
			c.leaderOtherThan("127.0.0.3")
			c.dirs["127.0.0.4"] = t.TempDir()
			leave(filepath.Join(c.dirs["127.0.0.4"], groupName))
			added := c.start("127.0.0.4", false)
			for started := time.Now(); !isVoter(added.runner.Status().Node); time.Sleep(time.Millisecond) {
				if time.Since(started) > catchUp {
					t.Fatalf("no voter %s after the start", catchUp)
				}
			}
		})
	}
}

// createStore creates a store and removes one of its files.
func createStore(t *testing.T, dir, removed string) {
	t.Helper()
	store, err := storage.Create(dir, 1, storage.Options{})
	if err != nil {
		t.Fatal(err)
	}
	_ = store.Close()
	if err := os.Remove(filepath.Join(dir, removed)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a host whose disk was lost and that never joins again, and so tells no gateway where the
// leader is, since none of its seeds is a member any more: the others send to it, and it did not listen
// to who they are (issue 20).
func TestLostHostWithoutLiveSeedsJoins(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.leaderOtherThan("127.0.0.3")
	c.seeds = []string{"127.0.0.3:1", "127.0.0.9:1"} // the second one is gone
	for _, ip := range []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"} {
		c.kill(c.hosts[ip])
	}
	c.dirs["127.0.0.3"] = ""
	started := time.Now()
	for _, ip := range []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"} {
		c.start(ip, false)
	}
	for lost := c.hosts["127.0.0.3"]; !isVoter(lost.runner.Status().Node); time.Sleep(time.Millisecond) {
		if time.Since(started) > catchUp {
			t.Fatalf("no voter %s after the start; known control hosts: %v", catchUp, lost.otherControlHosts())
		}
	}
}

// silentHost accepts the connections of peers and answers no call, like a host whose disk hangs.
type silentHost struct{}

func (silentHost) Call(ctx context.Context, _ *peer.Conn, _ int, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (silentHost) Notify(*peer.Conn, int, []byte) {}
func (silentHost) Closed(*peer.Conn)              {}

// Guards against a host that joins late since it asks hosts which don't answer one after the other,
// while others would (issue 20).
func TestJoiningHostWaitsForNoSilentHost(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.leaderOtherThan("127.0.0.3")
	for i := range 24 {
		ip := fmt.Sprintf("127.0.0.%d", 20+i)
		address := PeerAddress(ip, c.port)
		server, err := peer.NewServer(peer.ServerOptions{
			Listen: address, Self: peer.Identity{Name: address, Role: peer.RoleControl},
			Handler: silentHost{}, Limits: GatewayLimits(), Metrics: peer.NewMetrics(nil),
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = server.Stop(ctx)
		})
		c.seeds = append(c.seeds, ip+":1")
	}
	started := time.Now()
	added := c.start("127.0.0.4", false)
	for !isVoter(added.runner.Status().Node) {
		if time.Since(started) > catchUp/2 { // the rest is for an election and the transfer of the log
			t.Fatalf("no voter %s after the start", time.Since(started))
		}
		time.Sleep(time.Millisecond)
	}
}

// leaderOtherThan returns the leader once all hosts are voters, after a leadership transfer if the host
// with the given IP leads.
func (c *cluster) leaderOtherThan(ip string) *Host {
	c.t.Helper()
	c.wait("a leader other than "+ip, func() bool {
		leader := c.leader()
		if leader == nil || leader.runner.Status().Node.Quorum().Live < len(c.hosts) {
			return false
		}
		if leader == c.hosts[ip] {
			_ = leader.runner.TransferLeadership(c.t.Context(), []string{c.hosts["127.0.0.1"].name, c.hosts["127.0.0.2"].name})
			return false
		}
		return true
	})
	return c.leader()
}
