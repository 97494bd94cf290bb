// Package evacuation decides which failure domains get no requests, and from when on.
//
// A Set holds the evacuated failure domains. It is replicated state: each change raises its revision by one, and a change
// that asks for what is in force changes nothing. The leader of the control hosts sends the set to the entry hosts, each
// of which keeps a Follower.
//
// The promise: from a bound after the acknowledgement of a start until the end, no request is sent to the failure
// domain. It rests on two rules:
//
//   - An entry host serves requests only under a lease that is granted on the newest set (package rollout). The start is
//     acknowledged once every entry host has the set, or has a lease that ends within the bound.
//   - An entry host that has the set sends no requests to the failure domain, with one exception: the owner of a key
//     still gets the requests for it until another server has the key. This ends at the bound, counted from the latest
//     time at which the entry host knew that the start was not yet committed. So it ends before the bound has passed
//     since the acknowledgement, however late the set arrived.
//
// The package does no I/O and reads no clock: times are durations since an origin of the caller's choice, on a clock that
// includes suspensions.
package evacuation
