// Package forward sends requests to backend servers over HTTP/1.1. For each attempt it determines
// whether the server did not run the request, answered it, or may have run it.
//
// Headers are encoded and decoded with hertz's codec. Hertz's HostClient is not used, because it
// retries a GET by itself when a pooled connection breaks, does not report whether any byte was
// written, and terminates a chunked body regularly even if the body's reader failed. Here a request is
// written at most once, on one connection, and the connection counts the bytes written.
package forward
