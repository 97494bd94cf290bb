package entry

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
)

// Stop shuts the host down gracefully. First /ready fails, so that the load balancer stops sending
// requests. After the unready period the host accepts no more connections, and finishes the requests
// in progress, including uploads, for at most the drain period or until ctx ends.
func (h *Host) Stop(ctx context.Context) error {
	var err error
	h.stopOnce.Do(func() { err = h.stop(ctx) })
	<-h.stopFinished
	return err
}

func (h *Host) stop(ctx context.Context) error {
	h.stopping.Store(true)
	close(h.stopStarted)
	h.logger.Info("shutting down: readiness check now fails")
	clock.Sleep(ctx, h.config.unreadyPeriod)
	drainContext, cancel := context.WithTimeout(ctx, h.config.drainPeriod)
	defer cancel()
	err := h.callerServer.Shutdown(drainContext)
	h.waitForBackground(drainContext)
	close(h.stopFinished)
	if client, ok := h.sender.(*forward.Client); ok {
		client.Close()
	}
	_ = h.adminServer.Shutdown(ctx)
	h.workerPool.Release()
	h.backgroundPool.Release()
	return err
}

func (h *Host) waitForBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		h.backgroundTasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// cancelOnStop returns a context that is also canceled when the shutdown starts, so that long polls
// don't delay it.
func (h *Host) cancelOnStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-h.stopStarted:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (h *Host) handleNoRoute(_ context.Context, c *app.RequestContext) {
	h.writeRefusal(c, nil, refuseNotRun(404, "no-such-path", "the path must be %s{service}/{path}", wire.PathServices))
}
