package routes

import (
	"strings"

	"github.com/pkg/errors"
)

// MaxTargetOverTimeoutMillis is the least by which a latency objective may not
// exceed the timeout of its route: beyond it, one of the two is a mistake.
const MaxTargetOverTimeoutMillis = 60_000

// ErrInvalid is the cause of every error of Validate.
var ErrInvalid = errors.New("routes: invalid configuration")

// Validate returns an error that names the first fault of a configuration.
func Validate(c Config) error {
	if c.Version == 0 {
		return errors.Wrap(ErrInvalid, "version is 0")
	}
	services, err := validateServices(c.Services)
	if err != nil {
		return err
	}
	return validateRoutes(c.Routes, services)
}

func validateServices(list []Service) (map[string]bool, error) {
	names := make(map[string]bool, len(list))
	for _, s := range list {
		if s.Name == "" || names[s.Name] {
			return nil, errors.Wrapf(ErrInvalid, "service %q has no name of its own", s.Name)
		}
		if s.MaxConnections < 0 || s.WarmMillis < 0 {
			return nil, errors.Wrapf(ErrInvalid, "service %q has a negative limit", s.Name)
		}
		names[s.Name] = true
	}
	return names, nil
}

// place is what a request is matched by.
type place struct{ host, prefix string }

func validateRoutes(list []Route, services map[string]bool) error {
	names := make(map[string]bool, len(list))
	places := make(map[place]bool, len(list))
	for _, r := range list {
		if r.Name == "" || names[r.Name] {
			return errors.Wrapf(ErrInvalid, "route %q has no name of its own", r.Name)
		}
		names[r.Name] = true
		at := place{strings.ToLower(r.Host), r.PathPrefix}
		if places[at] {
			return errors.Wrapf(ErrInvalid, "route %q has the host and prefix of another", r.Name)
		}
		places[at] = true
		if err := validateRoute(r, services); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
	}
	return nil
}

func validateRoute(r Route, services map[string]bool) error {
	switch {
	case r.Kind != Idempotent && r.Kind != Once && r.Kind != Upload:
		return errors.Wrapf(ErrInvalid, "unknown kind %q", r.Kind)
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return errors.Wrapf(ErrInvalid, "prefix %q must begin and end with a slash", r.PathPrefix)
	case r.TimeoutMillis <= 0:
		return errors.Wrap(ErrInvalid, "timeout must be positive")
	case r.TargetMillis < 0 || r.TargetMillis >= r.TimeoutMillis+MaxTargetOverTimeoutMillis:
		return errors.Wrap(ErrInvalid, "latency objective does not fit the timeout")
	case r.MaxAttempts <= 0:
		return errors.Wrap(ErrInvalid, "attempts must be positive")
	}
	return validateShares(r.Shares, services)
}

func validateShares(shares []Share, services map[string]bool) error {
	var total int64
	for _, s := range shares {
		if !services[s.Service] {
			return errors.Wrapf(ErrInvalid, "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.Wrapf(ErrInvalid, "negative weight of service %q", s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.Wrap(ErrInvalid, "the weights add up to 0")
	}
	return nil
}
