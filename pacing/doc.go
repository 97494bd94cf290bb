// Package pacing shares a narrow link between interactive and bulk traffic.
//
// Interactive bytes are never held up: they are only counted, and may put the
// link into debt. Bulk bytes go when the link has room left over, and always at
// a small share of its rate, so that bulk never stops. Debt and savings are
// bounded, so that neither a burst nor a quiet time counts for long.
//
// The decision is pure: time is a duration since an arbitrary monotonic origin.
// A Link is not safe for concurrent use; its user holds a lock around each call.
package pacing
