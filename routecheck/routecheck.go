package routecheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/galenalug/galenalug/routes"
)

// Severity says how serious a finding is.
type Severity string

// Severities, most serious first.
const (
	Error   Severity = "error"   // control hosts refuse the configuration
	Warning Severity = "warning" // the configuration is probably not what is meant
	Hint    Severity = "hint"    // the configuration can be simpler
)

// EntryKind is the kind of a part of a configuration.
type EntryKind string

// Kinds of entries, in the order of findings and differences.
const (
	KindFile          EntryKind = "file"    // the file as a whole, if it holds no configuration
	KindSetting       EntryKind = "setting" // a setting of such a file
	KindConfiguration EntryKind = "configuration"
	KindLimits        EntryKind = "limits"
	KindService       EntryKind = "service"
	KindRoute         EntryKind = "route"
)

var (
	severityOrder = []Severity{Error, Warning, Hint}
	kindOrder     = []EntryKind{KindFile, KindSetting, KindConfiguration, KindLimits, KindService, KindRoute}
)

// Entry names a part of a configuration.
type Entry struct {
	Kind EntryKind `json:"kind"`
	Name string    `json:"name,omitempty"` // of the service or route, or the path of the setting
}

// String returns the kind and the name. Names that a line of text can't hold as they are get quotes.
func (e Entry) String() string {
	if e.Name == "" && e.Kind != KindService && e.Kind != KindRoute {
		return string(e.Kind)
	}
	return string(e.Kind) + " " + quoteIfNeeded(e.Name)
}

func quoteIfNeeded(text string) string {
	if text == "" || strings.ContainsFunc(text, func(r rune) bool { return r == '"' || !unicode.IsGraphic(r) }) {
		return strconv.Quote(text)
	}
	return text
}

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)), cmp.Compare(a.Name, b.Name))
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Entry    Entry    `json:"entry"`
	Detail   string   `json:"detail"` // a sentence without a full stop
}

// Server is one backend server.
type Server struct {
	Service string
	Region  string // empty if not known
	Slots   int64
}

// Fleet is what is known of the deployment that gets the configuration.
type Fleet struct {
	ServersKnown     bool // whether Servers lists all servers of the services in force
	Servers          []Server
	HostMemoryBytes  int64 // memory of the smallest host; 0 if not known
	ClientWaitMillis int64 // longest time that clients wait for a response; 0 if not known
}

// Input is what Check uses.
type Input struct {
	Config  routes.Config
	Base    uint64         // version that the configuration is based on
	Current *routes.Config // configuration in force; nil if not known
	Fleet   Fleet

	// NotCompared states what could not be queried, and why; each becomes a warning.
	NotCompared []string
}

// Report is the result of Check.
type Report struct {
	Version  uint64 `json:"version"`
	Base     uint64 `json:"base"`
	Routes   int    `json:"routes"`
	Services int    `json:"services"`

	// InForce is the version that the configuration is compared with; nil if it is not known.
	InForce *uint64 `json:"in_force,omitempty"`

	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
}

// Count returns the number of findings with a severity.
func (r *Report) Count(severity Severity) int {
	count := 0
	for _, f := range r.Findings {
		if f.Severity == severity {
			count++
		}
	}
	return count
}

// Check returns all findings about a configuration, and its differences from the one in force.
func Check(in Input) *Report {
	r := &Report{
		Version: in.Config.Version, Base: in.Base, Routes: len(in.Config.Routes), Services: len(in.Config.Services),
		Findings: []Finding{}, Differences: []Difference{},
	}
	if in.Current != nil {
		version := in.Current.Version
		r.InForce, r.Differences = &version, compare(*in.Current, in.Config)
	}
	c := newChecker(in)
	for _, detail := range in.NotCompared {
		c.add(Warning, CodeNotCompared, Entry{Kind: KindConfiguration}, "%s", detail)
	}
	c.checkValidity()
	c.checkVersions(len(r.Differences) > 0)
	c.checkLimits()
	for i := range in.Config.Services {
		c.checkService(&in.Config.Services[i])
	}
	for i := range in.Config.Routes {
		c.checkRoute(&in.Config.Routes[i])
	}
	r.Findings = append(r.Findings, c.findings...)
	sortFindings(r.Findings)
	return r
}

// FileProblem is one reason for which a file holds no configuration.
type FileProblem struct {
	Setting string // path of the setting; empty for the file as a whole
	Detail  string
}

// InvalidFile returns the report on a file that holds no configuration.
func InvalidFile(problems []FileProblem) *Report {
	r := &Report{Findings: []Finding{}, Differences: []Difference{}}
	for _, p := range problems {
		entry := Entry{Kind: KindFile}
		if p.Setting != "" {
			entry = Entry{KindSetting, p.Setting}
		}
		r.Findings = append(r.Findings, Finding{Severity: Error, Code: CodeInvalidFile, Entry: entry, Detail: p.Detail})
	}
	sortFindings(r.Findings)
	return r
}

// sortFindings sorts findings by severity, entry, code and detail.
func sortFindings(list []Finding) {
	slices.SortFunc(list, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(severityOrder, a.Severity), slices.Index(severityOrder, b.Severity)),
			compareEntries(a.Entry, b.Entry), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Detail, b.Detail))
	})
}

// checker collects the findings about one configuration.
type checker struct {
	Input
	table    *routes.Table
	servers  map[string][]Server // by service
	uses     map[string]use      // by service
	findings []Finding
}

// use says how routes use a service that at least one of them names.
type use struct{ weighted bool }

func newChecker(in Input) *checker {
	c := &checker{Input: in, table: routes.NewTable(in.Config), servers: map[string][]Server{}, uses: map[string]use{}}
	for _, s := range in.Fleet.Servers {
		c.servers[s.Service] = append(c.servers[s.Service], s)
	}
	for i := range in.Config.Routes {
		for service, weight := range weights(&in.Config.Routes[i]) {
			c.uses[service] = use{weighted: c.uses[service].weighted || weight > 0}
		}
	}
	return c
}

// lacksServers reports whether a service certainly has no server. The servers of a service that is not in force yet are not
// known, since control hosts ignore them.
func (c *checker) lacksServers(service string) bool {
	return c.Fleet.ServersKnown && len(c.servers[service]) == 0 && c.Current != nil &&
		slices.ContainsFunc(c.Current.Services, func(s routes.Service) bool { return s.Name == service })
}

func (c *checker) add(severity Severity, code Code, entry Entry, format string, values ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Code: code, Entry: entry, Detail: fmt.Sprintf(format, values...)})
}

// checkValidity reports what routes.Validate rejects.
func (c *checker) checkValidity() {
	for _, p := range routes.Problems(c.Config) {
		c.add(Error, Code(p.Code), Entry{EntryKind(p.Entry), p.Name}, "%s", p.Detail)
	}
}

// checkVersions reports a version or base that control hosts refuse. They acknowledge a change again that they have
// accepted before, so a configuration that is in force already is no error.
func (c *checker) checkVersions(differs bool) {
	entry := Entry{Kind: KindConfiguration}
	version, base := c.Config.Version, c.Base
	if c.Current == nil {
		if version <= base {
			c.add(Error, CodeVersionNotAbove, entry, "version %d is not above its base, %d", version, base)
		}
		return
	}
	current := c.Current.Version
	if version == current && !differs {
		c.add(Hint, CodeAlreadyInForce, entry, "version %d with the same content is in force already", version)
		return
	}
	if base != current {
		c.add(Error, CodeBaseNotInForce, entry, "base %d is not the version in force, %d", base, current)
	}
	if version <= current {
		c.add(Error, CodeVersionNotAbove, entry, "version %d is not above the version in force, %d", version, current)
	}
}
