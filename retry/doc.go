// Package retry decides whether a request that failed may be sent again.
//
// Contract: an attempt ends as answered, not run or unknown (Classify). A
// request that may not be repeated is sent again only after attempts that ended
// as not run. Retries spend from a budget that grows with the first attempts,
// so that they never multiply the load of a service in trouble; none go into an
// overloaded server, and none cross regions for bulk.
//
// The package is pure: time is a duration since an arbitrary monotonic origin,
// and randomness is passed in.
package retry
