// Package listener wraps the accepted connections of an HTTP server so that
//
//   - a request must arrive whole within a time limit, whatever the rate at
//     which its bytes trickle in,
//   - the number of open connections is bounded,
//   - the answers that the HTTP library writes itself to malformed requests
//     carry the verdict "not-run", since no handler saw the request; only for a
//     request that was sent before the answer to the one before it they carry
//     none, which callers take for "may-have-run",
//   - a daemon that leaves closes connections between requests and never
//     during one.
//
// Use New on a net.Listener, hand the result to the HTTP server, and let the
// server's accept hook return ContextFor(conn). The handler calls
// Begin(ctx) before it looks at the request.
package listener
