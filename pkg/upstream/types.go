package upstream

import (
	"context"
	"time"

	"shallotglade/pkg/verdict"
)

// Header is one header line.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is one request, copied out of the HTTP library's pooled memory.
type Request struct {
	// ID is the request id, unique to the request and shared by its attempts.
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Headers are the end-to-end headers.
	Headers []Header
	Body    []byte
	// HasBody means that the caller sent a body, which may be empty.
	HasBody bool
	// FreshConnection asks for a new connection: on a kept connection that the
	// upstream is just closing, nothing tells whether the request was read.
	FreshConnection bool
	// Cautious asks for a new connection rather than one that has waited for
	// long.
	Cautious bool
}

// Response is one whole answer.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	// Leaving means that the upstream announced that it takes no more work.
	Leaving bool
	// Closing means that the upstream ends a connection that could have been
	// kept, which may be a sign that it leaves.
	Closing bool
}

// Kind says how an attempt ended, as evidence about the upstream.
type Kind uint8

// Kinds of ends of an attempt.
const (
	// Success is a whole answer with a status below 500.
	Success Kind = iota
	// Failure is a whole answer with a status of 500 or more, or one that
	// breaks the protocol.
	Failure
	// Timeout means that no whole answer came in time.
	Timeout
	// Truncated is an answer that was cut short.
	Truncated
	// Shed means that the upstream refused the request without running it.
	Shed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Lost means that the connection ended without an answer.
	Lost
	// Canceled means that the caller went away; it says nothing about the
	// upstream.
	Canceled
	// Refused means that the daemon itself did not send the request.
	Refused
)

var kindNames = [...]string{"success", "failure", "timeout", "truncated", "shed", "unreachable", "lost", "canceled", "refused"}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Result is the end of one attempt.
type Result struct {
	// Response is set only for a whole answer.
	Response *Response
	Kind     Kind
	Verdict  verdict.Verdict
	// Latency runs from the start of the attempt to its end.
	Latency time.Duration
	// Reused means that the attempt used a kept connection.
	Reused bool
	// Err is the cause when there is no answer.
	Err error
}

// Target is where an attempt goes.
type Target struct {
	// ID is the upstream that is expected at the address, or empty.
	ID string
	// Address is an IP number and port.
	Address string
	// MaxConnections bounds the connections that this daemon keeps to it.
	MaxConnections int
	// ConnectTimeout bounds opening a connection.
	ConnectTimeout time.Duration
}

// Sender sends attempts. The context's deadline bounds the attempt, and its
// cancellation closes the connection, which tells the upstream to stop.
type Sender interface {
	Do(ctx context.Context, target Target, request *Request) Result
	// Close ends all idle connections.
	Close()
}
