package reliability

import "time"

// Model describes the upstreams that an Estimator expects. Choices depend on
// the order of the probabilities more than on their values.
type Model struct {
	// Works and Fails are the mean durations of the two states.
	Works, Fails time.Duration
	// FailingShare is the share of requests that an upstream in the failing
	// state fails.
	FailingShare float64
	// ErrorShare is the share that a working upstream fails.
	ErrorShare float64
	// EarlyShare is the share of a failing upstream's failures that come long
	// before an answer would, and EarlyErrorShare that of a working upstream's.
	EarlyShare, EarlyErrorShare float64
	// SlowShare is the share of requests that are overdue at a failing upstream,
	// and SlowErrorShare that at a working one.
	SlowShare, SlowErrorShare float64
	// Start is the probability for an upstream of which nothing is known.
	Start float64
}

// DefaultModel returns the model of upstreams with gray failures that last for
// seconds, as the users describe theirs: at any moment some of the upstreams
// fail most of what they get for several seconds, while health checks pass.
func DefaultModel() Model {
	return Model{
		Works: 20 * time.Second, Fails: 8 * time.Second,
		FailingShare: 0.75, ErrorShare: 0.015,
		EarlyShare: 0.6, EarlyErrorShare: 0.1,
		SlowShare: 0.4, SlowErrorShare: 0.02,
		Start: 0.25,
	}
}

// failing is the share of time that an upstream spends in the failing state.
func (m Model) failing() float64 {
	return float64(m.Fails) / float64(m.Works+m.Fails)
}

// rate is how fast what is known of an upstream loses its meaning, per second.
func (m Model) rate() float64 {
	return 1/m.Works.Seconds() + 1/m.Fails.Seconds()
}
