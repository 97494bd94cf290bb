package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/routes"
)

// reportConfig reports a configuration version to a leader as a gateway does.
func reportConfig(t *testing.T, client *peer.Client, version uint64) routes.ConfigReportReply {
	t.Helper()
	body, err := cbor.Marshal(routes.ConfigReport{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	replyBody, err := client.Call(ctx, wire.KindConfigReport, body)
	if err != nil {
		t.Fatal(err)
	}
	var reply routes.ConfigReportReply
	if err := cbor.Unmarshal(replyBody, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// subscribeStub connects a gateway to the leader and subscribes.
func (c *cluster) subscribeStub(leader *Host, name string) *peer.Client {
	c.t.Helper()
	return c.subscribeHandler(leader, name, &gatewayStub{owners: map[string]string{}, draining: map[string]bool{}})
}

// subscribeHandler connects a gateway whose messages go to the handler, and subscribes.
func (c *cluster) subscribeHandler(leader *Host, name string, handler peer.Handler) *peer.Client {
	c.t.Helper()
	client := peer.NewClient(peer.ClientOptions{
		Address: leader.name, Self: peer.Identity{Name: name, Role: peer.RoleEntry}, ExpectedName: leader.name, Handler: handler,
	})
	c.t.Cleanup(client.Close)
	c.wait("subscription of "+name, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Call(ctx, wire.KindSubscribe, firstSubscription)
		return err == nil
	})
	return client
}

// The leader knows which gateways use an older configuration.
func TestLeaderCountsGatewaysBehind(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	first, second := c.subscribeStub(leader, "gateway-1"), c.subscribeStub(leader, "gateway-2")
	c.putUntilAccepted(put(0, 5))
	if reply := reportConfig(t, first, 5); reply.Newest != 5 {
		t.Errorf("newest version: got %d, want 5", reply.Newest)
	}
	c.wait("one gateway behind", func() bool { return testutil.ToFloat64(leader.metrics.gatewaysBehind) == 1 })
	reportConfig(t, second, 5)
	c.wait("no gateway behind", func() bool { return testutil.ToFloat64(leader.metrics.gatewaysBehind) == 0 })
}
