package allowance

import (
	"fmt"
	"math"
	"sort"
	"strings"
)

// DefaultPlan is the plan of customers that the list of plans does not name.
const DefaultPlan = "default"

// AnyService in a limit stands for every service that the plan does not name. The limit applies to
// each of these services separately.
const AnyService = "*"

// Bounds on the contents of lists.
const (
	MaxNameBytes = 255
	MaxEntries   = 1_000_000 // entries of one list
	MaxRate      = 1e9       // of requests_per_second and burst
	MaxVersion   = 1 << 53   // highest version number
)

// CustomerPlan assigns a plan to a customer.
type CustomerPlan struct {
	Customer string `yaml:"customer" json:"customer" cbor:"c"`
	Plan     string `yaml:"plan" json:"plan" cbor:"p"`
}

// Limit is what a plan allows for one service.
type Limit struct {
	Service           string  `yaml:"service" json:"service" cbor:"s"`
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" cbor:"r"`
	Burst             float64 `yaml:"burst" json:"burst" cbor:"b"` // requests admitted at once after an idle period
}

// PlanAllowance is what a plan allows. It does not allow services without a limit.
type PlanAllowance struct {
	Plan   string  `yaml:"plan" json:"plan" cbor:"p"`
	Limits []Limit `yaml:"limits" json:"limits" cbor:"l"`
}

// PlanList is the list of customers and the plan of each.
type PlanList struct {
	Version uint64         `yaml:"version" json:"version" cbor:"v"`
	Plans   []CustomerPlan `yaml:"plans" json:"plans" cbor:"p"`
}

// LimitList is the list of plans and the limits of each.
type LimitList struct {
	Version    uint64          `yaml:"version" json:"version" cbor:"v"`
	Allowances []PlanAllowance `yaml:"allowances" json:"allowances" cbor:"a"`
}

// Values of Problem.List.
const (
	ListPlans      = "plans"
	ListAllowances = "allowances"
)

// Problem is one validation error of a list.
type Problem struct {
	List  string `json:"list" cbor:"l"`
	Entry string `json:"entry" cbor:"e"` // "" for a problem of the whole list
	Field string `json:"field" cbor:"f"`
	Fault string `json:"fault" cbor:"p"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	if p.Entry == "" {
		return fmt.Sprintf("%s: %s: %s", p.List, p.Field, p.Fault)
	}
	return fmt.Sprintf("%s: entry %s: %s: %s", p.List, p.Entry, p.Field, p.Fault)
}

// Problems is the validation errors of a refused list. It implements error.
type Problems []Problem

// maxProblems bounds the number of problems reported for one list.
const maxProblems = 20

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(list, entry, field, format string, arguments ...any) {
	if len(*p) < maxProblems {
		*p = append(*p, Problem{List: list, Entry: entry, Field: field, Fault: fmt.Sprintf(format, arguments...)})
	}
}

func (p *Problems) checkName(list, entry, field, name string) {
	switch {
	case name == "":
		p.add(list, entry, field, "is empty")
	case len(name) > MaxNameBytes:
		p.add(list, entry, field, "is longer than %d bytes", MaxNameBytes)
	case strings.TrimSpace(name) != name:
		p.add(list, entry, field, "begins or ends with a space")
	}
}

func (p *Problems) checkSize(list string, version uint64, entries int) {
	if version == 0 || version > MaxVersion {
		p.add(list, "", "version", "must be from 1 to %d", uint64(MaxVersion))
	}
	if entries > MaxEntries {
		p.add(list, "", list, "has more than %d entries", MaxEntries)
	}
}

// Check returns the problems that can be found without the other list.
func (l PlanList) Check() Problems {
	var problems Problems
	problems.checkSize(ListPlans, l.Version, len(l.Plans))
	seen := make(map[string]bool, len(l.Plans))
	for i, entry := range l.Plans {
		name := entryName(i, entry.Customer)
		problems.checkName(ListPlans, name, "customer", entry.Customer)
		problems.checkName(ListPlans, name, "plan", entry.Plan)
		if seen[entry.Customer] {
			problems.add(ListPlans, name, "customer", "is listed more than once")
		}
		seen[entry.Customer] = true
	}
	return problems
}

// Check returns the problems that can be found without the other list.
func (l LimitList) Check() Problems {
	var problems Problems
	problems.checkSize(ListAllowances, l.Version, len(l.Allowances))
	seen := make(map[string]bool, len(l.Allowances))
	for i, entry := range l.Allowances {
		name := entryName(i, entry.Plan)
		problems.checkName(ListAllowances, name, "plan", entry.Plan)
		if seen[entry.Plan] {
			problems.add(ListAllowances, name, "plan", "is listed more than once")
		}
		seen[entry.Plan] = true
		problems.checkLimits(name, entry.Limits)
	}
	return problems
}

func (p *Problems) checkLimits(entry string, limits []Limit) {
	seen := make(map[string]bool, len(limits))
	for i, limit := range limits {
		field := fmt.Sprintf("limits[%d].", i)
		p.checkName(ListAllowances, entry, field+"service", limit.Service)
		if seen[limit.Service] {
			p.add(ListAllowances, entry, field+"service", "is listed more than once in the plan")
		}
		seen[limit.Service] = true
		p.checkNumber(entry, field+"requests_per_second", limit.RequestsPerSecond)
		p.checkNumber(entry, field+"burst", limit.Burst)
	}
}

func (p *Problems) checkNumber(entry, field string, number float64) {
	switch {
	case math.IsNaN(number) || math.IsInf(number, 0):
		p.add(ListAllowances, entry, field, "is not a finite number")
	case number < 0:
		p.add(ListAllowances, entry, field, "is negative")
	case number > MaxRate:
		p.add(ListAllowances, entry, field, "is greater than %g", MaxRate)
	}
}

// entryName identifies an entry by its position, counted from 1, and its name if it has one.
func entryName(index int, name string) string {
	if name == "" {
		return fmt.Sprintf("%d", index+1)
	}
	return fmt.Sprintf("%d (%q)", index+1, name)
}

// sorted returns a copy in the canonical order, in which lists are stored and compared.
func (l PlanList) sorted() PlanList {
	l.Plans = append([]CustomerPlan{}, l.Plans...)
	sort.Slice(l.Plans, func(i, j int) bool { return l.Plans[i].Customer < l.Plans[j].Customer })
	return l
}

// sorted returns a copy in the canonical order, in which lists are stored and compared.
func (l LimitList) sorted() LimitList {
	l.Allowances = append([]PlanAllowance{}, l.Allowances...)
	sort.Slice(l.Allowances, func(i, j int) bool { return l.Allowances[i].Plan < l.Allowances[j].Plan })
	for i := range l.Allowances {
		limits := append([]Limit{}, l.Allowances[i].Limits...)
		sort.Slice(limits, func(i, j int) bool { return limits[i].Service < limits[j].Service })
		l.Allowances[i].Limits = limits
	}
	return l
}
