package ejection

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"shallotglade/pkg/detector"
)

// goneFor is how long the entry of an unknown upstream is kept, so that a
// lagging membership list does not wipe the memory of its rounds.
const goneFor = time.Hour

// Propose returns the record that this home wants to store in place of the
// given one, and why. In the returned record, and in this home's view, at least
// min(floor, live upstreams) do not count as ejected, whatever the given record
// holds. The given record is not modified.
func Propose(view View, record Record, assessments []detector.Assessment, policy Policy,
	now time.Time, rng *rand.Rand,
) (Record, []Decision) {
	p := newProposal(view, record, assessments, policy, now, rng)
	p.advance()
	p.repairFloor()
	p.eject()
	p.beginTrials()
	return p.record, p.decisions
}

// proposal is one call of Propose.
type proposal struct {
	policy    Policy
	now       int64
	rng       *rand.Rand
	live      map[string]UpstreamView
	known     map[string]bool // live or leaving
	judged    map[string]detector.Assessment
	record    Record
	decisions []Decision
}

func newProposal(view View, record Record, assessments []detector.Assessment, policy Policy,
	now time.Time, rng *rand.Rand,
) *proposal {
	p := &proposal{
		policy: policy, now: at(now), rng: rng, live: view.live(),
		known:  make(map[string]bool, len(view.Upstreams)),
		judged: make(map[string]detector.Assessment, len(assessments)),
		record: Record{Service: record.Service, Entries: slices.Clone(record.Entries)},
	}
	for _, u := range view.Upstreams {
		p.known[u.ID] = true
	}
	for _, a := range assessments {
		p.judged[a.Upstream] = a
	}
	return p
}

// advance moves entries to their next state, except from Ejected to Trial.
func (p *proposal) advance() {
	p.record.Entries = slices.DeleteFunc(p.record.Entries, p.forget)
	for i := range p.record.Entries {
		e := &p.record.Entries[i]
		if _, live := p.live[e.Upstream]; !live {
			continue
		}
		switch {
		case p.policy.abandoned(*e, p.now) && e.State.CountsAsEjected():
			p.step(e, Returned, 0, Return, ReasonAbandoned)
		case e.State == Trial:
			p.advanceTrial(e)
		case e.State == Ramp && p.relapsed(*e):
			p.hold(e)
		case e.State == Ramp && p.now >= e.Until && p.healthy(e.Upstream):
			p.step(e, Returned, 0, Return, ReasonRampOver)
		}
	}
}

// forget tells whether an entry has no further use.
func (p *proposal) forget(e Entry) bool {
	old := e.State == Returned && p.policy.rounds(e, p.now) == 0
	gone := !p.known[e.Upstream] && p.now-e.Until > goneFor.Milliseconds()
	if !old && !gone {
		return false
	}
	reason := ReasonOld
	if gone {
		reason = ReasonGone
	}
	p.decide(e, Forget, reason)
	return true
}

// advanceTrial ends a trial as soon as there is evidence either way.
func (p *proposal) advanceTrial(e *Entry) {
	a := p.judged[e.Upstream]
	good := p.now >= e.Until && a.Successes >= p.policy.TrialSuccesses
	idle := p.now >= e.Since+p.policy.TrialMax.Milliseconds()
	switch {
	case p.relapsed(*e):
		p.hold(e)
	case !p.healthy(e.Upstream):
	case good:
		p.step(e, Ramp, p.policy.RampFor, BeginRamp, ReasonTrialGood)
	case idle:
		p.step(e, Ramp, p.policy.RampFor, BeginRamp, ReasonTrialIdle)
	}
}

// healthy tells whether this home has nothing against an upstream.
func (p *proposal) healthy(id string) bool { return p.judged[id].Condition == detector.Healthy }

// deservesEjection tells whether the evidence suffices for an ejection: it
// lasts, another home supports it or the margin is clear, and at no home the
// upstream works.
func (p *proposal) deservesEjection(a detector.Assessment) bool {
	return a.Condition == detector.Sick && !a.Contradicted && a.Lasting >= p.policy.EjectAfter &&
		(a.Score >= 1 && a.Support > 0 || a.Score >= p.policy.EjectAlone)
}

// relapsed tells whether evidence that is newer than the entry's state shows
// the upstream to be sick again.
func (p *proposal) relapsed(e Entry) bool {
	a, ok := p.judged[e.Upstream]
	return ok && a.Condition == detector.Sick && !a.Contradicted && at(a.Since) >= e.Since
}

// step puts an entry into a state that lasts for a time.
func (p *proposal) step(e *Entry, state State, lasts time.Duration, action Action, reason string) {
	e.State, e.Since, e.Until = state, p.now, p.now+lasts.Milliseconds()
	p.decide(*e, action, reason)
}

// hold ejects the entry's upstream for one more round.
func (p *proposal) hold(e *Entry) {
	a := p.judged[e.Upstream]
	e.Rounds = min(p.policy.rounds(*e, p.now)+1, maxRounds)
	e.Score, e.Reason = float32(max(a.Score, 0)), string(a.Reason)
	p.step(e, Ejected, p.policy.hold(e.Rounds, p.rng), Eject, e.Reason)
}

func (p *proposal) decide(e Entry, action Action, reason string) {
	d := Decision{Upstream: e.Upstream, Action: action, Reason: reason, Round: e.Rounds}
	if action != Keep && action != Readmit && action != Forget {
		d.Until = time.UnixMilli(e.Until)
	}
	p.decisions = append(p.decisions, d)
}

// out returns the entries that count live upstreams out. Unlike a reader, a
// writer counts abandoned ones too, which only makes it more careful.
func (p *proposal) out() []Entry {
	return counted(p.live, p.record, Policy{}, p.now)
}

// repairFloor returns the least unhealthy upstreams to service if the record
// counts out more than the floor allows in this home's view.
func (p *proposal) repairFloor() {
	out := p.out()
	slices.SortFunc(out, leastUnhealthyFirst)
	excess := len(out) - p.policy.allowed(len(p.live))
	for _, e := range out[:max(excess, 0)] {
		e.State, e.Since, e.Until = Returned, p.now, p.now
		p.record.put(e)
		p.decide(e, Readmit, ReasonFloor)
	}
}

// eject adds the most unhealthy upstreams that the floor allows.
func (p *proposal) eject() {
	var wanted []detector.Assessment
	for id, a := range p.judged {
		_, live := p.live[id]
		e, listed := p.record.Entry(id)
		if live && len(id) <= maxIDBytes && p.deservesEjection(a) && (!listed || !e.State.CountsAsEjected()) {
			wanted = append(wanted, a)
		}
	}
	slices.SortFunc(wanted, func(a, b detector.Assessment) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Upstream, b.Upstream))
	})
	room := p.policy.allowed(len(p.live)) - len(p.out())
	for _, a := range wanted {
		e, listed := p.record.Entry(a.Upstream)
		switch {
		case room <= 0:
			p.decide(Entry{Upstream: a.Upstream}, Keep, ReasonFloor)
		case !listed && len(p.record.Entries) >= MaxEntries:
			p.decide(Entry{Upstream: a.Upstream}, Keep, ReasonRecordFull)
		default:
			e.Upstream = a.Upstream
			p.hold(&e)
			p.record.put(e)
			room--
		}
	}
}

// beginTrials starts the trials of upstreams whose hold time is over, the least
// unhealthy first and few at a time, so that they do not all return at once.
func (p *proposal) beginTrials() {
	var due []Entry
	returning := 0
	for _, e := range p.out() {
		switch {
		case e.State != Ejected:
			returning++
		case p.now >= e.Until:
			due = append(due, e)
		}
	}
	slices.SortFunc(due, leastUnhealthyFirst)
	room := p.policy.returning(len(p.live)) - returning
	for _, e := range due[:min(max(room, 0), len(due))] {
		p.step(&e, Trial, p.policy.TrialFor, BeginTrial, ReasonHoldOver)
		p.record.put(e)
	}
}
