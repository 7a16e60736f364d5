package detector

import "time"

// Condition classifies an upstream by the evidence about it.
type Condition uint8

// Conditions.
const (
	// Healthy upstreams get their full share of requests.
	Healthy Condition = iota
	// Unhealthy upstreams fail or are slow for all homes. They are demoted and may
	// be ejected.
	Unhealthy
	// PathBad upstreams cannot be reached from this home. They are demoted at
	// this home only and never ejected.
	PathBad
)

// String returns the name used in logs.
func (c Condition) String() string { return [...]string{"healthy", "sick", "path-bad"}[min(c, 2)] }

// Reason identifies the strongest evidence in logs.
type Reason string

// Reasons.
const (
	ReasonNone        Reason = ""
	ReasonFailures    Reason = "failures"
	ReasonSlow        Reason = "slow"
	ReasonUnreachable Reason = "unreachable"
	ReasonTimeouts    Reason = "timeouts-here-only"
	ReasonOtherHomes  Reason = "other-homes"
)

const (
	// maxProbeNats is the evidence that failing probes add to that of requests.
	maxProbeNats = 1.0
	// minScoreForProbes is the minimum evidence from requests, in thresholds,
	// at which failing probes count.
	minScoreForProbes = 0.5
	// minOwnScore is the minimum local evidence, in thresholds, at which the
	// evidence of other homes is added.
	minOwnScore = 0.25
	// minTimeoutShare is the minimum share of timeouts among the failures for
	// the cause to be classified as a bad path.
	minTimeoutShare = 0.8
	// minUnhealthyHomes is the number of other homes that must classify an upstream
	// as unhealthy for it to be unhealthy without local evidence.
	minUnhealthyHomes = 2
)

// Assessment is the condition of one upstream at one point in time.
type Assessment struct {
	Upstream string
	// Score is the evidence in thresholds. An upstream is unhealthy from 1 on; local
	// evidence is capped at 2.
	Score     float64
	Condition Condition
	Reason    Reason
	// Since is the start of the condition.
	Since time.Time
	// EvidenceDuration is the time from the first to the latest bad outcome of the
	// evidence. A single stall yields less than a second.
	EvidenceDuration time.Duration
	// Successes and Failures count recent requests at this home and decay with
	// a half-life of 5 s.
	Successes, Failures float64
	// SupportingHomes is the number of other homes with evidence against the upstream.
	SupportingHomes int
	// Contradicted is true if another home recently had successful requests.
	Contradicted bool
	// ProbesFailing is true if most recent probes failed. It is used in logs only.
	ProbesFailing bool
}

// Assess returns the assessments of all upstreams, sorted by id.
func (g *Group) Assess(now time.Time) []Assessment {
	g.calibrate(now)
	g.dropStaleHomes(now)
	out := make([]Assessment, 0, len(g.upstreams))
	for _, u := range g.upstreams {
		out = append(out, g.assess(now, u))
	}
	return out
}

// assess determines the condition of one upstream and stores it for the
// hysteresis of the next call.
func (g *Group) assess(now time.Time, u *upstream) Assessment {
	remote := g.remoteEvidence(now, u.id)
	ownEvidence, hypothesis := u.strongest()
	score, pathScore := g.score(u, ownEvidence, remote), g.pathScore(u)
	wasBad := u.unhealthy || u.pathBad
	u.unhealthy, u.pathBad, u.reason = false, false, ReasonNone
	switch {
	case reachesThreshold(score, wasBad) && (wasBad || g.standsOut(u, hypothesis, ownEvidence, remote)):
		u.reason = reasonOf(hypothesis)
		u.pathBad = remote.contradictingHomes > 0 && remote.supportingHomes == 0 && u.failures > 0 && u.timeouts >= minTimeoutShare*u.failures
		if u.pathBad {
			u.reason = ReasonTimeouts
		}
		u.unhealthy = !u.pathBad
	case reachesThreshold(pathScore, wasBad):
		u.reason = ReasonUnreachable
		u.unhealthy = remote.confirmingHomes > 0 && remote.contradictingHomes == 0
		u.pathBad = !u.unhealthy
	case remote.unhealthyHomes >= minUnhealthyHomes && !u.workedRecently(ownEvidence/g.tuning.Threshold):
		u.reason, u.unhealthy = ReasonOtherHomes, true
		score = max(score, 1)
	}
	u.recordChange(now, wasBad)
	return Assessment{
		Upstream: u.id, Score: max(score, pathScore), Condition: u.condition(), Reason: u.reason,
		Since: u.conditionSince, EvidenceDuration: u.evidenceDuration(hypothesis), Successes: u.successes, Failures: u.failures,
		SupportingHomes: remote.supportingHomes, Contradicted: remote.contradictingHomes > 0, ProbesFailing: u.probeFailureShare > 0.5,
	}
}

// score returns the local evidence plus that of probes and other homes, in
// thresholds.
func (g *Group) score(u *upstream, own float64, remote remoteEvidence) float64 {
	threshold := g.tuning.Threshold
	sum := own
	if own >= minScoreForProbes*threshold && u.probeFailureShare > 0.5 {
		sum += maxProbeNats
	}
	if own >= minOwnScore*threshold {
		sum += remote.nats
	}
	return sum / threshold
}

// standsOut reports whether the upstream differs from its peers sufficiently
// for the part of the threshold that local evidence contributes.
func (g *Group) standsOut(u *upstream, hypothesis int, own float64, remote remoteEvidence) bool {
	needed := min(own, max(g.tuning.Threshold-remote.nats, 0))
	return g.contrast(u, hypothesis) >= minContrastShare*needed
}

// reachesThreshold reports whether a score is at the threshold, with hysteresis.
func reachesThreshold(score float64, wasBad bool) bool {
	return score >= 1 || wasBad && score >= clearScore
}

// workedRecently reports whether recent requests at this home succeeded.
func (u *upstream) workedRecently(score float64) bool {
	return u.successes >= minWorkingSuccesses && score < minOwnScore
}

// evidenceDuration returns the time from the first to the latest bad outcome.
func (u *upstream) evidenceDuration(hypothesis int) time.Duration {
	begin := u.changePoints[hypothesis].at
	if u.reason == ReasonUnreachable {
		begin = u.dialsFailingSince
	}
	if begin.IsZero() {
		return 0
	}
	return max(u.lastBadAt.Sub(begin), 0)
}

// recordChange updates the start of the condition and the number of relapses.
func (u *upstream) recordChange(now time.Time, wasBad bool) {
	isBad := u.unhealthy || u.pathBad
	if isBad == wasBad {
		return
	}
	u.conditionSince = now
	if isBad {
		if !u.lastRelapseAt.IsZero() && now.Sub(u.lastRelapseAt) <= relapseMemory {
			u.relapses = min(u.relapses+1, maxRelapses)
		}
		u.lastRelapseAt = now
	}
}

func (u *upstream) condition() Condition {
	switch {
	case u.unhealthy:
		return Unhealthy
	case u.pathBad:
		return PathBad
	default:
		return Healthy
	}
}

func reasonOf(hypothesis int) Reason {
	if hypothesis >= hypSlow {
		return ReasonSlow
	}
	return ReasonFailures
}
