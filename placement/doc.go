// Package placement decides which backend server owns which slot of a keyed service.
//
// The package does no I/O and reads no clock: ages, durations and loads are passed in, and plans are
// returned. The plans of Planner and PlanHomes depend on their inputs alone, so that a new leader
// continues where the previous one stopped.
//
//   - SlotOf maps a key to its slot.
//   - Planner assigns vacant slots, and plans handovers of owned slots when servers join, drain or
//     differ in load.
//   - HotKeys finds the most requested keys in a stream of requests in bounded memory, and
//     IsolationPlanner decides which of them get a dedicated slot.
//   - PlanHomes distributes a service's slots over the regions.
//
// A plan of Planner guarantees: a slot goes only to a server that was passed in and is not draining;
// a slot that is being handed over is left alone; a vacant slot is assigned at once if any server can
// take it; the number of concurrent handovers is bounded.
//
// Planner has no state but its settings and is safe for concurrent use. The other types are not.
package placement
