package detector

import "time"

// Kind is how one request or probe ended.
type Kind uint8

// Kinds of outcomes.
const (
	// Success is a complete response without an error; Latency counts.
	Success Kind = iota
	// Failure is a complete response that reports an error of the upstream.
	Failure
	// Timeout is a request without a response within its time.
	Timeout
	// Truncated is a response that ended early.
	Truncated
	// Shed is a request that the upstream refused because of load.
	Shed
	// Unreachable is a dial that was refused or timed out.
	Unreachable
	// Reachable is a dial that succeeded without a request, see Group.Redial.
	Reachable
	// Crash is a connection lost with a request in flight.
	Crash
	// Overdue is a request still in flight after Latency, reported once when
	// it exceeds Group.OverdueAfter. Its final outcome is observed with
	// WasOverdue set.
	Overdue
	// ProbeSuccess is a probe that was answered well.
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
	// BlameWithheld tells that a request and not the upstream is suspected of
	// the crash; it applies to Crash only.
	BlameWithheld bool
	// WasOverdue tells that this request was reported as Overdue before, so
	// that its latency is not counted twice.
	WasOverdue bool
}
