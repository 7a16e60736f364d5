package blackboard

import (
	"slices"
	"time"

	"shallotglade/pkg/detector"
	"shallotglade/pkg/ejection"
	"shallotglade/pkg/reliability"
	"shallotglade/pkg/routing"
)

// Refresh reassesses the upstreams and rebuilds the routing candidates. The health
// controller calls it a few times a second. It returns the assessments whose
// condition changed.
func (s *Service) Refresh(now time.Time) []detector.Assessment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refreshLocked(now)
}

// recentUse is how long after its last request a service stays current without delay. A
// request that is between the look-up of its route and its admission is thereby never
// admitted by the capacity of a former list.
const recentUse = 10 * time.Second

// refreshOrDeferLocked refreshes the service, unless no request has used it lately and this
// daemon is no home of it. Then the next request, report or round refreshes it: in a fleet
// of 300 daemons and 3,000 upstreams most changes of an upstream arrive at daemons that
// send it nothing.
func (s *Service) refreshOrDeferLocked(now time.Time) {
	if s.isHomeLocked() || now.Sub(s.lastUse) < recentUse || !s.idleLocked() {
		s.refreshLocked(now)
		return
	}
	s.stale = true
}

// useLocked makes the candidates current for a request.
func (s *Service) useLocked(now time.Time) {
	s.lastUse = now
	s.refreshStaleLocked(now)
}

// refreshStaleLocked refreshes the service if a refresh was deferred.
func (s *Service) refreshStaleLocked(now time.Time) {
	if s.stale {
		s.refreshLocked(now)
	}
}

func (s *Service) refreshLocked(now time.Time) []detector.Assessment {
	s.stale = false
	before := map[string]detector.Condition{}
	for _, a := range s.assessments {
		before[a.Upstream] = a.Condition
	}
	s.reportOverdueLocked(now)
	if s.ejects() {
		s.assessments = s.detector.Assess(now)
	}
	s.inFlight.Refresh(now, s.reliability.MeanLatency())
	s.loadRefreshedAt, s.loadPending = now, false
	view := s.viewLocked()
	s.exclusion = ejection.EffectiveExclusion(view, s.record, s.policyLocked(), now)
	clear(s.demotions)
	for _, d := range ejection.Demotions(view, s.assessments, s.exclusion) {
		s.demotions[d.Upstream] = d
	}
	s.rebuildCandidatesLocked()
	s.assignQuotasLocked()
	s.choices.Reset(s.candidates, s.domain, now)
	s.updateCandidatesLocked(now)
	var changed []detector.Assessment
	for _, a := range s.assessments {
		if a.Condition != before[a.Upstream] {
			changed = append(changed, a)
		}
	}
	return changed
}

// assignQuotasLocked divides the upstreams' slots among the homes. A daemon that
// serves the service without being a home includes itself; otherwise it would have
// no slots.
func (s *Service) assignQuotasLocked() {
	homes := slices.Clone(s.homes)
	if !s.isHomeLocked() {
		homes = append(homes, routing.Home{ID: s.self, Domain: s.domain})
	}
	s.inFlight.FillDemand(s.self, homes)
	if !slices.Equal(homes, s.quotaHomes) || !slices.EqualFunc(s.candidates, s.quotaInputs, sameQuotaInput) {
		s.quotaHomes, s.quotaInputs = homes, s.quotaInputs[:0]
		for i := range s.candidates {
			c := &s.candidates[i]
			s.quotaInputs = append(s.quotaInputs, quotaInput{c.ID, c.Domain, c.Slots, c.Share})
		}
		s.quotas = routing.Quotas(s.self, homes, s.candidates)
	}
	for i, quota := range s.quotas {
		s.candidates[i].Quota = quota
	}
}

// quotaInput holds what routing.Quotas uses of a candidate.
type quotaInput struct {
	id, domain string
	slots      int
	share      float64
}

func sameQuotaInput(c routing.Candidate, in quotaInput) bool {
	return c.ID == in.id && c.Domain == in.domain && c.Slots == in.slots && c.Share == in.share
}

// Redial is a dial that the detector asks for.
type Redial struct {
	Upstream Upstream
	// After is the delay before the dial.
	After time.Duration
}

// Redials returns the upstreams to dial again, because a dial failed and there is not
// yet enough evidence to decide whether the network path is bad.
func (s *Service) Redials() []Redial {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Redial
	for _, u := range s.upstreams {
		if after, wanted := s.detector.Redial(u.ID); wanted {
			out = append(out, Redial{Upstream: u, After: after})
		}
	}
	return out
}

func (s *Service) rebuildCandidatesLocked() {
	s.candidates = s.candidates[:0]
	clear(s.candidateIndex)
	for _, u := range s.upstreams {
		standing := s.exclusion.Standing(u.ID)
		if standing.Excluded || u.Leaving {
			continue
		}
		d, demoted := s.demotions[u.ID]
		c := routing.Candidate{
			ID: u.ID, Domain: u.Domain, Slots: u.Slots,
			Demoted: demoted, Trial: standing.IdempotentOnly, Share: standing.Share,
			Listed: u.Listed, WarmUpUntil: u.WarmUpUntil,
			Preference: routing.Preference(s.self, u.ID), RetestJitter: routing.RetestJitter(u.ID),
		}
		if demoted {
			c.Share = min(c.Share, d.Share)
		}
		s.candidateIndex[c.ID] = len(s.candidates)
		s.candidates = append(s.candidates, c)
	}
}

// SetRecord replaces the ejection record if the given version is higher. A deleted
// record is passed as the zero record with a higher version.
func (s *Service) SetRecord(now time.Time, record ejection.Record, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.recordVersion {
		return false
	}
	for _, e := range record.Entries {
		old, existed := s.record.Entry(e.Upstream)
		if e.State == ejection.Trial && (!existed || old.State != ejection.Trial) {
			s.detector.Reset(now, e.Upstream)
		}
	}
	s.record, s.recordVersion = record, version
	s.refreshLocked(now)
	return true
}

// Propose returns the ejection record that this home proposes as the next one, the
// version that it replaces, and the decisions that led to it. Version 0 means that no
// record is stored yet.
func (s *Service) Propose(now time.Time) (ejection.Record, uint64, []ejection.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshStaleLocked(now)
	next, decisions := ejection.Propose(s.viewLocked(), s.record, s.assessments, s.policyLocked(), now, s.rng)
	next.Service = s.Name
	return next, s.recordVersion, decisions
}

// Observe records the outcome of a probe. It reports whether Refresh should be called
// immediately.
func (s *Service) Observe(now time.Time, o detector.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Observe(now, o)
}

// reportOverdueLocked reports attempts in flight that take too long to the detector
// and to the reliability estimator, before they end. The detector has one limit for
// the service, the estimator one per route.
func (s *Service) reportOverdueLocked(now time.Time) {
	detectorLimit := s.detector.OverdueAfter()
	for _, a := range s.attempts {
		age := now.Sub(a.started)
		if !a.detectorOverdue && detectorLimit > 0 && age > detectorLimit {
			a.detectorOverdue = true
			s.detector.Observe(now, detector.Outcome{Upstream: a.Upstream.ID, Kind: detector.Overdue, Latency: age})
		}
		if estimatorLimit := s.reliability.OverdueAfter(a.route); !a.estimatorOverdue && estimatorLimit > 0 && age > estimatorLimit {
			a.estimatorOverdue = true
			if a.countsAsUnserved() {
				s.recentRequests.overdue++
			}
			s.observeLocked(now, reliability.Outcome{Upstream: a.Upstream.ID, Kind: reliability.Overdue, Latency: age, Route: a.route})
		}
	}
}

// observeLocked records an outcome seen by this home and queues it for the next report
// to the other homes.
func (s *Service) observeLocked(now time.Time, o reliability.Outcome) {
	finding := s.reliability.Observe(now, o)
	s.outcomeSources[o.Upstream] = outcomeSource{s.self, o.Kind.String()}
	if len(s.unreportedOutcomes) < maxOutcomes {
		s.unreportedOutcomes = append(s.unreportedOutcomes, newOutcomeReport(o.Upstream, finding))
	}
}

// Latency returns the median latency of a route's responses, and the age from which a
// request in flight on the route is overdue. Both are 0 while unknown.
func (s *Service) Latency(route string) (median, overdueAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reliability.MedianLatency(route), s.reliability.OverdueAfter(route)
}

// Reachable reports whether this daemon can reach any upstream of the service. It
// returns false only if the paths to all candidates are assessed as bad; another home
// may then still reach them.
func (s *Service) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshStaleLocked(time.Now())
	for _, c := range s.candidates {
		if d, demoted := s.demotions[c.ID]; !demoted || !d.PathBad {
			return true
		}
	}
	return len(s.candidates) == 0
}
