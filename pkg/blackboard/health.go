package blackboard

import (
	"slices"
	"time"

	"shallotglade/pkg/detector"
	"shallotglade/pkg/ejection"
	"shallotglade/pkg/reliability"
	"shallotglade/pkg/routing"
)

// Refresh assesses the upstreams anew and rebuilds what requests choose from.
// The health controller calls it a few times a second. It returns the
// assessments that changed their condition.
func (s *Service) Refresh(now time.Time) []detector.Assessment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refreshLocked(now)
}

func (s *Service) refreshLocked(now time.Time) []detector.Assessment {
	before := map[string]detector.Condition{}
	for _, a := range s.assessments {
		before[a.Upstream] = a.Condition
	}
	s.reportOverdueLocked(now)
	if s.ejects() {
		s.assessments = s.judge.Assess(now)
	}
	s.inFlight.Refresh(now, s.reliability.Mean())
	view := s.viewLocked()
	s.exclusion = ejection.Effective(view, s.record, s.policyLocked(), now)
	clear(s.demotions)
	for _, d := range ejection.Demotions(view, s.assessments, s.exclusion) {
		s.demotions[d.Upstream] = d
	}
	s.rebuildCandidatesLocked()
	s.dealSlotsLocked()
	s.renewCandidatesLocked(now)
	var changed []detector.Assessment
	for _, a := range s.assessments {
		if a.Condition != before[a.Upstream] {
			changed = append(changed, a)
		}
	}
	return changed
}

// dealSlotsLocked divides the slots between the homes. A daemon that serves the
// service without being a home counts itself in, or it would have no slots.
func (s *Service) dealSlotsLocked() {
	homes := slices.Clone(s.homes)
	if !s.isHomeLocked() {
		homes = append(homes, routing.Home{ID: s.self, Domain: s.domain})
	}
	s.inFlight.Homes(s.self, homes)
	for i, quota := range routing.Quotas(s.self, homes, s.candidates) {
		s.candidates[i].Quota = quota
	}
}

// Redial is a dial that the detector wants.
type Redial struct {
	Upstream Upstream
	// After is how long to wait before it.
	After time.Duration
}

// Redials returns the upstreams to dial once more, because a dial failed and the
// evidence does not yet say whether the path to them is bad.
func (s *Service) Redials() []Redial {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Redial
	for _, u := range s.upstreams {
		if after, wanted := s.judge.Redial(u.ID); wanted {
			out = append(out, Redial{Upstream: u, After: after})
		}
	}
	return out
}

func (s *Service) rebuildCandidatesLocked() {
	s.candidates = s.candidates[:0]
	for _, u := range s.upstreams {
		standing := s.exclusion.Standing(u.ID)
		if standing.Excluded || u.Leaving {
			continue
		}
		d, demoted := s.demotions[u.ID]
		c := routing.Candidate{
			ID: u.ID, Domain: u.Domain, Slots: u.Slots,
			Demoted: demoted, Trial: standing.IdempotentOnly, Share: standing.Share,
			Listed: u.Listed, ColdUntil: u.ColdUntil,
			Preference: routing.Preference(s.self, u.ID),
		}
		if demoted {
			c.Share = min(c.Share, d.Share)
		}
		s.candidates = append(s.candidates, c)
	}
}

// SetRecord replaces the ejection record if its version is higher. The zero
// record with a higher version stands for a deleted one.
func (s *Service) SetRecord(now time.Time, record ejection.Record, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.recordVersion {
		return false
	}
	for _, e := range record.Entries {
		old, had := s.record.Entry(e.Upstream)
		if e.State == ejection.Trial && (!had || old.State != ejection.Trial) {
			s.judge.Restart(now, e.Upstream)
		}
	}
	s.record, s.recordVersion = record, version
	s.refreshLocked(now)
	return true
}

// Propose returns the record that this home wants to store in place of the one
// that it holds, the version to replace, and the decisions. A version of 0
// means that no record is stored yet.
func (s *Service) Propose(now time.Time) (ejection.Record, uint64, []ejection.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, decisions := ejection.Propose(s.viewLocked(), s.record, s.assessments, s.policyLocked(), now, s.rng)
	next.Service = s.Name
	return next, s.recordVersion, decisions
}

// Observe adds the outcome of a probe. It reports whether to call Refresh now.
func (s *Service) Observe(now time.Time, o detector.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge.Observe(now, o)
}

// reportOverdueLocked takes attempts that take longer than any upstream of the
// service should need as evidence before they end.
func (s *Service) reportOverdueLocked(now time.Time) {
	sick := s.judge.OverdueAfter()
	for _, a := range s.attempts {
		age := now.Sub(a.started)
		if !a.overdue && sick > 0 && age > sick {
			a.overdue = true
			s.judge.Observe(now, detector.Outcome{Upstream: a.Upstream.ID, Kind: detector.Overdue, Latency: age})
		}
		if late := s.reliability.OverdueAfter(a.route); !a.late && late > 0 && age > late {
			a.late = true
			s.observeLocked(now, reliability.Outcome{Upstream: a.Upstream.ID, Kind: reliability.Overdue, Latency: age, Route: a.route})
		}
	}
}

// observeLocked takes an own outcome and keeps it for the other homes.
func (s *Service) observeLocked(now time.Time, o reliability.Outcome) {
	finding := s.reliability.Observe(now, o)
	s.sources[o.Upstream] = source{s.self, o.Kind.String()}
	if len(s.outcomes) < maxOutcomes {
		s.outcomes = append(s.outcomes, reportOf(o.Upstream, finding))
	}
}

// Latency returns the median latency of a route's answers and after which time a
// request in flight on it is late; both are 0 while unknown.
func (s *Service) Latency(route string) (median, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reliability.Median(route), s.reliability.OverdueAfter(route)
}

// Reachable reports whether this daemon can reach an upstream of the service,
// as far as it knows. While it cannot, another home may.
func (s *Service) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.candidates {
		if d, demoted := s.demotions[c.ID]; !demoted || !d.PathBad {
			return true
		}
	}
	return len(s.candidates) == 0
}
