// Package proxy is the request path: it takes a caller's request, finds its
// service, and brings back one whole answer or says truthfully whether the
// request may have run.
//
// Proxy.Serve is the path itself, free of any HTTP library: check, forward to a
// home if this daemon is none, admit, claim, attempt, settle. Server puts it
// behind an HTTP server for callers, and ForwardHandler behind the messages of
// other daemons.
package proxy
