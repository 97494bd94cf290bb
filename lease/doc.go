// Package lease implements time-bound leases of sessions, measured on each host's monotonic clock.
//
// The granting host keeps a Tracker, the session's host a Holder. The Tracker never considers a
// lease expired before its Holder does:
//
//   - The Holder counts a renewed lease from the time at which it sent the renewal request, which is
//     before the Tracker processed it.
//   - The Tracker extends the lease by the largest tolerated clock drift.
//   - A new Tracker, such as that of a new leader, treats every session as renewed at that moment,
//     because it does not know when its predecessor last renewed a lease.
//
// Clocks of different hosts are never compared. Times are durations since an arbitrary origin of
// the host's own monotonic clock. The scheme follows Gray and Cheriton, "Leases" (SOSP 1989).
package lease
