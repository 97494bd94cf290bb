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

// newRequest builds one attempt.
func (h *Host) newRequest(r *run, to destination) *forward.Request {
	in := r.in
	request := &forward.Request{
		Target:      to.target(),
		Class:       in.class,
		Header:      backendHeader(in, to),
		Body:        in.body,
		Deadline:    h.attemptDeadline(in, to),
		Repeatable:  in.repeatable,
		Writable:    to.writable,
		MaxBuffered: h.bounds.maxBodyBytes,
	}
	if in.class == admission.Upload {
		request.IdleTimeout = h.bounds.uploadIdle
	}
	if in.stream != nil {
		request.Stream, request.Length = in.stream, in.contentLength
	}
	if to.server.Region != h.settings.Region {
		h.link.measure(r, request)
	}
	return request
}

// attemptDeadline bounds also an upload where the owner does not check tokens:
// a new owner is granted once the longest deadline has passed.
func (h *Host) attemptDeadline(in *input, to destination) time.Time {
	if !to.keyed || to.server.Fencing {
		return in.deadline
	}
	latest := in.arrived.Add(h.bounds.maxDeadline)
	if in.deadline.IsZero() || in.deadline.After(latest) {
		return latest
	}
	return in.deadline
}

// backendHeader copies the end-to-end headers and adds ours.
func backendHeader(in *input, to destination) *protocol.RequestHeader {
	header := &protocol.RequestHeader{}
	header.SetNoDefaultContentType(true)
	header.SetMethod(in.method)
	header.SetRequestURI(in.target)
	header.SetHost(to.server.Address)
	dropped := connectionTokens(in.header.Peek("Connection"))
	in.header.VisitAll(func(key, value []byte) {
		if passesOn(string(key), dropped) {
			header.Add(string(key), string(value))
		}
	})
	header.Set(wire.HeaderRequestID, in.id)
	setIfAny(header, wire.HeaderKey, in.key)
	setIfAny(header, wire.HeaderCustomer, in.customer)
	setIfAny(header, wire.HeaderIdempotencyKey, in.idempotencyKey)
	if to.keyed {
		header.Set(wire.HeaderSlot, strconv.Itoa(to.slot))
		header.Set(wire.HeaderToken, strconv.FormatUint(to.token, 10))
	}
	return header
}

func setIfAny(header *protocol.RequestHeader, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// passesOn reports whether a header goes from one side to the other: neither
// hop-by-hop (RFC 9110, section 7.6.1), nor about framing, nor one of ours.
func passesOn(name string, dropped []string) bool {
	lower := strings.ToLower(name)
	switch lower {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
		"trailer", "transfer-encoding", "upgrade", "expect", "host", "content-length", "idempotency-key":
		return false
	}
	if strings.HasPrefix(lower, "galena-") {
		return false
	}
	for _, one := range dropped {
		if lower == one {
			return false
		}
	}
	return true
}

// connectionTokens returns the names listed in a Connection header.
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

// attemptContext is canceled when the caller goes away, but not by the deadline:
// the exchange keeps that by itself, and can then tell the two apart. A recorded
// request goes on without its caller, so that a resend finds its answer.
func (r *run) attemptContext() context.Context {
	if r.record != nil {
		return context.WithoutCancel(r.in.caller)
	}
	return r.in.caller
}
