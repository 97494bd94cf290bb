// Package allowance decides how much each customer may use each service. It keeps the operators'
// two lists, divides limits among children, and admits single requests at an entry host.
//
// # Lists
//
// Lists is a deterministic state machine over two versioned lists: the plan of each customer, and
// the limits of each plan. The operator chooses the version number of a list. A change is accepted
// if its number is higher than the current one. A change with the current number and the same
// content is a retry and succeeds again; with other content it is a conflict, and the refusal
// describes the change that won. A lower number is refused as stale, or answered as superseded if
// the change is a retry of a recent one. A list is validated as a whole before it is accepted. A
// customer without a plan has the plan named "default" if that plan exists, and is refused
// otherwise.
//
// # Allocator
//
// Allocator divides limits among children by leased shares, for example a region's part of a limit
// among its entry hosts. The sum of the shares that children may hold never exceeds the limit, even
// with lost, delayed and reordered messages, partitioned children and leader changes, provided that
//
//   - a child name identifies one incarnation, which uses a Holder,
//   - a new leader creates a new Allocator, with a higher epoch, after the old leader can no longer
//     answer, and
//   - the rates of any two clocks differ by at most the configured drift.
//
// A lowered limit takes full effect within one lease. Until then the sum of the shares may exceed
// the new limit, but never the old one.
//
// # Parts
//
// Parts is a deterministic state machine over each region's part of a limit, which is a fraction of
// it. AcceptedParts is a state machine in a region's own log, over the lowered parts that the
// region has accepted. The children of all regions together never hold more than the limit, even
// with stale copies of Parts, late or duplicate confirmations, partitions and leader changes,
// provided that
//
//   - a region's leader applies its whole log before it grants, and grants at most
//     AcceptedParts.EffectiveFraction of the limit, and
//   - a region confirms a lowered part only after it has accepted the part and
//     Allocator.WithinLimit holds for it.
//
// While a change of the lists is on its way to the regions, each region applies its part to the
// limit of its own version of the lists, so the guarantee then does not refer to a single limit.
// PartPlanner chooses which parts to shift.
//
// # Bucket
//
// Bucket admits requests at the rate of a share until the share's lease expires.
//
// The types are not safe for concurrent use, do not read clocks and do not start goroutines. Times
// are monotonic durations from an origin that the caller chooses.
package allowance
