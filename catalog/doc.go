// Package catalog is the state that all regions share: the services and the home
// region of each of their slots.
//
// State is a deterministic state machine over the commands of the global log. Its
// contract:
//
//   - A slot has one home region at any time, or none yet.
//   - A home moves in two steps. MoveHomes names the region it goes to; the old
//     home stays responsible until Retired says that it has given the slot up.
//   - Each move raises the slot's generation, which stands in the high bits of
//     fencing tokens, so tokens grow over moves.
//
// Planner is the leader's part: from the regions' reports of capacity it says
// which homes to set or move.
package catalog
