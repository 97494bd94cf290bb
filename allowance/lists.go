package allowance

import (
	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// Errors of Lists.Limit.
var (
	// ErrNoPlan means that the customer has no plan and that there is no default plan.
	ErrNoPlan = errors.New("the customer has no plan")
	// ErrNotAllowed means that the customer's plan does not allow the service.
	ErrNotAllowed = errors.New("the customer's plan does not allow the service")
)

// ErrCommand means that the input is not an encoded command with exactly one list.
var ErrCommand = errors.New("invalid allowance command")

// Command is a log entry that replaces one of the lists. Exactly one of Plans and Allowances is
// set.
type Command struct {
	Operator   string     `cbor:"o"` // who proposed the change; shown to the authors of conflicting changes
	Plans      *PlanList  `cbor:"p,omitempty"`
	Allowances *LimitList `cbor:"a,omitempty"`
}

// Encode returns the command in CBOR.
func (c Command) Encode() ([]byte, error) {
	data, err := envelope.Marshal(c)
	return data, errors.Wrap(err, "encode allowance command")
}

// DecodeCommand decodes a command. It fails with ErrCommand.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := envelope.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrap(ErrCommand, err.Error())
	}
	if (c.Plans == nil) == (c.Allowances == nil) {
		return Command{}, errors.Wrap(ErrCommand, "exactly one of the lists must be set")
	}
	return c, nil
}

// Outcome is the result of proposing a list.
type Outcome string

// Values of Outcome.
const (
	OutcomeAccepted   Outcome = "accepted"   // the list is now current
	OutcomeRepeated   Outcome = "repeated"   // the same change was accepted before and is still current
	OutcomeSuperseded Outcome = "superseded" // the same change was accepted before; a later one is current
	OutcomeConflict   Outcome = "conflict"   // a different list with this version number is current; see Winner
	OutcomeStale      Outcome = "stale"      // the version number is lower than the current one
	OutcomeInvalid    Outcome = "invalid"    // the list is not valid; see Problems
)

// Winner is the accepted change with the version number that another change also proposed.
type Winner struct {
	Version     uint64       `json:"version" cbor:"v"`
	Operator    string       `json:"operator" cbor:"o"`
	Differences []Difference `json:"differences" cbor:"d"` // the first few; none if the winner is not current
}

// Difference is an entry in which two lists differ. It is empty for a list that lacks the entry.
type Difference struct {
	Entry  string `json:"entry" cbor:"e"`
	Winner string `json:"winner" cbor:"w"`
	Loser  string `json:"loser" cbor:"l"`
}

// Result is the answer to a command.
type Result struct {
	Outcome  Outcome  `json:"outcome" cbor:"o"`
	Version  uint64   `json:"version" cbor:"v"` // current version after the command
	Winner   *Winner  `json:"winner,omitempty" cbor:"w,omitempty"`
	Problems Problems `json:"problems,omitempty" cbor:"p,omitempty"`
}

// Succeeded reports whether the proposed change was accepted, by this command or an earlier one.
func (r Result) Succeeded() bool {
	return r.Outcome == OutcomeAccepted || r.Outcome == OutcomeRepeated || r.Outcome == OutcomeSuperseded
}

// Lists is the state machine of the two lists. Use NewLists or RestoreLists.
type Lists struct {
	plans            PlanList
	allowances       LimitList
	planHistory      history
	allowanceHistory history
	planByCustomer   map[string]string
	limits           map[string]map[string]Limit // by plan and service
}

// NewLists returns two empty lists of version 0.
func NewLists() *Lists {
	l := &Lists{}
	l.index()
	return l
}

// Plans returns the current list of plans. The caller must not modify it.
func (l *Lists) Plans() PlanList { return l.plans }

// Allowances returns the current list of allowances. The caller must not modify it.
func (l *Lists) Allowances() LimitList { return l.allowances }

// Limit returns the customer's limit for the service. It fails with ErrNoPlan or ErrNotAllowed.
func (l *Lists) Limit(customer, service string) (Limit, error) {
	plan, ok := l.planByCustomer[customer]
	if !ok {
		plan = DefaultPlan
	}
	limits, ok := l.limits[plan]
	if !ok {
		return Limit{}, ErrNoPlan
	}
	if limit, ok := limits[service]; ok && service != AnyService {
		return limit, nil
	}
	if limit, ok := limits[AnyService]; ok {
		limit.Service = service
		return limit, nil
	}
	return Limit{}, ErrNotAllowed
}

// Apply applies the next command of the log.
func (l *Lists) Apply(c Command) Result {
	if len(c.Operator) > MaxNameBytes {
		var problems Problems
		problems.add("command", "", "operator", "is longer than %d bytes", MaxNameBytes)
		return Result{Outcome: OutcomeInvalid, Problems: problems}
	}
	switch {
	case c.Plans != nil:
		return l.setPlans(c.Operator, *c.Plans)
	case c.Allowances != nil:
		return l.setAllowances(c.Operator, *c.Allowances)
	}
	return Result{Outcome: OutcomeInvalid}
}

func (l *Lists) setPlans(operator string, list PlanList) Result {
	sum := contentSum(list.sorted().Plans)
	current := l.plans.Version
	if result, decided := l.planHistory.decide(current, list.Version, sum); decided {
		if result.Outcome == OutcomeConflict {
			result.Winner.Differences = comparePlans(l.plans, list)
		}
		return result
	}
	problems := list.Check()
	l.checkPlansKnown(list, &problems)
	if problems != nil {
		return Result{Outcome: OutcomeInvalid, Version: current, Problems: problems}
	}
	l.plans = list.sorted()
	l.planHistory.add(change{Version: list.Version, Operator: operator, Sum: sum})
	l.index()
	return Result{Outcome: OutcomeAccepted, Version: list.Version}
}

func (l *Lists) checkPlansKnown(list PlanList, problems *Problems) {
	for i, entry := range list.Plans {
		if _, known := l.limits[entry.Plan]; !known && entry.Plan != "" {
			problems.add(ListPlans, entryName(i, entry.Customer), "plan", "%q is not in the list of allowances", entry.Plan)
		}
	}
}

func (l *Lists) setAllowances(operator string, list LimitList) Result {
	sum := contentSum(list.sorted().Allowances)
	current := l.allowances.Version
	if result, decided := l.allowanceHistory.decide(current, list.Version, sum); decided {
		if result.Outcome == OutcomeConflict {
			result.Winner.Differences = compareAllowances(l.allowances, list)
		}
		return result
	}
	problems := list.Check()
	l.checkPlansKept(list, &problems)
	if problems != nil {
		return Result{Outcome: OutcomeInvalid, Version: current, Problems: problems}
	}
	l.allowances = list.sorted()
	l.allowanceHistory.add(change{Version: list.Version, Operator: operator, Sum: sum})
	l.index()
	return Result{Outcome: OutcomeAccepted, Version: list.Version}
}

// checkPlansKept adds a problem for each plan that a customer has but the list lacks.
func (l *Lists) checkPlansKept(list LimitList, problems *Problems) {
	kept := make(map[string]bool, len(list.Allowances))
	for _, entry := range list.Allowances {
		kept[entry.Plan] = true
	}
	for _, entry := range l.plans.Plans {
		if !kept[entry.Plan] {
			problems.add(ListAllowances, "", "allowances", "plan %q is missing, and customer %q holds it", entry.Plan, entry.Customer)
		}
	}
}

// index rebuilds the maps that Limit looks up.
func (l *Lists) index() {
	l.planByCustomer = make(map[string]string, len(l.plans.Plans))
	for _, entry := range l.plans.Plans {
		l.planByCustomer[entry.Customer] = entry.Plan
	}
	l.limits = make(map[string]map[string]Limit, len(l.allowances.Allowances))
	for _, entry := range l.allowances.Allowances {
		limits := make(map[string]Limit, len(entry.Limits))
		for _, limit := range entry.Limits {
			limits[limit.Service] = limit
		}
		l.limits[entry.Plan] = limits
	}
}

// contentSum returns the digest of a list's sorted entries.
func contentSum(entries any) [sha256.Size]byte {
	data, err := envelope.Marshal(entries)
	if err != nil {
		panic(err) // cannot happen: lists contain only strings and numbers
	}
	return sha256.Sum256(data)
}
