package detector

import "time"

// Kind classifies the outcome of a request, a dial or a probe.
type Kind uint8

// Outcome kinds.
const (
	// Success is a complete response without an error. Its Latency is evidence.
	Success Kind = iota
	// Failure is a complete response that reports an error of the upstream.
	Failure
	// Timeout is a request that got no response before its timeout.
	Timeout
	// Truncated is a response that ended early.
	Truncated
	// Shed is a request that the upstream rejected because of load.
	Shed
	// Unreachable is a dial that was refused or timed out.
	Unreachable
	// Reachable is a successful dial without a request, see Group.Redial.
	Reachable
	// Crash is a connection that was lost with a request in flight.
	ConnectionLost
	// Overdue is a request still in flight after Latency, reported once when
	// it exceeds Group.OverdueAfter. Its final outcome is observed with
	// WasOverdue set.
	Overdue
	// ProbeSuccess is a probe that succeeded.
	ProbeSuccess
	// ProbeFailure is a probe that failed.
	ProbeFailure
)

// Outcome is one observation about one upstream.
type Outcome struct {
	Upstream string
	Kind     Kind
	// Latency is the time from dispatch to the end of the response.
	Latency time.Duration
	// BlameWithheld is true if the request rather than the upstream is suspected
	// of causing the crash. It applies to Crash only.
	RequestSuspected bool
	// WasOverdue is true if the request was already reported as Overdue. Its
	// latency is then not counted again.
	WasOverdue bool
}
