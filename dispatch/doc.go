// Package dispatch selects the backend server for each request of one gateway, and rejects
// requests that no server can answer in time.
//
// A Load estimates the number of requests at a server: this gateway's own requests in flight, plus
// those of other gateways according to the server's latest load report. Admit compares the expected
// wait with the time until the request's deadline. Choose selects a server for a request that any
// server of its service may run; ChooseByWork does so by the expected remaining work at each, and Urgency tells what
// part of a server less urgent requests may use.
//
// The package does no I/O and reads no clock: times are durations since an arbitrary origin.
package dispatch
