// Package listener wraps the accepted connections of an HTTP server so that
//
//   - a request must arrive completely within a time limit, however slowly its
//     bytes trickle in,
//   - the number of open connections is limited,
//   - the answers that the HTTP library itself writes to malformed requests
//     carry the verdict "not-run", because no handler saw the request. If the
//     request was sent before the answer to the previous one, they carry no
//     verdict, which callers treat as "may-have-run",
//   - a draining daemon closes connections between requests and never during
//     one.
//
// Pass a net.Listener to New, pass the result to the HTTP server, and return
// ContextFor(conn) from the server's accept hook. The handler calls
// MarkHandlerStarted(ctx) before it reads the request.
package listener
