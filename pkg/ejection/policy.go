package ejection

import (
	"math/rand/v2"
	"time"
)

// Policy paces ejections and returns.
type Policy struct {
	// Floor is the least number of upstreams that must stay in service.
	Floor int
	// EjectAlone is the score, in thresholds, at which an upstream is ejected
	// without another home's evidence; with it, the threshold itself suffices.
	EjectAlone float64
	// EjectAfter is the least time from the first to the latest bad outcome. A
	// short stall leads to a demotion only.
	EjectAfter time.Duration
	// HoldBase is the hold time of the first round; it doubles per round up to
	// HoldMax. HoldJitter is the relative jitter to either side.
	HoldBase, HoldMax time.Duration
	HoldJitter        float64
	// RoundMemory is after how long in service one round is forgotten.
	RoundMemory time.Duration
	// TrialFor is the least and TrialMax the longest time in trial; the
	// longest applies when there are no idempotent requests to try.
	TrialFor, TrialMax time.Duration
	// TrialSuccesses are the recent successes that end a trial.
	TrialSuccesses float64
	// RampFor is the length of a ramp, also for upstreams that just joined.
	RampFor time.Duration
	// Shares of the work that an upstream would get in full standing: in
	// trial, at the start of a ramp, and re-admitted because of the floor.
	TrialShare, RampStart, ReadmitShare float64
	// ReturningPart: one upstream per this many live ones, at least one, is in
	// trial or ramp at a time.
	ReturningPart int
	// Abandoned is how long after Until an entry that nobody advances stops
	// counting, so that an outage of the platform does not prolong ejections.
	Abandoned time.Duration
}

// DefaultPolicy returns the policy for a floor.
func DefaultPolicy(floor int) Policy {
	return Policy{
		Floor:          max(floor, 0),
		EjectAlone:     1.3,
		EjectAfter:     time.Second,
		HoldBase:       10 * time.Second,
		HoldMax:        10 * time.Minute,
		HoldJitter:     0.2,
		RoundMemory:    5 * time.Minute,
		TrialFor:       5 * time.Second,
		TrialMax:       30 * time.Second,
		TrialSuccesses: 3,
		RampFor:        30 * time.Second,
		TrialShare:     0.02,
		RampStart:      0.05,
		ReadmitShare:   0.3,
		ReturningPart:  8,
		Abandoned:      10 * time.Minute,
	}
}

// hold returns the jittered hold time of a round, counted from 1.
func (p Policy) hold(round int, rng *rand.Rand) time.Duration {
	hold := p.HoldMax
	if shift := max(round-1, 0); shift < maxRounds && p.HoldBase<<shift < p.HoldMax {
		hold = p.HoldBase << shift
	}
	return time.Duration(float64(hold) * (1 + p.HoldJitter*(2*rng.Float64()-1)))
}

// returning is how many of the live upstreams may be in trial or ramp at once.
func (p Policy) returning(live int) int { return max(1, live/max(p.ReturningPart, 1)) }

// allowed is how many of the live upstreams the floor allows to be ejected.
func (p Policy) allowed(live int) int { return max(live-max(p.Floor, 0), 0) }

// rounds returns the rounds that an entry still remembers.
func (p Policy) rounds(e Entry, now int64) int {
	if e.State != Returned || p.RoundMemory <= 0 {
		return e.Rounds
	}
	forgotten := max(now-e.Since, 0) / p.RoundMemory.Milliseconds()
	return int(max(int64(e.Rounds)-forgotten, 0))
}
