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

// Request is one request. It does not refer to the HTTP library's pooled memory.
type Request struct {
	// ID is the request id, which all attempts of the request share.
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Headers are the end-to-end headers.
	Headers []Header
	Body    []byte
	// HasBody is true if the caller sent a body, even an empty one.
	HasBody bool
	// FreshConnection requires a new connection. If the upstream closes a reused
	// connection, it is unknown whether it read the request.
	FreshConnection bool
	// AvoidLongIdle excludes connections that have been idle for longer than
	// longIdleThreshold.
	AvoidLongIdle bool
}

// Response is a complete response.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	// Leaving is true if the upstream announced that it accepts no new requests.
	Leaving bool
	// Pause is how long the upstream wants no requests from this daemon; 0 means none.
	Pause time.Duration
	// Closing is true if the upstream closes a connection that could have been
	// kept alive, which may mean that it is shutting down.
	Closing bool
}

// Kind is the outcome of an attempt, used as evidence about the upstream.
type Kind uint8

// Outcomes of an attempt.
const (
	// Success is a complete response with a status below 500.
	Success Kind = iota
	// Failure is a complete response with a status of 500 or more, or a response
	// that violates the protocol.
	Failure
	// Timeout means that no complete response arrived in time.
	Timeout
	// Truncated is a response that ended early or was aborted.
	Truncated
	// Shed means that the upstream rejected the request without running it.
	Shed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Lost means that the connection ended before any byte of a response.
	Lost
	// Canceled means that the caller disconnected; it is no evidence about the
	// upstream.
	Canceled
	// Refused means that the daemon did not send the request, for example at its
	// connection limit.
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

// Result is the outcome of one attempt.
type Result struct {
	// Response is set only if a complete response arrived.
	Response *Response
	Kind     Kind
	Verdict  verdict.Verdict
	// Latency is the duration of the attempt.
	Latency time.Duration
	// Reused is true if the attempt used a pooled connection.
	Reused bool
	// Err is the cause if there is no response.
	Err error
}

// Target is the destination of an attempt.
type Target struct {
	// ID is the id of the upstream expected at the address, or empty.
	ID string
	// Address is an IP:port.
	Address string
	// MaxConnections limits the connections from this daemon to the address.
	MaxConnections int
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout time.Duration
}

// Sender sends attempts. The context's deadline limits the attempt. Cancelling the
// context closes the connection, which lets the upstream stop its work.
type Sender interface {
	Do(ctx context.Context, target Target, request *Request) Result
	// Close closes all idle connections.
	Close()
}
