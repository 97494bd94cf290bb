// Package retry decides whether a failed request may be sent again.
//
// The outcome of an attempt is answered, not run or unknown (see Classify). A request that is not
// repeatable is retried only if none of its attempts can have run. Retries are paid from a budget
// that grows with first attempts, so that they cannot multiply the load of a failing service. An
// overloaded server gets no retries, and bulk requests are not retried across regions.
//
// The package is pure: time is a duration since an arbitrary monotonic origin, and the source of
// random numbers is passed in.
package retry
