package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
)

// newAttemptRequest builds the request for one attempt at a destination.
func (h *Host) newAttemptRequest(r *pendingRequest, to destination) *forward.Request {
	in := r.in
	request := &forward.Request{
		Target:      to.target(),
		Class:       in.class,
		Header:      backendHeader(in, to),
		Body:        in.body,
		Deadline:    h.attemptDeadline(in, to),
		Repeatable:  in.repeatable,
		Writable:    to.writable,
		MaxBuffered: h.config.maxBodyBytes,
	}
	if in.class == admission.Upload {
		request.IdleTimeout = h.config.uploadIdleTimeout
	}
	if in.stream != nil {
		request.Stream, request.Length = in.stream, in.contentLength
	}
	if to.server.Region != h.settings.Region {
		h.link.meterAndPace(r, request)
	}
	return request
}

// attemptDeadline returns the deadline of an attempt. If the owner does not check fencing tokens, the
// maximum deadline bounds uploads too, because the key may be granted to a new owner after that time.
func (h *Host) attemptDeadline(in *inboundRequest, to destination) time.Time {
	if !to.keyed || to.server.Fencing {
		return in.deadline
	}
	latest := in.arrived.Add(h.config.maxDeadline)
	if in.deadline.IsZero() || in.deadline.After(latest) {
		return latest
	}
	return in.deadline
}

// backendHeader copies the end-to-end headers of the caller's request and adds the system's own.
func backendHeader(in *inboundRequest, to destination) *protocol.RequestHeader {
	header := &protocol.RequestHeader{}
	header.SetNoDefaultContentType(true)
	header.SetMethod(in.method)
	header.SetRequestURI(in.target)
	header.SetHost(to.server.Address)
	dropped := connectionTokens(in.header.Peek("Connection"))
	in.header.VisitAll(func(key, value []byte) {
		if isForwardedHeader(string(key), dropped) {
			header.Add(string(key), string(value))
		}
	})
	header.Set(wire.HeaderRequestID, in.id)
	setIfNotEmpty(header, wire.HeaderKey, in.key)
	setIfNotEmpty(header, wire.HeaderCustomer, in.customer)
	setIfNotEmpty(header, wire.HeaderIdempotencyKey, in.idempotencyKey)
	if to.keyed {
		header.Set(wire.HeaderSlot, strconv.Itoa(to.slot))
		header.Set(wire.HeaderToken, strconv.FormatUint(to.token, 10))
	}
	return header
}

func setIfNotEmpty(header *protocol.RequestHeader, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// isForwardedHeader reports whether a header is forwarded between caller and backend server. Not
// forwarded are hop-by-hop headers (RFC 9110, section 7.6.1), headers about framing, and the system's
// own. dropped holds the names that the Connection header lists, in lower case.
func isForwardedHeader(name string, dropped []string) bool {
	lower := strings.ToLower(name)
	switch lower {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
		"trailer", "transfer-encoding", "upgrade", "expect", "host", "content-length", "idempotency-key":
		return false
	}
	if strings.HasPrefix(lower, "galena-") {
		return false
	}
	for _, token := range dropped {
		if lower == token {
			return false
		}
	}
	return true
}

// connectionTokens returns the names listed in a Connection header, in lower case.
func connectionTokens(value []byte) []string {
	if len(value) == 0 {
		return nil
	}
	tokens := strings.Split(strings.ToLower(string(value)), ",")
	for i := range tokens {
		tokens[i] = strings.TrimSpace(tokens[i])
	}
	return tokens
}

// attemptContext returns the context for sending. It is canceled when the caller disconnects, but not
// by the deadline: the sender enforces the deadline itself, to tell the two cases apart. A recorded
// request continues after its caller has disconnected, so that a resend finds its response.
func (r *pendingRequest) attemptContext() context.Context {
	if r.record != nil {
		return context.WithoutCancel(r.in.callerContext)
	}
	return r.in.callerContext
}
