package routes

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// MaxTargetOverTimeoutMillis limits by how much a latency objective may exceed the timeout of its
// route; the difference must be smaller. A larger one indicates that either value is wrong.
const MaxTargetOverTimeoutMillis = 60_000

// ErrInvalid is the cause of all errors returned by Validate.
var ErrInvalid = errors.New("routes: invalid configuration")

// ProblemCode names a rule that a configuration breaks. The codes are stable.
type ProblemCode string

// Rules that a configuration may break.
const (
	ProblemVersion      ProblemCode = "invalid-version"
	ProblemServiceName  ProblemCode = "invalid-service-name"
	ProblemServiceLimit ProblemCode = "invalid-service-limit"
	ProblemWarmupTime   ProblemCode = "invalid-warmup-time"
	ProblemWarmupRate   ProblemCode = "invalid-warmup-rate"
	ProblemGrantMode    ProblemCode = "unknown-grant-mode"
	ProblemRouteName    ProblemCode = "invalid-route-name"
	ProblemSameMatch    ProblemCode = "same-host-and-prefix"
	ProblemKind         ProblemCode = "unknown-kind"
	ProblemPrefix       ProblemCode = "invalid-path-prefix"
	ProblemTimeout      ProblemCode = "invalid-timeout"
	ProblemTarget       ProblemCode = "invalid-target"
	ProblemAttempts     ProblemCode = "invalid-attempts"
	ProblemRegion       ProblemCode = "invalid-region"
	ProblemService      ProblemCode = "unknown-service"
	ProblemWeight       ProblemCode = "negative-weight"
	ProblemNoWeight     ProblemCode = "no-weight"
)

// EntryKind is a kind of entry of a configuration.
type EntryKind string

// Kinds of entries.
const (
	EntryConfiguration EntryKind = "configuration" // the configuration as a whole
	EntryService       EntryKind = "service"
	EntryRoute         EntryKind = "route"
)

// Problem is one reason for which a configuration is invalid.
type Problem struct {
	Code   ProblemCode
	Entry  EntryKind
	Name   string // of the service or route
	Detail string

	// unnamed is whether Detail is about a route that it does not name.
	unnamed bool
}

// Err returns the problem as an error with the cause ErrInvalid.
func (p Problem) Err() error {
	err := errors.Wrap(ErrInvalid, p.Detail)
	if p.unnamed {
		return errors.Wrapf(err, "route %q", p.Name)
	}
	return err
}

// Validate returns an error that describes the first problem of a configuration, or nil.
func Validate(c Config) error {
	if problems := Problems(c); len(problems) > 0 {
		return problems[0].Err()
	}
	return nil
}

// Problems returns all reasons for which a configuration is invalid: first those of the configuration as a whole, then
// those of its services, then those of its routes, each in the order of the configuration.
func Problems(c Config) []Problem {
	var problems []Problem
	if c.Version == 0 {
		problems = append(problems, Problem{Code: ProblemVersion, Entry: EntryConfiguration, Detail: "version is 0"})
	}
	names := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		problems = append(problems, serviceProblems(s, names[s.Name])...)
		if s.Name != "" {
			names[s.Name] = true
		}
	}
	return append(problems, routesProblems(c.Routes, names)...)
}

// problemList collects the problems of one service or route.
type problemList struct {
	problems []Problem
	entry    Problem // template with the name of the entry
}

func (l *problemList) addIf(failed bool, code ProblemCode, format string, values ...any) {
	if !failed {
		return
	}
	p := l.entry
	p.Code, p.Detail = code, fmt.Sprintf(format, values...)
	l.problems = append(l.problems, p)
}

// Limits of how a service's servers start. They are far above what a server needs.
const (
	maxWarmupMillis    = 3_600_000
	maxWarmupPerSecond = 1e6
)

func serviceProblems(s Service, duplicate bool) []Problem {
	l := problemList{entry: Problem{Entry: EntryService, Name: s.Name}}
	l.addIf(s.Name == "" || duplicate, ProblemServiceName, "service name %q is empty or a duplicate", s.Name)
	l.addIf(s.MaxConnections < 0 || s.WarmMillis < 0, ProblemServiceLimit, "service %q has a negative limit", s.Name)
	l.addIf(s.WarmupMillis < 0 || s.WarmupMillis > maxWarmupMillis, ProblemWarmupTime,
		"service %q has a warm-up time of %d ms", s.Name, s.WarmupMillis)
	l.addIf(s.WarmupPerSecond < 0 || s.WarmupPerSecond > maxWarmupPerSecond || math.IsNaN(s.WarmupPerSecond), ProblemWarmupRate,
		"service %q has %v requests a second for a cold server", s.Name, s.WarmupPerSecond)
	l.addIf(!s.Grants.valid(), ProblemGrantMode, "service %q has the unknown grant mode %q", s.Name, s.Grants)
	return l.problems
}

// matchKey is the part of a route that requests are matched against.
type matchKey struct{ host, prefix string }

func routesProblems(list []Route, services map[string]bool) []Problem {
	var problems []Problem
	names := make(map[string]bool, len(list))
	matches := make(map[matchKey]bool, len(list))
	for _, r := range list {
		l := problemList{entry: Problem{Entry: EntryRoute, Name: r.Name}}
		l.addIf(r.Name == "" || names[r.Name], ProblemRouteName, "route name %q is empty or a duplicate", r.Name)
		names[r.Name] = true
		match := matchKey{strings.ToLower(r.Host), r.PathPrefix}
		l.addIf(matches[match], ProblemSameMatch, "route %q has the same host and path prefix as another route", r.Name)
		matches[match] = true
		l.entry.unnamed = true
		l.addRoute(r)
		l.addRegions(r.AllowedRegions)
		l.addShares(r.Shares, services)
		problems = append(problems, l.problems...)
	}
	return problems
}

func (l *problemList) addRoute(r Route) {
	l.addIf(!r.Kind.valid(), ProblemKind, "unknown kind %q", r.Kind)
	l.addIf(!strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"), ProblemPrefix,
		"prefix %q must begin and end with a slash", r.PathPrefix)
	l.addIf(r.TimeoutMillis <= 0, ProblemTimeout, "timeout %d ms must be positive", r.TimeoutMillis)
	l.addIf(r.TargetMillis < 0 || r.TargetMillis >= r.TimeoutMillis+MaxTargetOverTimeoutMillis, ProblemTarget,
		"latency objective %d ms is negative or too far above the timeout %d ms", r.TargetMillis, r.TimeoutMillis)
	l.addIf(r.MaxAttempts <= 0, ProblemAttempts, "maximum number of attempts %d must be positive", r.MaxAttempts)
}

func (l *problemList) addRegions(regions []string) {
	for i, region := range regions {
		l.addIf(region == "" || slices.Contains(regions[:i], region), ProblemRegion, "allowed region %q is empty or a duplicate", region)
	}
}

func (l *problemList) addShares(shares []Share, services map[string]bool) {
	var total int64
	negative := false
	for _, s := range shares {
		l.addIf(!services[s.Service], ProblemService, "unknown service %q", s.Service)
		l.addIf(s.Weight < 0, ProblemWeight, "service %q has a negative weight", s.Service)
		negative = negative || s.Weight < 0
		total += s.Weight
	}
	l.addIf(total == 0 && !negative, ProblemNoWeight, "the weights of all shares add up to 0")
}
