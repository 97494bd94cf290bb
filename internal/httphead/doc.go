// Package httphead reads the heads of HTTP/1 responses more strictly than the parsers of the libraries do.
//
// The libraries accept a status outside 100 to 599, a field name that contains a blank, and a field that is
// folded over several lines. A server that sends such a head is faulty, and what its response means is not
// certain: a line that was to frame the body may have become part of another field, so that the body would
// end elsewhere. RFC 9112, sections 4, 5 and 6.1, lets a gateway treat these responses as errors.
package httphead
