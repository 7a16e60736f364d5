// Package ingress serves callers' HTTP/1.1 connections.
//
// Pipelined requests on one connection are handled concurrently, and their
// answers are sent in the order of the requests. A request must arrive completely
// within a time limit, however slowly its bytes trickle in. The context of a
// request ends when its caller closes the connection. Requests and answers of all connections
// share a memory budget (pkg/memory); large bodies that do not fit stay unread until others
// have been answered, and connections without progress are closed for others. Screen may
// refuse a request before its body is read. A draining server closes connections between
// requests and never during one. It reads the first request of each
// connection that was opened before.
//
//	server := ingress.New(ln, limits, handler, log)
//	go server.Run()
//	server.EndAfterAnswer() // each connection closes after its next answer
//	server.Drain()          // stops accepting; idle connections close now
//	server.Shutdown(ctx)    // waits for the rest
//
// The codec comes from the HTTP library and sees only heads that package httphead accepts; others
// are refused, and the connection closes. A panic while a request is read, handled or answered ends
// its connection, after the answers to earlier requests where possible. The library's server is not
// used, because it handles one request per connection at a time and leaves pipelined requests
// unread.
package ingress
