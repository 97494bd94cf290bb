// Package catalog is the state that all regions share: the services and the home region of each of
// their slots.
//
// State is a deterministic state machine that applies the commands of the global group's log. Its
// contract:
//
//   - A slot has at most one home region at any time; it has none before the first MoveHomes.
//   - A later move has two steps. MoveHomes sets the destination region; the old home region stays
//     responsible until Retired confirms that it has given up the slot.
//   - Each completed move increments the slot's generation. The generation is in the high bits of
//     fencing tokens, so tokens also increase when a slot moves.
//
// The leader of the global group decides which homes to set or move, from the capacities that the
// regions report.
package catalog
