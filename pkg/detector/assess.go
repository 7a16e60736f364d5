package detector

import "time"

// Condition is the judgement of an upstream.
type Condition uint8

// Conditions.
const (
	// Healthy upstreams get ordinary work.
	Healthy Condition = iota
	// Sick upstreams fail or are slow for everybody; they are demoted and may
	// be ejected.
	Sick
	// PathBad upstreams cannot be reached from this home; they are demoted
	// here and never ejected.
	PathBad
)

// String returns the form used in logs.
func (c Condition) String() string { return [...]string{"healthy", "sick", "path-bad"}[min(c, 2)] }

// Reason is a short fixed identifier of the strongest evidence, for logs.
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
	// maxProbeNats is the most that failing probes can add to real evidence.
	maxProbeNats = 1.0
	// probeSupport is the real evidence, in thresholds, that probes may add to.
	probeSupport = 0.5
	// ownSupport is the own evidence, in thresholds, with which other homes'
	// evidence may add up to the threshold.
	ownSupport = 0.25
	// timeoutShare of failures being time-outs makes a bad path plausible.
	timeoutShare = 0.8
	// severalHomes that judge an upstream sick need no own evidence.
	severalHomes = 2
)

// Assessment is the judgement of one upstream at one moment.
type Assessment struct {
	Upstream string
	// Score is the evidence in thresholds: 1 means judged sick, 2 is the most
	// that own evidence can reach.
	Score     float64
	Condition Condition
	Reason    Reason
	// Since is when the condition began.
	Since time.Time
	// Lasting is the time from the first to the latest bad outcome of the
	// evidence; a single stall lasts less than a second.
	Lasting time.Duration
	// Successes and Failures are recent real outcomes at this home, fading
	// with a half-life of 5 s.
	Successes, Failures float64
	// Support is the number of other homes with evidence against the upstream.
	Support int
	// Contradicted tells that another home recently had the upstream work well.
	Contradicted bool
	// ProbesFailing tells that most recent probes failed; for logs only.
	ProbesFailing bool
}

// Assess returns the judgement of every upstream, sorted by its id.
func (g *Group) Assess(now time.Time) []Assessment {
	g.calibrate(now)
	g.forgetHomes(now)
	out := make([]Assessment, 0, len(g.upstreams))
	for _, u := range g.upstreams {
		out = append(out, g.assess(now, u))
	}
	return out
}

// assess judges one upstream and keeps the judgement for the hysteresis.
func (g *Group) assess(now time.Time, u *upstream) Assessment {
	t := g.testimony(now, u.id)
	own, hypothesis := u.strongest()
	score, path := g.score(u, own, t), g.pathScore(u)
	wasBad := u.sick || u.pathBad
	u.sick, u.pathBad, u.reason = false, false, ReasonNone
	switch {
	case exceeds(score, wasBad) && (wasBad || g.stands(u, hypothesis, own, t)):
		u.reason = reasonOf(hypothesis)
		u.pathBad = t.working > 0 && t.support == 0 && u.failures > 0 && u.timeouts >= timeoutShare*u.failures
		if u.pathBad {
			u.reason = ReasonTimeouts
		}
		u.sick = !u.pathBad
	case exceeds(path, wasBad):
		u.reason = ReasonUnreachable
		u.sick = t.confirm > 0 && t.working == 0
		u.pathBad = !u.sick
	case t.judgeSick >= severalHomes && !u.working(own/g.tuning.Threshold):
		u.reason, u.sick = ReasonOtherHomes, true
		score = max(score, 1)
	}
	u.noteChange(now, wasBad)
	return Assessment{
		Upstream: u.id, Score: max(score, path), Condition: u.condition(), Reason: u.reason,
		Since: u.since, Lasting: u.lasting(hypothesis), Successes: u.successes, Failures: u.failures,
		Support: t.support, Contradicted: t.working > 0, ProbesFailing: u.probeFailing > 0.5,
	}
}

// score adds to the own evidence what probes and other homes may add.
func (g *Group) score(u *upstream, own float64, t testimony) float64 {
	threshold := g.tuning.Threshold
	sum := own
	if own >= probeSupport*threshold && u.probeFailing > 0.5 {
		sum += maxProbeNats
	}
	if own >= ownSupport*threshold {
		sum += t.nats
	}
	return sum / threshold
}

// stands tells whether the upstream stands out from its peers enough for the
// part of the threshold that its own evidence has to bring.
func (g *Group) stands(u *upstream, hypothesis int, own float64, t testimony) bool {
	needed := min(own, max(g.tuning.Threshold-t.nats, 0))
	return g.contrast(u, hypothesis) >= contrastShare*needed
}

// exceeds tells whether a score is at the threshold, with hysteresis.
func exceeds(score float64, wasBad bool) bool {
	return score >= 1 || wasBad && score >= clearScore
}

// working tells whether the upstream recently worked well here.
func (u *upstream) working(score float64) bool {
	return u.successes >= workingSuccesses && score < ownSupport
}

// lasting is the time from the first to the latest bad outcome.
func (u *upstream) lasting(hypothesis int) time.Duration {
	begin := u.began[hypothesis].at
	if u.reason == ReasonUnreachable {
		begin = u.pathAt
	}
	if begin.IsZero() {
		return 0
	}
	return max(u.badAt.Sub(begin), 0)
}

// noteChange keeps when the condition began and counts relapses.
func (u *upstream) noteChange(now time.Time, wasBad bool) {
	isBad := u.sick || u.pathBad
	if isBad == wasBad {
		return
	}
	u.since = now
	if isBad {
		if !u.relapsedAt.IsZero() && now.Sub(u.relapsedAt) <= relapseForgotten {
			u.relapses = min(u.relapses+1, maxRelapses)
		}
		u.relapsedAt = now
	}
}

func (u *upstream) condition() Condition {
	switch {
	case u.sick:
		return Sick
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
