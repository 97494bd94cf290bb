// Package pacing shares a low-bandwidth link between interactive and bulk traffic.
//
// Interactive bytes are never delayed. They are only counted, and may overdraw the link's token
// bucket. Bulk bytes are sent when the link has unused capacity, and in any case at a small fraction
// of its rate, so that bulk traffic never stops completely. Both the credit and the debt of the
// bucket are bounded, so that neither an idle period nor a burst has a long-lasting effect.
//
// RoundTrips tells how long messages wait on a host's own link.
//
// All decisions are pure: time is a duration since an arbitrary monotonic origin. A Link is not safe
// for concurrent use; callers must hold a lock around each call.
package pacing
