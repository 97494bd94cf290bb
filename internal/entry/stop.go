package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
)

// Stop stops the host without cutting a request: the balancer check fails first;
// after the unready time the host takes no more connections; then it finishes
// what it has, uploads included, for at most the drain time or until ctx ends.
func (h *Host) Stop(ctx context.Context) error {
	var err error
	h.stopOnce.Do(func() { err = h.stop(ctx) })
	<-h.stopFinished
	return err
}

func (h *Host) stop(ctx context.Context) error {
	h.stopping.Store(true)
	close(h.stopStarted)
	h.logger.Info("stopping: the balancer check fails from now on")
	sleepContext(ctx, h.config.unreadyPeriod)
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

func sleepContext(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// untilStopping ends long polls at a stop, so that they don't hold it up.
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
