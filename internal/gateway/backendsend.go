package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// send sends a request once and updates the load estimates.
func (b *backend) send(ctx context.Context, req *backendRequest, dialect Dialect) (*backendResponse, error) {
	b.mu.Lock()
	now := clockNow()
	queued := b.load.Requests(now) >= float64(req.slots)
	hadFreeSlot := b.load.HasFreeSlot(now, req.slots)
	b.load.Start()
	b.load.AddWork(req.cost.expected())
	if req.cost != nil {
		req.cost.host, req.cost.warmingUp = b.load.HostFactor(now), b.countdown.WarmingUp(now)
	}
	b.mu.Unlock()
	started := time.Now()
	resp, err := b.connectAndExchange(ctx, req, dialect)
	b.recordBroken(err, req)
	b.recordWarmth(now, req, resp, err)
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.load.End()
	defer b.load.AddWork(-req.cost.expected())
	if err != nil {
		b.learn(req, nil, err, time.Since(started), queued)
		b.recordFailure(err, time.Since(started), hadFreeSlot)
		return nil, err
	}
	b.load.SetKnown()
	b.recordWarmup(resp.info)
	b.newsAt = clockNow()
	if resp.info.Load != nil {
		b.load.ObserveReport(clockNow(), *resp.info.Load)
		b.observeReport(clockNow(), *resp.info.Load)
	}
	b.recordNotice(resp.info.Notice)
	b.learn(req, resp, nil, time.Since(started), queued)
	b.recordResponse(resp, time.Since(started), queued)
	return resp, nil
}

// errDrained is the error of a request for which a connection opened only at the end of its server's drain time, or after
// the start of its failure domain's evacuation.
var errDrained = errors.New("the server's drain time has passed, or its failure domain is evacuated")

func (b *backend) connectAndExchange(ctx context.Context, req *backendRequest, dialect Dialect) (*backendResponse, error) {
	mark(&req.progress.startedAt)
	dialContext, cancel := context.WithTimeout(ctx, min(req.dialTimeout, time.Until(req.deadline)))
	defer cancel()
	defer context.AfterFunc(req.client, cancel)()
	c, err := b.connect(dialContext, req.once, req.id)
	if req.clientLeft() {
		b.returnUnused(c, err)
		return nil, &exchangeError{reason: reasonCanceled, err: context.Canceled}
	}
	if err != nil {
		return nil, &exchangeError{reason: reasonConnect, connRefused: errors.Is(err, syscall.ECONNREFUSED), err: err}
	}
	if req.tooLate() {
		b.returnUnused(c, nil)
		return nil, &exchangeError{reason: reasonConnect, err: errDrained}
	}
	if req.withColdToken, err = req.claimCold(); err != nil {
		b.returnUnused(c, nil)
		return nil, &exchangeError{reason: reasonConnect, err: err}
	}
	if c.dialTook > 0 && req.onDial != nil {
		req.onDial(c.dialTook)
	}
	req.dialTook, c.dialTook = c.dialTook, 0
	req.onSend()
	return exchange(ctx, c, req, dialect, b.release)
}
