package allowance

import (
	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// Errors of Lists.Limit.
var (
	// ErrNoPlan means that the customer is in no plan and that there is no default
	// plan.
	ErrNoPlan = errors.New("the customer has no plan")
	// ErrNotAllowed means that the customer's plan does not allow the service.
	ErrNotAllowed = errors.New("the customer's plan does not allow the service")
)

// ErrCommand means that bytes do not decode to exactly one command.
var ErrCommand = errors.New("not an allowance command")

// Command is one entry of the log. One of Plans and Allowances is set.
type Command struct {
	Operator   string     `cbor:"o"` // who proposes the change; shown to the loser of a race
	Plans      *PlanList  `cbor:"p,omitempty"`
	Allowances *LimitList `cbor:"a,omitempty"`
}

// Encode returns the command's CBOR.
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
		return Command{}, errors.Wrap(ErrCommand, "want one list")
	}
	return c, nil
}

// Outcome says what became of a proposed list.
type Outcome string

// Outcomes.
const (
	OutcomeAccepted   Outcome = "accepted"   // the list is in force
	OutcomeRepeated   Outcome = "repeated"   // the same change was accepted before and is in force
	OutcomeSuperseded Outcome = "superseded" // the same change was accepted before; a later one is in force
	OutcomeConflict   Outcome = "conflict"   // another list has the number; see Winner
	OutcomeStale      Outcome = "stale"      // the number is lower than that in force
	OutcomeInvalid    Outcome = "invalid"    // the list has faults; see Problems
)

// Winner is the change that took a contested version number.
type Winner struct {
	Version     uint64       `json:"version" cbor:"v"`
	Operator    string       `json:"operator" cbor:"o"`
	Differences []Difference `json:"differences" cbor:"d"` // the first few; none for a number no longer in force
}

// Difference is an entry in which two lists differ. A side without the entry is
// empty.
type Difference struct {
	Entry  string `json:"entry" cbor:"e"`
	Winner string `json:"winner" cbor:"w"`
	Loser  string `json:"loser" cbor:"l"`
}

// Result is the answer to a command.
type Result struct {
	Outcome  Outcome  `json:"outcome" cbor:"o"`
	Version  uint64   `json:"version" cbor:"v"` // in force after the command
	Winner   *Winner  `json:"winner,omitempty" cbor:"w,omitempty"`
	Problems Problems `json:"problems,omitempty" cbor:"p,omitempty"`
}

// Succeeded reports whether the proposed change was accepted, now or before.
func (r Result) Succeeded() bool {
	return r.Outcome == OutcomeAccepted || r.Outcome == OutcomeRepeated || r.Outcome == OutcomeSuperseded
}

// Lists is the state machine of the two lists. Use NewLists or RestoreLists.
type Lists struct {
	plans            PlanList
	allowances       LimitList
	planHistory      history
	allowanceHistory history
	planOf           map[string]string           // by customer
	limits           map[string]map[string]Limit // by plan and service
}

// NewLists returns two empty lists of version 0.
func NewLists() *Lists {
	l := &Lists{}
	l.index()
	return l
}

// Plans returns the list of plans in force. It must not be changed.
func (l *Lists) Plans() PlanList { return l.plans }

// Allowances returns the list of allowances in force. It must not be changed.
func (l *Lists) Allowances() LimitList { return l.allowances }

// Limit returns what the customer may use of the service. It fails with
// ErrNoPlan or ErrNotAllowed.
func (l *Lists) Limit(customer, service string) (Limit, error) {
	plan, ok := l.planOf[customer]
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

// Apply applies a command.
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

// checkPlansKept refuses a list without a plan that a customer holds.
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

func (l *Lists) index() {
	l.planOf = make(map[string]string, len(l.plans.Plans))
	for _, entry := range l.plans.Plans {
		l.planOf[entry.Customer] = entry.Plan
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

// contentSum is the digest of a list's sorted entries.
func contentSum(entries any) [sha256.Size]byte {
	data, err := envelope.Marshal(entries)
	if err != nil {
		panic(err) // lists hold only strings and numbers
	}
	return sha256.Sum256(data)
}
