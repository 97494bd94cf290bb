package entry

import (
	"bytes"
	"context"
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"github.com/galenalug/galenalug/internal/forward"
)

// readLimited reads the whole request body and fails if it exceeds maxBytes.
func readLimited(c *app.RequestContext, maxBytes int) ([]byte, error) {
	stream := c.Request.BodyStream()
	if stream == nil {
		return c.Request.Body(), nil
	}
	if length := c.Request.Header.ContentLength(); length >= 0 {
		stream = io.LimitReader(stream, int64(length))
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(maxBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBytes {
		return nil, errors.Errorf("more than %d bytes", maxBytes)
	}
	return body, nil
}

func (h *Host) handleReady(_ context.Context, c *app.RequestContext) {
	if h.stopping.Load() {
		c.String(503, "stopping\n")
		return
	}
	if h.hasTables != nil && !h.hasTables() {
		c.String(503, "the tables have not come yet\n")
		return
	}
	c.String(200, "ready\n")
}

func (h *Host) handleMetrics(_ context.Context, c *app.RequestContext) {
	text, err := metricsText(h.registry)
	if err != nil {
		c.String(500, "%v\n", err)
		return
	}
	c.Data(200, string(expfmt.NewFormat(expfmt.TypeTextPlain)), text)
}

func metricsText(gatherer prometheus.Gatherer) ([]byte, error) {
	families, err := gatherer.Gather()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&out, family); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

// stateDump is the process state that /dump returns.
type stateDump struct {
	Name         string         `json:"name"`
	Stopping     bool           `json:"stopping"`
	InFlight     int64          `json:"in_flight"`
	OwnerWaiters int64          `json:"owner_waiters"`
	RegionLink   linkBytes      `json:"region_link"`
	Connections  *forward.Stats `json:"connections,omitempty"`
	Gates        []gateDump     `json:"gates"`
	Rest         any            `json:"rest,omitempty"`
}

type gateDump struct {
	Group   string `json:"group"`
	Session uint64 `json:"session"`
	gateState
}

func (h *Host) handleDump(_ context.Context, c *app.RequestContext) {
	if !authorized(c, h.operatorSecret) {
		h.writeRefusal(c, nil, refuseNotRun(401, "unauthorized", "the operators' credential is missing or wrong"))
		return
	}
	c.JSON(200, h.dump())
}

func (h *Host) dump() stateDump {
	state := stateDump{
		Name:         h.settings.Name,
		Stopping:     h.stopping.Load(),
		InFlight:     h.inFlight.Load(),
		OwnerWaiters: h.ownerWaiters.Load(),
		RegionLink:   h.link.bytes(),
	}
	if client, ok := h.sender.(*forward.Client); ok {
		stats := client.Stats()
		state.Connections = &stats
	}
	h.gates.each(func(key sessionKey, gs gateState) {
		state.Gates = append(state.Gates, gateDump{Group: key.group, Session: key.session, gateState: gs})
	})
	if h.dumpOther != nil {
		state.Rest = h.dumpOther()
	}
	return state
}

// Dump returns the host's state in a form that encodes to JSON.
func (h *Host) Dump() any { return h.dump() }
