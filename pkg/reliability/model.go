package reliability

import "time"

// Model describes the expected behavior of upstreams. Choices depend more on the
// order of the probabilities than on their values.
type Model struct {
	// MeanWorkingTime and MeanFailingTime are the mean durations of the working and
	// the failing state.
	MeanWorkingTime, MeanFailingTime time.Duration
	// FailingShare is the share of requests that fail at an upstream in the failing
	// state.
	FailingShare float64
	// ErrorShare is the share of requests that fail at a working upstream.
	ErrorShare float64
	// EarlyShare is the share of a failing upstream's failures that come long before
	// a response would, EarlyErrorShare that of a working upstream's failures.
	EarlyShare, EarlyErrorShare float64
	// SlowShare is the share of requests that are overdue at a failing upstream,
	// SlowErrorShare that at a working one.
	SlowShare, SlowErrorShare float64
	// InitialFailing is the failure probability of an upstream without outcomes.
	InitialFailing float64
}

// DefaultModel returns a model of upstreams with gray failures that last for seconds,
// as the users describe theirs: at any time some upstreams fail most requests for
// several seconds while their health checks pass.
func DefaultModel() Model {
	return Model{
		MeanWorkingTime: 20 * time.Second, MeanFailingTime: 8 * time.Second,
		FailingShare: 0.75, ErrorShare: 0.015,
		EarlyShare: 0.6, EarlyErrorShare: 0.1,
		SlowShare: 0.4, SlowErrorShare: 0.02,
		InitialFailing: 0.25,
	}
}

// longRunFailing returns the share of time that an upstream spends in the failing
// state.
func (m Model) longRunFailing() float64 {
	return float64(m.MeanFailingTime) / float64(m.MeanWorkingTime+m.MeanFailingTime)
}

// decayRate returns the rate, per second, at which a state probability converges to
// its long-run value.
func (m Model) decayRate() float64 {
	return 1/m.MeanWorkingTime.Seconds() + 1/m.MeanFailingTime.Seconds()
}
