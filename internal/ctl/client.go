package ctl

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

// Paths of the control hosts' operator interface.
const (
	pathPlans      = "/galena/v1/plans"      // GET, PUT: YAML
	pathAllowances = "/galena/v1/allowances" // GET, PUT: YAML
	pathStatus     = "/galena/v1/status"     // GET: JSON
	pathDump       = "/dump"                 // GET: JSON
)

// headerOperator names the operator, who is reported to the sender of a conflicting change.
const headerOperator = "Galena-Operator"

var (
	// errRefused means that the request was refused or never sent.
	errRefused = errors.New("refused")
	// errOutcomeUnknown means that a change may or may not have been applied.
	errOutcomeUnknown = errors.New("the outcome is unknown; it is safe to send the same change again")
)

// hostClient sends requests to control hosts' admin addresses.
type hostClient struct {
	http      *client.Client
	addresses []string // of control hosts
	entries   []string // of entry hosts; used by traces only
	secret    []byte
	operator  string
	timeout   time.Duration
}

func newHostClient(addresses []string, secret []byte, operator string, timeout time.Duration) (*hostClient, error) {
	http, err := client.NewClient(client.WithDialer(dialer{standard.NewDialer()}), client.WithDialTimeout(timeout))
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client")
	}
	return &hostClient{http: http, addresses: addresses, secret: secret, operator: operator, timeout: timeout}, nil
}

// dialError means that no connection was established, so nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

// dialer marks connection failures as dialError.
type dialer struct{ network.Dialer }

// DialConnection opens a connection. Its errors are of type dialError.
func (d dialer) DialConnection(protocol, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(protocol, address, timeout, config)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// response is the HTTP response of one host.
type response struct {
	status int
	body   []byte
}

func (r response) ok() bool { return r.status == consts.StatusOK }

// detail returns the human-readable part of the body.
func (r response) detail() string {
	var refusal wire.Refusal
	if err := json.Unmarshal(r.body, &refusal); err == nil && refusal.Detail != "" {
		return refusal.Reason + ": " + refusal.Detail
	}
	return strings.TrimSpace(string(r.body))
}

// outcomeUnknown reports whether the host failed without stating that the change was not applied.
func (r response) outcomeUnknown() bool {
	if r.status < consts.StatusInternalServerError {
		return false
	}
	var refusal wire.Refusal
	err := json.Unmarshal(r.body, &refusal)
	return err != nil || refusal.Outcome != wire.OutcomeNotRun
}

// get queries each host in turn until one responds with success.
func (c *hostClient) get(ctx context.Context, path string) ([]byte, error) {
	var failures []string
	for _, address := range c.addresses {
		got, err := c.send(ctx, consts.MethodGet, address, path, nil)
		switch {
		case err != nil:
			failures = append(failures, err.Error())
		case got.ok():
			return got.body, nil
		default:
			failures = append(failures, address+": "+got.detail())
		}
	}
	return nil, errors.Wrap(errRefused, strings.Join(failures, "\n"))
}

// update sends a change to each host in turn until one accepts or refuses it. Resending it after a
// lost response is safe: a change carries its version or name and is accepted at most once.
func (c *hostClient) update(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var failures []string
	maybeApplied := false
	for _, address := range c.addresses {
		got, err := c.send(ctx, method, address, path, body)
		var notConnected *dialError
		switch {
		case errors.As(err, &notConnected):
			failures = append(failures, err.Error())
		case err != nil:
			maybeApplied = true
			failures = append(failures, err.Error())
		case got.ok():
			return got.body, nil
		case got.outcomeUnknown():
			maybeApplied = true
			failures = append(failures, address+": "+got.detail())
		case got.status >= consts.StatusInternalServerError: // not applied by this host
			failures = append(failures, address+": "+got.detail())
		default:
			return nil, refusalError(address, got, maybeApplied)
		}
	}
	if maybeApplied {
		return nil, errors.Wrap(errOutcomeUnknown, strings.Join(failures, "\n"))
	}
	return nil, errors.Wrap(errRefused, "nothing was changed\n"+strings.Join(failures, "\n"))
}

// refusalError returns the error for a refused change. If an earlier attempt got no response, a
// conflict leaves the outcome unknown: that attempt may have been accepted and then superseded by
// another change.
func refusalError(address string, got response, maybeApplied bool) error {
	if maybeApplied && got.status == consts.StatusConflict {
		return errors.Wrapf(errOutcomeUnknown, "an earlier attempt got no response, then %s: %s", address, got.detail())
	}
	return errors.Wrapf(errRefused, "%s: %s", address, got.detail())
}

// send sends an authenticated request to one host.
func (c *hostClient) send(ctx context.Context, method, address, path string, body []byte) (response, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+string(c.secret))
	req.Header.Set(headerOperator, c.operator)
	if body != nil {
		req.Header.SetContentTypeBytes([]byte("application/yaml"))
		req.SetBody(body)
	}
	if err := c.http.DoTimeout(ctx, req, resp, c.timeout); err != nil {
		return response{}, errors.Wrap(err, address)
	}
	return response{status: resp.StatusCode(), body: append([]byte{}, resp.Body()...)}, nil
}
