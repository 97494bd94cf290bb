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

// headerOperator names the operator, whom the loser of a race is shown.
const headerOperator = "Galena-Operator"

var (
	// errRefused means that the change or question was refused or never sent.
	errRefused = errors.New("refused")
	// errUnknown means that a change may or may not be in force.
	errUnknown = errors.New("the outcome is unknown; it is safe to send the same change again")
)

// hostClient sends requests to control hosts' admin addresses.
type hostClient struct {
	http      *client.Client
	addresses []string // of control hosts
	entries   []string // of entry hosts, which only traces ask
	secret    []byte
	operator  string
	timeout   time.Duration
}

func newHostClient(addresses []string, secret []byte, operator string, timeout time.Duration) (*hostClient, error) {
	http, err := client.NewClient(client.WithDialer(dialer{standard.NewDialer()}), client.WithDialTimeout(timeout))
	if err != nil {
		return nil, errors.Wrap(err, "make HTTP client")
	}
	return &hostClient{http: http, addresses: addresses, secret: secret, operator: operator, timeout: timeout}, nil
}

// dialError means that no connection was opened, so nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

// dialer marks the errors of opening a connection.
type dialer struct{ network.Dialer }

// DialConnection opens a connection or fails with a dialError.
func (d dialer) DialConnection(protocol, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(protocol, address, timeout, config)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// answer is one host's answer.
type answer struct {
	status int
	body   []byte
}

func (a answer) ok() bool { return a.status == consts.StatusOK }

// detail returns what the body says to people.
func (a answer) detail() string {
	var refusal wire.Refusal
	if err := json.Unmarshal(a.body, &refusal); err == nil && refusal.Detail != "" {
		return refusal.Reason + ": " + refusal.Detail
	}
	return strings.TrimSpace(string(a.body))
}

// unknown reports whether the host said that the outcome is unknown, or failed
// without saying that nothing ran.
func (a answer) unknown() bool {
	if a.status < consts.StatusInternalServerError {
		return false
	}
	var refusal wire.Refusal
	err := json.Unmarshal(a.body, &refusal)
	return err != nil || refusal.Outcome != wire.OutcomeNotRun
}

// ask sends a question to each host in turn until one answers it.
func (c *hostClient) ask(ctx context.Context, path string) ([]byte, error) {
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

// change sends a change to each host in turn until one accepts or refuses it.
// Sending it again after a lost answer is safe, since a change carries its
// version or name and is accepted at most once.
func (c *hostClient) change(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var failures []string
	maybeSent := false
	for _, address := range c.addresses {
		got, err := c.send(ctx, method, address, path, body)
		var notSent *dialError
		switch {
		case errors.As(err, &notSent):
			failures = append(failures, err.Error())
		case err != nil:
			maybeSent = true
			failures = append(failures, err.Error())
		case got.ok():
			return got.body, nil
		case got.unknown():
			maybeSent = true
			failures = append(failures, address+": "+got.detail())
		case got.status >= consts.StatusInternalServerError: // not run by this host
			failures = append(failures, address+": "+got.detail())
		default:
			return nil, refusedBy(address, got, maybeSent)
		}
	}
	if maybeSent {
		return nil, errors.Wrap(errUnknown, strings.Join(failures, "\n"))
	}
	return nil, errors.Wrap(errRefused, "nothing was changed\n"+strings.Join(failures, "\n"))
}

// refusedBy tells a refusal. A conflict after an earlier try without an answer
// leaves open whether that try was accepted and then followed by another change.
func refusedBy(address string, got answer, maybeSent bool) error {
	if maybeSent && got.status == consts.StatusConflict {
		return errors.Wrapf(errUnknown, "an earlier try had no answer, then %s: %s", address, got.detail())
	}
	return errors.Wrapf(errRefused, "%s: %s", address, got.detail())
}

// send sends one request to one host.
func (c *hostClient) send(ctx context.Context, method, address, path string, body []byte) (answer, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set("Authorization", "Bearer "+string(c.secret))
	request.Header.Set(headerOperator, c.operator)
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/yaml"))
		request.SetBody(body)
	}
	if err := c.http.DoTimeout(ctx, request, response, c.timeout); err != nil {
		return answer{}, errors.Wrap(err, address)
	}
	return answer{status: response.StatusCode(), body: append([]byte{}, response.Body()...)}, nil
}
