// Package ingress serves callers' HTTP/1.1 connections.
//
// Requests on one connection are read ahead and handled side by side; their
// answers go out in the order of the requests. A request must arrive whole
// within a time limit, whatever the rate at which its bytes trickle in. The
// context of a request ends when its caller closes the connection. A server
// that leaves closes connections between requests and never during one.
//
//	server := ingress.New(ln, limits, handler, log)
//	go server.Run()
//	server.EndAfterAnswer() // each connection ends with its next answer
//	server.Drain()          // those without a request end now
//	server.Shutdown(ctx)    // stops accepting and waits for the rest
//
// The codec is that of the HTTP library. Its own server handles one request of
// a connection at a time and so leaves pipelined requests unread, which is why
// it is not used here.
package ingress
