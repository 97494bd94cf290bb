// Package allowance decides what each customer may use: the operators' two
// lists, the division of an allowance among children, and the admission of one
// request at an entry host.
//
// # Lists
//
// Lists is a deterministic state machine over the two lists: the plan that each
// customer holds, and what each plan allows. Each list has a version number that
// the operator chooses. A change is accepted if its number is higher than the
// list's current one. The same number with the same content is the earlier
// change answered again; with other content it is a conflict and is refused with
// the winner shown. A lower number is refused, or answered as superseded if it is
// a recent change sent again. A list is checked as a whole before it is accepted.
// A customer that is in no plan has the plan named "default", if there is one,
// and is refused otherwise.
//
// # Allocator
//
// Allocator divides limits among children by leased shares, as a region's part
// among its entry hosts. It guarantees that the shares that children may hold never
// exceed the limit together, under lost, late and reordered messages, children
// that are cut off, and changes of leader, provided that
//
//   - a child name stands for one incarnation, which uses a Holder,
//   - a new leader makes a new Allocator, with a higher epoch, once the old one
//     can answer no more, and
//   - clocks run at most the configured drift apart.
//
// A lowered limit is in force within one lease. Until then the shares' sum may
// exceed the new limit, but never the old one.
//
// # Parts
//
// Parts is a deterministic state machine over each region's part of a limit, as a
// fraction of it; AcceptedParts is one over the lowered parts that a region has
// taken on, in the region's own log. The regions' children together never hold
// more than the limit, also with old copies of Parts, late or repeated
// confirmations, cuts and changes of leader, provided that
//
//   - a region's leader has applied its whole log, and grants at most
//     AcceptedParts.InForce of the limit, and
//   - it confirms a lowered part only once it is accepted and Allocator.Keeps it.
//
// A limit that changes is another one for the moment in which regions have
// different lists. PartPlanner says which parts to shift.
//
// # Bucket
//
// Bucket admits requests at the rate of a share for as long as its lease runs.
//
// Nothing here is safe for concurrent use, reads a clock or starts a goroutine.
// Times are monotonic, counted from any origin of the caller's own.
package allowance
