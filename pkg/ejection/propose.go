package ejection

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"shallotglade/pkg/detector"
)

// goneRetention is the minimum time after Until for which the entry of an unknown
// upstream is kept, so that a stale membership list does not reset its rounds.
const goneRetention = time.Hour

// Propose returns the record that this home proposes in place of the given one,
// and the decisions behind it. In this home's view, the returned record leaves at
// least min(floor, live upstreams) that do not count as ejected, for any given
// record. The given record is not modified.
func Propose(view View, record Record, assessments []detector.Assessment, policy Policy,
	now time.Time, rng *rand.Rand,
) (Record, []Decision) {
	p := newProposal(view, record, assessments, policy, now, rng)
	p.advance()
	p.repairFloor()
	p.ejectUnhealthy()
	p.beginTrials()
	return p.record, p.decisions
}

// proposal is the state of one call of Propose.
type proposal struct {
	policy      Policy
	now         int64
	rng         *rand.Rand
	live        map[string]UpstreamView
	known       map[string]bool // live or leaving
	assessments map[string]detector.Assessment
	record      Record
	decisions   []Decision
}

func newProposal(view View, record Record, assessments []detector.Assessment, policy Policy,
	now time.Time, rng *rand.Rand,
) *proposal {
	p := &proposal{
		policy: policy, now: unixMillis(now), rng: rng, live: view.live(),
		known:       make(map[string]bool, len(view.Upstreams)),
		assessments: make(map[string]detector.Assessment, len(assessments)),
		record:      Record{Service: record.Service, Entries: slices.Clone(record.Entries)},
	}
	for _, u := range view.Upstreams {
		p.known[u.ID] = true
	}
	for _, a := range assessments {
		p.assessments[a.Upstream] = a
	}
	return p
}

// advance moves entries to their next state, except from Ejected to Trial.
func (p *proposal) advance() {
	p.record.Entries = slices.DeleteFunc(p.record.Entries, p.forgetIfObsolete)
	for i := range p.record.Entries {
		e := &p.record.Entries[i]
		if _, live := p.live[e.Upstream]; !live {
			continue
		}
		switch {
		case p.policy.isAbandoned(*e, p.now) && e.State.CountsAsEjected():
			p.transition(e, Returned, 0, Return, ReasonAbandoned)
		case e.State == Trial:
			p.advanceTrial(e)
		case e.State == Ramp && p.hasRelapsed(*e):
			p.startRound(e)
		case e.State == Ramp && p.now >= e.Until && p.isHealthy(e.Upstream):
			p.transition(e, Returned, 0, Return, ReasonRampComplete)
		}
	}
}

// forgetIfObsolete reports whether an entry is obsolete and, if so, records the
// decision to remove it.
func (p *proposal) forgetIfObsolete(e Entry) bool {
	expired := e.State == Returned && p.policy.rememberedRounds(e, p.now) == 0
	gone := !p.known[e.Upstream] && p.now-e.Until > goneRetention.Milliseconds()
	if !expired && !gone {
		return false
	}
	reason := ReasonExpired
	if gone {
		reason = ReasonUpstreamGone
	}
	p.addDecision(e, Forget, reason)
	return true
}

// advanceTrial ends a trial that has succeeded, relapsed or reached MaxTrial.
func (p *proposal) advanceTrial(e *Entry) {
	a := p.assessments[e.Upstream]
	good := p.now >= e.Until && a.Successes >= p.policy.TrialSuccesses
	idle := p.now >= e.Since+p.policy.MaxTrial.Milliseconds()
	switch {
	case p.hasRelapsed(*e):
		p.startRound(e)
	case !p.isHealthy(e.Upstream):
	case good:
		p.transition(e, Ramp, p.policy.RampDuration, BeginRamp, ReasonTrialSucceeded)
	case idle:
		p.transition(e, Ramp, p.policy.RampDuration, BeginRamp, ReasonTrialIdle)
	}
}

// isHealthy reports whether this home assesses an upstream as healthy.
func (p *proposal) isHealthy(id string) bool { return p.assessments[id].Condition == detector.Healthy }

// qualifiesForEjection reports whether the evidence suffices for an ejection. It
// must span MinEvidenceDuration, must be supported by another home or reach
// EjectAloneScore, and must not be contradicted by another home.
func (p *proposal) qualifiesForEjection(a detector.Assessment) bool {
	return a.Condition == detector.Unhealthy && !a.Contradicted && a.EvidenceDuration >= p.policy.MinEvidenceDuration &&
		(a.Score >= 1 && a.SupportingHomes > 0 || a.Score >= p.policy.EjectAloneScore)
}

// hasRelapsed reports whether the upstream has become unhealthy again since the start
// of the entry's state.
func (p *proposal) hasRelapsed(e Entry) bool {
	a, ok := p.assessments[e.Upstream]
	return ok && a.Condition == detector.Unhealthy && !a.Contradicted && unixMillis(a.Since) >= e.Since
}

// transition moves an entry to a state with the given duration.
func (p *proposal) transition(e *Entry, state State, duration time.Duration, action Action, reason string) {
	e.State, e.Since, e.Until = state, p.now, p.now+duration.Milliseconds()
	p.addDecision(*e, action, reason)
}

// startRound ejects the entry's upstream for one more round.
func (p *proposal) startRound(e *Entry) {
	a := p.assessments[e.Upstream]
	e.Rounds = min(p.policy.rememberedRounds(*e, p.now)+1, maxRounds)
	e.Score, e.Reason = float32(max(a.Score, 0)), string(a.Reason)
	p.transition(e, Ejected, p.policy.holdTime(e.Rounds, p.rng), Eject, e.Reason)
}

func (p *proposal) addDecision(e Entry, action Action, reason string) {
	d := Decision{Upstream: e.Upstream, Action: action, Reason: reason, Round: e.Rounds}
	if action != EjectionBlocked && action != Readmit && action != Forget {
		d.Until = time.UnixMilli(e.Until)
	}
	p.decisions = append(p.decisions, d)
}

// ejectedEntries returns the entries of live upstreams that count as ejected. A
// writer includes abandoned entries, unlike a reader, to be on the safe side.
func (p *proposal) ejectedEntries() []Entry {
	return ejectedEntries(p.live, p.record, Policy{}, p.now)
}

// repairFloor readmits the least unhealthy upstreams if the record ejects more
// than the floor allows in this home's view.
func (p *proposal) repairFloor() {
	ejected := p.ejectedEntries()
	slices.SortFunc(ejected, leastUnhealthyFirst)
	excess := len(ejected) - p.policy.maxEjected(len(p.live))
	for _, e := range ejected[:max(excess, 0)] {
		e.State, e.Since, e.Until = Returned, p.now, p.now
		p.record.upsert(e)
		p.addDecision(e, Readmit, ReasonFloor)
	}
}

// ejectUnhealthy ejects the most unhealthy upstreams, up to the limit set by the
// floor.
func (p *proposal) ejectUnhealthy() {
	var wanted []detector.Assessment
	for id, a := range p.assessments {
		_, live := p.live[id]
		e, listed := p.record.Entry(id)
		if live && len(id) <= maxIDBytes && p.qualifiesForEjection(a) && (!listed || !e.State.CountsAsEjected()) {
			wanted = append(wanted, a)
		}
	}
	slices.SortFunc(wanted, func(a, b detector.Assessment) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Upstream, b.Upstream))
	})
	remaining := p.policy.maxEjected(len(p.live)) - len(p.ejectedEntries())
	for _, a := range wanted {
		e, listed := p.record.Entry(a.Upstream)
		switch {
		case remaining <= 0:
			p.addDecision(Entry{Upstream: a.Upstream}, EjectionBlocked, ReasonFloor)
		case !listed && len(p.record.Entries) >= MaxEntries:
			p.addDecision(Entry{Upstream: a.Upstream}, EjectionBlocked, ReasonRecordFull)
		default:
			e.Upstream = a.Upstream
			p.startRound(&e)
			p.record.upsert(e)
			remaining--
		}
	}
}

// beginTrials starts the trials of upstreams whose hold time has expired, least
// unhealthy first. It limits their number so that they do not all return at once.
func (p *proposal) beginTrials() {
	var due []Entry
	returning := 0
	for _, e := range p.ejectedEntries() {
		switch {
		case e.State != Ejected:
			returning++
		case p.now >= e.Until:
			due = append(due, e)
		}
	}
	slices.SortFunc(due, leastUnhealthyFirst)
	remaining := p.policy.maxReturning(len(p.live)) - returning
	for _, e := range due[:min(max(remaining, 0), len(due))] {
		p.transition(&e, Trial, p.policy.MinTrial, BeginTrial, ReasonHoldExpired)
		p.record.upsert(e)
	}
}
