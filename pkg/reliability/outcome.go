package reliability

import "time"

// Kind is the kind of an outcome.
type Kind uint8

// Kinds of outcomes.
const (
	// Success is a complete response in time.
	Success Kind = iota
	// Failure is an error response or a broken one.
	Failure
	// Lost is a connection that was closed or timed out without a response,
	// Unreachable one that could not be opened. The cause of both may be the network
	// path.
	Lost
	Unreachable
	// Overdue is a request without a response after several times the usual latency.
	// It is reported once per attempt.
	Overdue
	// Shed is a refusal because of load, which shows that the upstream is alive.
	Shed
)

var kindNames = [...]string{"success", "failure", "lost", "unreachable", "overdue", "shed"}

// String returns the form used in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Outcome is the result of one attempt.
type Outcome struct {
	Upstream string
	Kind     Kind
	// Latency is the time from dispatch to the end.
	Latency time.Duration
	// Route is the name of the request's route. Latencies differ between the routes
	// of a service.
	Route string
	// WasOverdue is true if the attempt was already reported as Overdue.
	WasOverdue bool
}

// Finding is the part of an outcome that homes send to each other.
type Finding struct {
	Kind Kind
	// Early is true if a failure came long before a response would.
	Early bool
	// Slow is true if a success took several times as long as usual.
	Slow bool
	// Age is the time from the request's arrival at the upstream to the outcome.
	Age time.Duration
}
