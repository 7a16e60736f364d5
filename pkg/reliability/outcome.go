package reliability

import "time"

// Kind is what an outcome says about an upstream.
type Kind uint8

// Kinds of outcomes.
const (
	// Success is a whole answer in time.
	Success Kind = iota
	// Failure is a failed or broken answer.
	Failure
	// Lost is a connection that ended, or stayed silent, without an answer, and
	// Unreachable one that could not be opened. They may be due to the path.
	Lost
	Unreachable
	// Overdue is a request still without an answer after several times the
	// usual latency; it is reported once.
	Overdue
	// Shed is a refusal because of load, which says that the upstream is alive.
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

// Outcome is the end of one attempt.
type Outcome struct {
	Upstream string
	Kind     Kind
	// Latency is the time from dispatch to the end.
	Latency time.Duration
	// Route names the route of the request. Routes of one service take
	// different times.
	Route string
	// WasOverdue means that the attempt was reported as Overdue before.
	WasOverdue bool
}

// Finding is what an outcome says about an upstream, in the form that homes
// tell each other.
type Finding struct {
	Kind Kind
	// Early means that a failure came long before an answer would.
	Early bool
	// Slow means that a success took several times as long as usual.
	Slow bool
	// Age is how long before the finding the request came to the upstream.
	Age time.Duration
}
