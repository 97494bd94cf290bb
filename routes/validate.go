package routes

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// MaxTargetOverTimeoutMillis limits by how much a latency objective may exceed the timeout of its
// route; the difference must be smaller. A larger one indicates that either value is wrong.
const MaxTargetOverTimeoutMillis = 60_000

// ErrInvalid is the cause of all errors returned by Validate.
var ErrInvalid = errors.New("routes: invalid configuration")

// Validate returns an error that describes the first problem of a configuration, or nil.
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
			return nil, errors.Wrapf(ErrInvalid, "service name %q is empty or a duplicate", s.Name)
		}
		if s.MaxConnections < 0 || s.WarmMillis < 0 {
			return nil, errors.Wrapf(ErrInvalid, "service %q has a negative limit", s.Name)
		}
		if err := validateWarmup(s); err != nil {
			return nil, err
		}
		if !s.Grants.valid() {
			return nil, errors.Wrapf(ErrInvalid, "service %q has the unknown grant mode %q", s.Name, s.Grants)
		}
		names[s.Name] = true
	}
	return names, nil
}

// Limits of how a service's servers start. They are far above what a server needs.
const (
	maxWarmupMillis    = 3_600_000
	maxWarmupPerSecond = 1e6
)

// validateWarmup checks how a service's servers start. The negated comparison also rejects NaN.
func validateWarmup(s Service) error {
	switch {
	case s.WarmupMillis < 0 || s.WarmupMillis > maxWarmupMillis:
		return errors.Wrapf(ErrInvalid, "service %q has a warm-up time of %d ms", s.Name, s.WarmupMillis)
	case !(s.WarmupPerSecond >= 0 && s.WarmupPerSecond <= maxWarmupPerSecond):
		return errors.Wrapf(ErrInvalid, "service %q has %v requests a second for a cold server", s.Name, s.WarmupPerSecond)
	}
	return nil
}

// matchKey is the part of a route that requests are matched against.
type matchKey struct{ host, prefix string }

func validateRoutes(list []Route, services map[string]bool) error {
	names := make(map[string]bool, len(list))
	matches := make(map[matchKey]bool, len(list))
	for _, r := range list {
		if r.Name == "" || names[r.Name] {
			return errors.Wrapf(ErrInvalid, "route name %q is empty or a duplicate", r.Name)
		}
		names[r.Name] = true
		match := matchKey{strings.ToLower(r.Host), r.PathPrefix}
		if matches[match] {
			return errors.Wrapf(ErrInvalid, "route %q has the same host and path prefix as another route", r.Name)
		}
		matches[match] = true
		if err := validateRoute(r, services); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
	}
	return nil
}

func validateRoute(r Route, services map[string]bool) error {
	switch {
	case !r.Kind.valid():
		return errors.Wrapf(ErrInvalid, "unknown kind %q", r.Kind)
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return errors.Wrapf(ErrInvalid, "prefix %q must begin and end with a slash", r.PathPrefix)
	case r.TimeoutMillis <= 0:
		return errors.Wrapf(ErrInvalid, "timeout %d ms must be positive", r.TimeoutMillis)
	case r.TargetMillis < 0 || r.TargetMillis >= r.TimeoutMillis+MaxTargetOverTimeoutMillis:
		return errors.Wrapf(ErrInvalid, "latency objective %d ms is negative or too far above the timeout %d ms", r.TargetMillis, r.TimeoutMillis)
	case r.MaxAttempts <= 0:
		return errors.Wrapf(ErrInvalid, "maximum number of attempts %d must be positive", r.MaxAttempts)
	}
	if err := validateRegions(r.AllowedRegions); err != nil {
		return err
	}
	return validateShares(r.Shares, services)
}

func validateRegions(regions []string) error {
	for i, region := range regions {
		if region == "" || slices.Contains(regions[:i], region) {
			return errors.Wrapf(ErrInvalid, "allowed region %q is empty or a duplicate", region)
		}
	}
	return nil
}

func validateShares(shares []Share, services map[string]bool) error {
	var total int64
	for _, s := range shares {
		if !services[s.Service] {
			return errors.Wrapf(ErrInvalid, "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.Wrapf(ErrInvalid, "service %q has a negative weight", s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.Wrap(ErrInvalid, "the weights of all shares add up to 0")
	}
	return nil
}
