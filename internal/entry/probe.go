package entry

import (
	"context"
	"time"

	"github.com/galenalug/galenalug/internal/forward"
)

// probeTimeout bounds a probe over a new connection, which normally takes about 6 ms.
const probeTimeout = 500 * time.Millisecond

// ProbeObserver is implemented by Observers that accept the results of probes. Probes use a new
// connection each, so that an unresponsive connection is not mistaken for an unresponsive server.
type ProbeObserver interface {
	// Probed reports whether a backend server answered a probe.
	Probed(server Server, answered bool)
}

type prober interface {
	Probe(ctx context.Context, target forward.Target) error
}

// Probe probes a server at the request of the control hosts, unless this host is stopping. The result
// goes to the Observer.
func (h *Host) Probe(server Server) {
	if !h.stopping.Load() {
		h.probe(server)
	}
}

// probe starts a probe of a server in the background, unless one is already running.
func (h *Host) probe(server Server) {
	p, ok := h.sender.(prober)
	if !ok {
		return
	}
	key := sessionKeyOf(server)
	if _, running := h.probing.LoadOrStore(key, true); running {
		return
	}
	h.backgroundTasks.Add(1)
	err := h.backgroundPool.Submit(func() {
		defer h.backgroundTasks.Done()
		defer h.probing.Delete(key)
		h.sendProbe(p, server)
	})
	if err != nil {
		h.probing.Delete(key)
		h.backgroundTasks.Done()
	}
}

func (h *Host) sendProbe(p prober, server Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := p.Probe(ctx, destination{server: server}.target())
	if observer, ok := h.observer.(ProbeObserver); ok {
		observer.Probed(server, err == nil)
		return
	}
	if err != nil {
		h.observer.ConnectionFailed(server)
	}
}
