// Package proxy implements the request path. It looks up the service of a
// caller's request and returns either one complete answer or a refusal that
// states correctly whether the request may have run.
//
// Proxy.Serve does not depend on an HTTP library. It validates the request,
// forwards it to a home if this daemon is not one, admits it, claims its
// idempotency key, attempts it at upstreams and stores the outcome. Server serves
// callers over HTTP; Proxy.HandleForward serves requests forwarded by other daemons.
package proxy
