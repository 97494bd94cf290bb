// Package forward sends requests to backend servers over HTTP/1.1 and says
// truthfully how each ended.
//
// Hertz's codec writes and reads the headers. Hertz's HostClient is not used:
// it sends a GET again on its own when a pooled connection breaks, it does not
// tell whether a byte was written, and it writes the end of a chunked body also
// when the body's reader failed. Here each exchange happens on one connection,
// once, and the connection counts the bytes that it took.
package forward
