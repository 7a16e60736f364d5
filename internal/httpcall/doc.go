// Package httpcall calls HTTP/1.1 servers over kept connections.
//
// It uses the codec of the HTTP library and replaces its client, which reads interim answers,
// trailers, event streams and protocol switches without the checks of package httphead. An
// answer is read whole, within a time limit and a size limit, or the connection is closed.
package httpcall
