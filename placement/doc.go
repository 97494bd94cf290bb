// Package placement decides which backend server owns which slot of a service
// that is divided by key.
//
// Everything in it is a pure decision: ages, durations and loads are passed in,
// plans are returned, and nothing is sent or stored. A plan depends on its
// inputs alone, so that a new leader goes on where the old one stopped.
//
//   - SlotOf maps a key to its slot.
//   - Planner gives vacant slots an owner, and plans which owned slots to hand
//     over when servers join, drain or differ in load.
//   - HotKeys finds the hottest keys in a stream of requests in bounded memory,
//     and IsolationPlanner decides which of them get a slot of their own.
//   - PlanHomes divides a service's slots between regions.
//
// The contract of a plan: a slot goes only to a server that was passed in and is
// not draining; a slot that is being handed over is left alone; a vacant slot is
// assigned at once if any server can take it; handovers at one time are bounded.
//
// No type in this package is safe for concurrent use by itself, except Planner,
// which has no state but its settings.
package placement
