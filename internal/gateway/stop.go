package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
)

const (
	// unreadyTime is how long a stopping gateway still accepts connections. The balancer checks
	// every second and removes a host after two failed checks.
	unreadyTime = 2300 * time.Millisecond
	// stopReserve is the part of the stop timeout that is left for cleanup.
	stopReserve = 900 * time.Millisecond
	// idleReserve is the part of the stop timeout, before stopReserve, in which idle connections are
	// closed. Until then they stay open: a request may be on its way on any of them.
	idleReserve = 900 * time.Millisecond
	// answerReserve is the part of the stop timeout, before stopReserve, in which the requests that are
	// still in flight are answered that their outcome is unknown.
	answerReserve = 50 * time.Millisecond
)

// Stop fails the balancer check and serves until the balancer sends new connections elsewhere. Then it
// completes the requests in flight, and refuses new ones on open connections until the clients have
// left them. Each response asks the client to leave its connection. A request that is still in flight at
// the end is answered that its outcome is unknown.
func (h *Host) Stop(ctx context.Context) error {
	log.WithField("host", h.settings.Name).Info("gateway stopping")
	total := clock.Seconds(h.settings.StopSeconds)
	h.stopEnd.Store(int64(clockNow() + total - stopReserve - answerReserve))
	h.stopping.Store(true)
	defer time.AfterFunc(total-stopReserve-answerReserve, h.giveUp).Stop()
	ctx, cancel := context.WithTimeout(ctx, total-stopReserve)
	defer cancel()
	clock.Sleep(ctx, min(unreadyTime, total/2))
	h.draining.Store(true)
	_ = h.listener.Close() // shutDown closes it again
	h.awaitClients(ctx, idleReserve)
	h.clientConns.awaitRead(ctx)
	err := shutDown(ctx, h.server)
	h.cancel()
	_ = h.readyServer.Close() // the balancer has removed the host by now
	h.done.Wait()
	h.events.Close()
	return errors.Wrap(err, "complete requests in flight")
}

// shutDown completes the requests in flight of a server whose listener is closed already. That it can't
// be closed again is no error: Shutdown reports it last, when no connection is left.
func shutDown(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// awaitClients returns when no client connection is open, or when no more than reserve is left until
// the deadline of the context.
func (h *Host) awaitClients(ctx context.Context, reserve time.Duration) {
	deadline, _ := ctx.Deadline()
	for time.Until(deadline) > reserve && ctx.Err() == nil && h.clientConns.open() > 0 {
		clock.Sleep(ctx, clientPollInterval)
	}
}
