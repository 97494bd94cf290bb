package allowance

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// TotalPartUnits is the number of units into which a limit is divided among regions.
// Parts are fractions, so that a changed limit changes every part with it.
const TotalPartUnits = 10_000

// MaxPartPairs bounds the pairs with parts of their own. Further pairs keep equal
// parts.
const MaxPartPairs = 10_000

// PartShift moves units of a pair's limit from one region to another. The donor
// is lowered at once; the other is raised when the donor's region confirms that it
// holds no more than what is left to it.
type PartShift struct {
	Customer string   `cbor:"c"`
	Service  string   `cbor:"s"`
	Regions  []string `cbor:"r"` // all regions; a pair's first shift starts from equal parts of them
	From     string   `cbor:"f"`
	To       string   `cbor:"t"`
	Units    int      `cbor:"u"`
}

// PartConfirmation says that a region holds no more than its lowered part.
type PartConfirmation struct {
	Customer string `cbor:"c"`
	Service  string `cbor:"s"`
	Region   string `cbor:"r"`
	Number   uint64 `cbor:"n"` // of the shift
}

// PartCommand is an entry of the log that all regions share.
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

// pairParts is how one pair's limit is divided. While a shift is pending its
// units are in the donor's part.
type pairParts struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Service  string
	Number   uint64 // log index of the last shift
	Parts    []regionPart
	From, To string // of the pending shift; empty for none
	Units    int    // of the pending shift
}

// Parts is the replicated state of the regions' parts. A pair that was never
// shifted has equal parts and takes no memory. Use NewParts or RestoreParts.
type Parts struct {
	pairs   map[Pair]*pairParts
	pending map[Pair]struct{}
}

// NewParts returns the state in which all parts are equal.
func NewParts() *Parts {
	return &Parts{pairs: map[Pair]*pairParts{}, pending: map[Pair]struct{}{}}
}

// Len returns the number of pairs with parts of their own.
func (p *Parts) Len() int { return len(p.pairs) }

// Apply applies the command at a log index. Shifts and confirmations that do not
// fit the state have no effect.
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

// Part is a region's part as one copy of the replicated state shows it.
type Part struct {
	Number uint64 // of the pair's last shift; 0 for none
	Units  int    // that the region may use
}

// Part returns a region's part of a pair, lowered already while the region is to
// give units away. regions is the number of all regions.
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

// Pending reports whether a shift of a pair is not confirmed yet.
func (p *Parts) Pending(pair Pair) bool {
	_, ok := p.pending[pair]
	return ok
}

// LoweredPart is a part that a region has to lower and confirm.
type LoweredPart struct {
	Pair Pair
	Part Part
}

// LoweredParts returns the unconfirmed lowered parts of a region, sorted.
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

// Snapshot returns the whole state. Equal states give equal bytes.
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

// RestoreParts returns the state of a snapshot; no bytes stand for the first
// state. It fails with ErrSnapshotCorrupt.
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
			return nil, errors.Wrapf(ErrSnapshotCorrupt, "entry %d", i)
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
