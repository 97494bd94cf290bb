package allowance

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// TotalPartUnits is the number of units into which a limit is divided among regions. Parts are
// fractions, so that a change of the limit changes every region's rate in proportion.
const TotalPartUnits = 10_000

// MaxPartPairs bounds the pairs whose parts have been shifted. The parts of all other pairs stay
// equal.
const MaxPartPairs = 10_000

// PartShift moves units of a pair's limit from one region to another. The donor's part is lowered
// at once. The recipient's part is raised when the donor confirms that it holds no more than its
// lowered part.
type PartShift struct {
	Customer string   `cbor:"c"`
	Service  string   `cbor:"s"`
	Regions  []string `cbor:"r"` // all regions; a pair's first shift starts from equal parts
	From     string   `cbor:"f"`
	To       string   `cbor:"t"`
	Units    int      `cbor:"u"`
}

// PartConfirmation confirms that a region holds no more than its lowered part.
type PartConfirmation struct {
	Customer string `cbor:"c"`
	Service  string `cbor:"s"`
	Region   string `cbor:"r"`
	Number   uint64 `cbor:"n"` // log index of the shift
}

// PartCommand is an entry of the global log, which all regions share.
type PartCommand struct {
	Confirmations []PartConfirmation `cbor:"c,omitempty"`
	Shifts        []PartShift        `cbor:"s,omitempty"`
}

// regionPart is one region's part of a pair's limit.
type regionPart struct {
	_      struct{} `cbor:",toarray"`
	Region string
	Units  int
}

// pairParts is the division of one pair's limit among regions. The units of a pending shift are
// still counted in the donor's part.
type pairParts struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Service  string
	Number   uint64 // log index of the last shift
	Parts    []regionPart
	From, To string // of the pending shift; empty for none
	Units    int    // of the pending shift
}

// Parts is the replicated state of all regions' parts. Pairs that were never shifted have equal
// parts and are not stored. Use NewParts or RestoreParts.
type Parts struct {
	pairs   map[Pair]*pairParts
	pending map[Pair]struct{}
}

// NewParts returns the state in which all parts are equal.
func NewParts() *Parts {
	return &Parts{pairs: map[Pair]*pairParts{}, pending: map[Pair]struct{}{}}
}

// Len returns the number of pairs that are stored, because their parts were shifted.
func (p *Parts) Len() int { return len(p.pairs) }

// Apply applies the command at a log index. Shifts and confirmations that do not match the current
// state have no effect.
func (p *Parts) Apply(index uint64, c PartCommand) {
	for _, confirm := range c.Confirmations {
		p.confirm(confirm)
	}
	for _, shift := range c.Shifts {
		p.shift(index, shift)
	}
}

func (p *Parts) confirm(c PartConfirmation) {
	pair := Pair{c.Customer, c.Service}
	parts := p.pairs[pair]
	if parts == nil || parts.From == "" || parts.From != c.Region || parts.Number != c.Number {
		return
	}
	parts.part(parts.From).Units -= parts.Units
	parts.part(parts.To).Units += parts.Units
	parts.From, parts.To, parts.Units = "", "", 0
	delete(p.pending, pair)
}

func (p *Parts) shift(index uint64, s PartShift) {
	pair := Pair{s.Customer, s.Service}
	parts := p.pairs[pair]
	if parts == nil {
		if len(p.pairs) >= MaxPartPairs || len(s.Regions) == 0 {
			return
		}
		parts = equalParts(s)
	}
	from, to := parts.part(s.From), parts.part(s.To)
	if parts.From != "" || from == nil || to == nil || from == to || s.Units <= 0 || s.Units > from.Units {
		return
	}
	parts.Number = index
	parts.From, parts.To, parts.Units = s.From, s.To, s.Units
	p.pairs[pair] = parts
	p.pending[pair] = struct{}{}
}

func equalParts(s PartShift) *pairParts {
	parts := &pairParts{Customer: s.Customer, Service: s.Service}
	for _, region := range s.Regions {
		if parts.part(region) == nil {
			parts.Parts = append(parts.Parts, regionPart{Region: region, Units: TotalPartUnits / len(s.Regions)})
		}
	}
	return parts
}

func (p *pairParts) part(region string) *regionPart {
	for i := range p.Parts {
		if p.Parts[i].Region == region {
			return &p.Parts[i]
		}
	}
	return nil
}

// Part is a region's part of a pair's limit according to one copy of Parts, which may be stale.
type Part struct {
	Number uint64 // log index of the pair's last shift; 0 for none
	Units  int    // that the region may use
}

// Part returns a region's part of a pair, without the units that the region gives away in a pending
// shift. regions is the number of all regions.
func (p *Parts) Part(pair Pair, region string, regions int) Part {
	parts := p.pairs[pair]
	if parts == nil {
		return Part{Units: TotalPartUnits / max(1, regions)}
	}
	result := Part{Number: parts.Number}
	if part := parts.part(region); part != nil {
		result.Units = part.Units
	}
	if parts.From == region {
		result.Units -= parts.Units
	}
	return result
}

// Pending reports whether a pair has an unconfirmed shift.
func (p *Parts) Pending(pair Pair) bool {
	_, ok := p.pending[pair]
	return ok
}

// LoweredPart is a part that a region has to accept and confirm.
type LoweredPart struct {
	Pair Pair
	Part Part
}

// LoweredParts returns the unconfirmed lowered parts of a region, sorted by pair.
func (p *Parts) LoweredParts(region string) []LoweredPart {
	var lowered []LoweredPart
	for pair := range p.pending {
		if p.pairs[pair].From == region {
			lowered = append(lowered, LoweredPart{Pair: pair, Part: p.Part(pair, region, 0)})
		}
	}
	slices.SortFunc(lowered, func(a, b LoweredPart) int { return comparePairs(a.Pair, b.Pair) })
	return lowered
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
}

// Snapshot encodes the state. Equal states give equal bytes.
func (p *Parts) Snapshot() ([]byte, error) {
	all := make([]pairParts, 0, len(p.pairs))
	for _, parts := range p.pairs {
		all = append(all, *parts)
	}
	slices.SortFunc(all, func(a, b pairParts) int {
		return comparePairs(Pair{a.Customer, a.Service}, Pair{b.Customer, b.Service})
	})
	data, err := envelope.Marshal(all)
	return data, errors.Wrap(err, "encode allowance parts")
}

// RestoreParts decodes a snapshot. Empty data gives the state of NewParts. It fails with
// ErrSnapshotCorrupt.
func RestoreParts(data []byte) (*Parts, error) {
	p := NewParts()
	if len(data) == 0 {
		return p, nil
	}
	var all []pairParts
	if err := envelope.Unmarshal(data, &all); err != nil {
		return nil, errors.Wrap(ErrSnapshotCorrupt, err.Error())
	}
	for i := range all {
		parts := &all[i]
		pair := Pair{parts.Customer, parts.Service}
		if _, exists := p.pairs[pair]; exists || !parts.valid() {
			return nil, errors.Wrapf(ErrSnapshotCorrupt, "invalid parts entry %d", i)
		}
		p.pairs[pair] = parts
		if parts.From != "" {
			p.pending[pair] = struct{}{}
		}
	}
	return p, nil
}

func (p *pairParts) valid() bool {
	sum := 0
	for i, part := range p.Parts {
		if part.Units < 0 || part.Units > TotalPartUnits || p.part(part.Region) != &p.Parts[i] {
			return false
		}
		sum += part.Units
	}
	if sum > TotalPartUnits {
		return false
	}
	if p.From == "" {
		return true
	}
	from := p.part(p.From)
	return from != nil && p.part(p.To) != nil && p.From != p.To && p.Units > 0 && p.Units <= from.Units
}
