// Package choice selects a server for each request of a service that is not keyed.
//
// A Chooser belongs to one entry host and one service. It relies on what that host observed itself:
// the number of its outstanding requests at each server, relative to the server's capacity, times
// the server's recent latency. Load that the servers report themselves has little weight, since it
// is delayed and can be misleading.
//
// All decisions are pure: time is passed in as a duration since an arbitrary monotonic origin, and
// the source of random numbers is passed in as well. A Chooser is not safe for concurrent use;
// callers must hold a lock around each call.
package choice
