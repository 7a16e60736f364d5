package ejection

import (
	"math/rand/v2"
	"time"
)

// Policy holds the limits and timing of ejections and returns.
type Policy struct {
	// Floor is the minimum number of upstreams that stay in service.
	Floor int
	// EjectAloneScore is the minimum score, in thresholds, for an ejection
	// without evidence from another home. With such evidence it is 1.
	EjectAloneScore float64
	// MinEvidenceDuration is the minimum time from the first to the latest bad
	// outcome for an ejection. A shorter stall leads to a demotion only.
	MinEvidenceDuration time.Duration
	// HoldBase is the hold time of the first round. It doubles per round up to
	// HoldMax. HoldJitter is the maximum relative deviation in either direction.
	HoldBase, HoldMax time.Duration
	HoldJitter        float64
	// RoundMemory is the time in service that removes one round from the count.
	RoundMemory time.Duration
	// MinTrial and MaxTrial bound the length of a trial. MaxTrial applies if
	// there are no idempotent requests.
	MinTrial, MaxTrial time.Duration
	// TrialSuccesses is the number of recent successes that end a trial.
	TrialSuccesses float64
	// RampFor is the length of a ramp, also for newly joined upstreams.
	RampDuration time.Duration
	// Shares of an upstream's normal load: during a trial, at the start of a
	// ramp, and for upstreams readmitted because of the floor.
	TrialShare, RampStartShare, ReadmitShare float64
	// LivePerReturning is the number of live upstreams per upstream that may be
	// in trial or ramp at the same time. One is always allowed.
	LivePerReturning int
	// AbandonedAfter is the time after Until at which an entry that no home has
	// advanced is ignored, so that a platform outage does not prolong ejections.
	AbandonedAfter time.Duration
}

// DefaultPolicy returns the default policy with the given floor.
func DefaultPolicy(floor int) Policy {
	return Policy{
		Floor:               max(floor, 0),
		EjectAloneScore:     1.3,
		MinEvidenceDuration: time.Second,
		HoldBase:            10 * time.Second,
		HoldMax:             10 * time.Minute,
		HoldJitter:          0.2,
		RoundMemory:         5 * time.Minute,
		MinTrial:            5 * time.Second,
		MaxTrial:            30 * time.Second,
		TrialSuccesses:      3,
		RampDuration:        30 * time.Second,
		TrialShare:          0.02,
		RampStartShare:      0.05,
		ReadmitShare:        0.3,
		LivePerReturning:    8,
		AbandonedAfter:      10 * time.Minute,
	}
}

// holdTime returns the hold time of a round with jitter. The first round is 1.
func (p Policy) holdTime(round int, rng *rand.Rand) time.Duration {
	hold := p.HoldMax
	if shift := max(round-1, 0); shift < maxRounds && p.HoldBase<<shift < p.HoldMax {
		hold = p.HoldBase << shift
	}
	return time.Duration(float64(hold) * (1 + p.HoldJitter*(2*rng.Float64()-1)))
}

// maxReturning returns how many live upstreams may be in trial or ramp at once.
func (p Policy) maxReturning(live int) int { return max(1, live/max(p.LivePerReturning, 1)) }

// maxEjected returns how many live upstreams may be ejected under the floor.
func (p Policy) maxEjected(live int) int { return max(live-max(p.Floor, 0), 0) }

// rememberedRounds returns the rounds of an entry that still count.
func (p Policy) rememberedRounds(e Entry, now int64) int {
	if e.State != Returned || p.RoundMemory <= 0 {
		return e.Rounds
	}
	forgotten := max(now-e.Since, 0) / p.RoundMemory.Milliseconds()
	return int(max(int64(e.Rounds)-forgotten, 0))
}
