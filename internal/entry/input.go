package entry

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/wire"
)

const (
	maxNameBytes           = 128 // names of services, customers, servers, batches and the like
	maxKeyBytes            = 512
	maxIdempotencyKeyBytes = 256
	// reservedPath is the prefix of a backend server's paths that callers can't reach: the system's
	// own endpoints are under it.
	reservedPath = "/galena/"
)

// inboundRequest is a caller's request after validation.
type inboundRequest struct {
	id                    string // request id
	method                string
	service               string
	target                string // path and query at the backend server
	key                   string
	customer              string
	class                 admission.Class
	repeatable            bool
	idempotencyKey        string
	digestHeader          string
	upload                wire.UploadTarget
	requestedUploadServer string   // server that the caller names as holding the batch's parts
	uploadServer          string   // server that holds the batch's parts; empty if that is the key's owner
	batchContent          []string // length and digest of the whole batch, from a commit
	arrived               time.Time
	deadline              time.Time // zero for an upload without a deadline
	header                *protocol.RequestHeader
	contentLength         int // -1 for a chunked body
	body                  []byte
	stream                *limitedReader  // streamed body of an upload
	callerContext         context.Context // canceled when the caller disconnects
}

// parseInput parses and validates the header of a caller's request. Values are copied because hertz
// reuses the header's memory.
func parseInput(header *protocol.RequestHeader, now time.Time, config hostConfig) (*inboundRequest, *refusal) {
	in := &inboundRequest{header: header, arrived: now, method: string(header.Method()), contentLength: header.ContentLength()}
	steps := []func(*inboundRequest, hostConfig) *refusal{parseTarget, parseNames, parseClass, parseRepeatable, parseUpload, parseDeadline, checkBody}
	for _, step := range steps {
		if failure := step(in, config); failure != nil {
			return nil, failure
		}
	}
	return in, nil
}

func badRequest(format string, arguments ...any) *refusal {
	return refuseNotRun(400, reasonBadRequest, format, arguments...)
}

// parseTarget takes service and path from the raw request line, so that the path is forwarded to the
// backend server unchanged.
func parseTarget(in *inboundRequest, _ hostConfig) *refusal {
	if in.method == "CONNECT" || in.method == "TRACE" {
		return badRequest("method %s is not supported", in.method)
	}
	rest, found := bytes.CutPrefix(in.header.RequestURI(), []byte(wire.PathServices))
	if !found {
		return badRequest("the path must start with %s", wire.PathServices)
	}
	service, target, found := bytes.Cut(rest, []byte("/"))
	if !found || !validName(string(service)) {
		return badRequest("the path must be %s{service}/{path}", wire.PathServices)
	}
	in.service, in.target = string(service), "/"+string(target)
	if strings.HasPrefix(in.target, reservedPath) {
		return badRequest("paths under %s are reserved", reservedPath)
	}
	for _, b := range target {
		if b <= ' ' || b >= utf8.RuneSelf || b == '#' {
			return badRequest("the path must be percent-encoded")
		}
	}
	return nil
}

func parseNames(in *inboundRequest, _ hostConfig) *refusal {
	in.key = in.header.Get(wire.HeaderKey)
	in.customer = in.header.Get(wire.HeaderCustomer)
	in.idempotencyKey = in.header.Get(wire.HeaderIdempotencyKey)
	in.digestHeader = in.header.Get("Digest")
	switch {
	case !validText(in.key, maxKeyBytes):
		return badRequest("%s must be printable and at most %d bytes", wire.HeaderKey, maxKeyBytes)
	case in.customer != "" && !validName(in.customer):
		return badRequest("%s must be at most %d letters, digits, '.', '_' or '-'", wire.HeaderCustomer, maxNameBytes)
	case !validText(in.idempotencyKey, maxIdempotencyKeyBytes):
		return badRequest("%s must be printable and at most %d bytes", wire.HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return nil
}

func parseClass(in *inboundRequest, _ hostConfig) *refusal {
	switch value := in.header.Get(wire.HeaderClass); value {
	case "":
		in.class = admission.Order
		if in.method == "GET" || in.method == "HEAD" {
			in.class = admission.Lookup
		}
	case admission.Lookup.String():
		in.class = admission.Lookup
	case admission.Order.String():
		in.class = admission.Order
	case admission.Upload.String():
		in.class = admission.Upload
	default:
		return badRequest("%s must be lookup, order or upload", wire.HeaderClass)
	}
	return nil
}

func parseRepeatable(in *inboundRequest, _ hostConfig) *refusal {
	switch value := in.header.Get(wire.HeaderRepeatable); value {
	case "":
		in.repeatable = in.method == "GET" || in.method == "HEAD"
	case "true", "false":
		in.repeatable = value == "true"
	default:
		return badRequest("%s must be true or false", wire.HeaderRepeatable)
	}
	return nil
}

func parseDeadline(in *inboundRequest, config hostConfig) *refusal {
	value := in.header.Get(wire.HeaderDeadlineMillis)
	if value == "" {
		switch {
		case in.upload.Step == wire.UploadCommit:
			in.deadline = in.arrived.Add(config.maxDeadline)
		case in.class != admission.Upload:
			in.deadline = in.arrived.Add(config.defaultDeadline)
		}
		return nil
	}
	millis, err := strconv.ParseUint(value, 10, 31)
	if err != nil || millis == 0 {
		return badRequest("%s must be a whole number above 0", wire.HeaderDeadlineMillis)
	}
	left := time.Duration(millis) * time.Millisecond
	if in.class != admission.Upload {
		left = min(left, config.maxDeadline)
	}
	in.deadline = in.arrived.Add(left)
	return nil
}

func checkBody(in *inboundRequest, config hostConfig) *refusal {
	maxBytes := config.maxBodyBytes
	if in.streamsBody() {
		maxBytes = config.maxUploadBytes
	}
	if in.contentLength > maxBytes {
		return refuseNotRun(413, reasonTooLarge, "the body has %d bytes, at most %d are allowed", in.contentLength, maxBytes)
	}
	if in.header.IgnoreBody() && (in.contentLength > 0 || in.contentLength == -1) {
		return badRequest("a %s request may not have a body", in.method)
	}
	return nil
}

// validName reports whether name is 1 to maxNameBytes letters, digits, '.', '_' or '-'.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

// validText reports whether text is printable UTF-8 of at most maxBytes; it may be empty.
func validText(text string, maxBytes int) bool {
	if len(text) > maxBytes || !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// validAddress reports whether address is IP:port with a port above 0.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
