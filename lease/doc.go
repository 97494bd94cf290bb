// Package lease keeps the leases of sessions on one host's monotonic clock.
//
// The granting side keeps a Tracker, the holding side a Holder. The contract
// between the two is that the Tracker never judges a lease over before its
// Holder does:
//
//   - The Holder counts a lease from the moment it sent the request that the
//     answer renews, so from a moment before the Tracker renewed it.
//   - The Tracker adds the largest tolerated clock drift to the lease.
//   - A Tracker that takes over (a new leader) treats every session as renewed
//     at that moment, since it does not know what its predecessor granted last.
//
// No two hosts' clocks are ever compared. Times are durations since an arbitrary
// origin of the host's own monotonic clock. The scheme is that of Gray and
// Cheriton, "Leases" (SOSP 1989).
package lease
