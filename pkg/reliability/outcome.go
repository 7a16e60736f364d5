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
	// Remote means that another home saw it. Its path to the upstream differs.
	Remote bool
	// WasOverdue means that the attempt was reported as Overdue before.
	WasOverdue bool
}
