// Package choice picks a server for each request of a service that is not
// divided by key.
//
// A Chooser belongs to one entry host and one service and goes by what that host
// saw itself: the requests it has outstanding at each server, over the server's
// capacity, times the server's recent latency. What servers report about
// themselves counts for little, since it lags and misleads.
//
// The decision is pure: time is passed in as a duration since an arbitrary
// monotonic origin, and so is the source of random numbers. A Chooser is not
// safe for concurrent use; its user holds a lock around each call.
package choice
