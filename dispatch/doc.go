// Package dispatch decides, on one gateway, whether a request can be served by a
// backend server in time, and which server of several takes it.
//
// A Load estimates how many requests a server has: this gateway's own, and those
// of others as the server last reported. Admit compares the expected wait with
// the time that the request has left. Choose picks a server for a request that
// any server of a service may run.
//
// The package is pure: time is a duration since an arbitrary origin.
package dispatch
