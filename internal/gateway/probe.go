package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/httphead"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

const (
	// probeTimeout bounds a probe. It is answered at once, within the region; a later answer would cost the request more
	// than it gains.
	probeTimeout = 15 * time.Millisecond
	// maxProbeBody is the largest body of an answer to a probe, bytes.
	maxProbeBody = 1 << 10
)

// probePair asks the two servers that were drawn for a request for their load, and returns the index of the better one.
// Load reports that come with responses are too old where the hosts of servers share their processors with others. The
// first probe of a pair whose answer is missing changes nothing. (B. Wydrowski et al., "Load is not what you should
// balance: Introducing Prequal", NSDI 2024, probes on a similar ground, but not in the way of the request.)
func (c *call) probePair(service *routes.Service, servers []keyrange.Server, candidates []dispatch.Candidate, choice dispatch.Choice, request dispatch.Request, entry *queueEntry) int {
	first, second := choice.Index, choice.Second
	if second < 0 || c.attempts > 0 || service.HealthPath == "" || candidates[first].Cold || candidates[second].Cold {
		return first
	}
	if candidates[first].Distance == dispatch.OtherRegion || candidates[second].Distance == dispatch.OtherRegion {
		return first
	}
	if !c.host.backends.serviceState(c.service).probePays(request.Work, request.UntilTarget) {
		return first
	}
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, i := range []int{first, second} {
		probes.Go(func() { c.host.backends.get(servers[i]).probe(ctx, service.HealthPath, c.host.dialect) })
	}
	probes.Wait()
	now, once := clockNow(), !c.route.Kind.Repeatable()
	pair := []dispatch.Candidate{candidates[first], candidates[second]}
	for k, i := range []int{first, second} {
		c.host.backends.get(servers[i]).fillCandidate(now, &pair[k], entry, once)
	}
	request.UntilDeadline = time.Until(c.deadline)
	better := dispatch.ChooseByWork(now, pair, request, rand.Float64)
	if better.Index == 1 {
		return second
	}
	return first
}

// probe asks the server for its load. The connection is kept for a request.
func (b *backend) probe(ctx context.Context, path string, dialect Dialect) {
	b.probes.Inc()
	c, err := b.connect(ctx, false, "")
	if err != nil {
		return // the request to it shows whether it is a failure
	}
	info, err := c.probe(ctx, path, dialect)
	if err == nil && info.Load != nil && (info.ServerID == "" || info.ServerID == b.id) {
		b.mu.Lock()
		b.load.ObserveProbe(clockNow(), *info.Load)
		b.mu.Unlock()
	}
	b.release(c, err == nil && c.reader.Buffered() == 0)
}

// probe sends a probe on the connection and reads its answer.
func (c *conn) probe(ctx context.Context, path string, dialect Dialect) (ResponseInfo, error) {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return ResponseInfo{}, err
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, c.RemoteAddr()); err != nil {
		return ResponseInfo{}, err
	}
	c.limit.Limit(maxResponseHead)
	defer c.limit.Unlimit()
	resp, err := httphead.ReadResponse(c.reader, c.heads, &http.Request{Method: http.MethodGet})
	if err != nil {
		return ResponseInfo{}, err
	}
	info := dialect.ParseResponse(resp.StatusCode, resp.Header)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBody+1))
	if err == nil && (n > maxProbeBody || resp.Close || resp.StatusCode < http.StatusOK || info.ID != "") {
		err = errNoProbeAnswer // or one after which the connection is not used again
	}
	c.maxIdle = keepAliveTime(resp.Header)
	return info, err
}
