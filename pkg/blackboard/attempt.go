package blackboard

import (
	"time"

	"shallotglade/pkg/detector"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/reliability"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/upstream"
)

// Attempt is one attempt of a request at one upstream, from Begin to End.
type Attempt struct {
	Upstream Upstream

	id          uint64
	fingerprint poison.Fingerprint
	started     time.Time
	route       string
	// retryable is that of the AttemptRequest.
	retryable bool
	// detectorOverdue and estimatorOverdue are true if the attempt was reported as
	// overdue to the detector and to the reliability estimator.
	detectorOverdue, estimatorOverdue bool
}

// countsAsUnserved reports whether the attempt's request counts as unserved while it is in
// flight. A retryable request that is overdue may still be served by another upstream.
func (a *Attempt) countsAsUnserved() bool { return a.estimatorOverdue && !a.retryable }

// AttemptRequest describes the request for which Begin chooses an upstream.
type AttemptRequest struct {
	Idempotent bool
	// Route names the route of the request.
	Route string
	// Retryable is true if the request can be retried after a failed attempt,
	// MayWait if there is time to wait for a better upstream.
	Retryable, MayWait bool
	// First is true for the first attempt of a request.
	First bool
	// Tried lists the upstreams that earlier attempts used.
	Tried       []string
	Fingerprint poison.Fingerprint
	// Suspect is true if the request is suspected of crashing upstreams and must not
	// share an upstream with another suspect.
	Suspect bool
}

// CheckPoison decides before admission whether a request may run, based on the
// crashes that requests with the same fingerprint were involved in.
func (s *Service) CheckPoison(now time.Time, fp poison.Fingerprint) poison.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.useLocked(now)
	return s.poison.Check(now, fp, len(s.exclusion.Usable), s.floorLocked())
}

// PoisonSummary returns the encoded crash history of a fingerprint, to be sent along
// with a forwarded request, or nil if there is none.
func (s *Service) PoisonSummary(now time.Time, fp poison.Fingerprint) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	summary := s.poison.SummaryOf(now, fp)
	if len(summary.Events) == 0 {
		return nil
	}
	b, err := summary.Encode()
	if err != nil {
		return nil
	}
	return b
}

// MergePoison merges the crash history that came with a forwarded request.
func (s *Service) MergePoison(now time.Time, encoded []byte) {
	summary, err := poison.DecodeSummary(encoded)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearEvidenceLocked(now, s.poison.Merge(now, summary).ExplainedUpstreams)
}

// Begin chooses the upstream of an attempt and counts the attempt as in flight. The
// choice holds the reason. If no upstream can be used, Begin returns false.
func (s *Service) Begin(now time.Time, r AttemptRequest) (*Attempt, routing.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beginLocked(now, r)
}

func (s *Service) beginLocked(now time.Time, r AttemptRequest) (*Attempt, routing.Choice, bool) {
	s.useLocked(now)
	s.updateProbabilitiesLocked(now)
	choice, ok := s.chooseLocked(now, r)
	if !ok {
		return nil, choice, false
	}
	i, listed := s.upstreamIndexLocked(choice.ID)
	if !listed {
		return nil, choice, false
	}
	s.nextID++
	a := &Attempt{Upstream: s.upstreams[i], id: s.nextID, fingerprint: r.Fingerprint, started: now, route: r.Route, retryable: r.Retryable}
	s.attempts[a.id] = a
	s.inFlight.Start(now, choice.ID)
	s.lastUsed[choice.ID] = now
	s.updateCandidateLocked(now, choice.ID)
	s.poison.Start(now, choice.ID, r.Fingerprint)
	if r.First {
		s.budget.RecordRequest(now)
	}
	return a, choice, true
}

// lastSentAtLocked returns when any home is known to have last sent the upstream a
// request, zero if none has.
func (s *Service) lastSentAtLocked(id string) time.Time {
	own, known := s.lastUsed[id], s.reliability.LastSentAt(id)
	if own.After(known) {
		return own
	}
	return known
}

func (s *Service) chooseLocked(now time.Time, r AttemptRequest) (routing.Choice, bool) {
	if !r.Suspect {
		recent := s.recentRequests.total(now)
		return s.choices.Choose(routing.Request{
			Now: now, Domain: s.domain, Idempotent: r.Idempotent,
			Retryable: r.Retryable && s.budget.Available(now) > 0, MayWait: r.MayWait, Tried: r.Tried,
			HighFailureRate: recent.manyUnserved(), RetriesNearlyExhausted: s.budget.NearlyExhausted(now),
			RequestRate: float64(recent.Requests) / requestWindowLength.Seconds() / float64(max(1, len(s.candidates))),
		}, s.rng)
	}
	candidates := make([]poison.Candidate, 0, len(s.candidates))
	for _, c := range s.candidates {
		candidates = append(candidates, poison.Candidate{
			Upstream: c.ID, Usable: !c.Demoted && c.Share > 0 && !now.Before(c.PausedUntil),
			Free: c.OwnInFlight < max(c.Slots, 1), Failing: c.FailureProbability > routing.LikelyFailingThreshold,
		})
	}
	id, ok := s.poison.Place(now, r.Fingerprint, candidates)
	return routing.Choice{ID: id, Reason: routing.AllBusy}, ok
}

// FollowUp lists the actions that the caller must take after an attempt ended.
type FollowUp struct {
	// Assess asks for an immediate Refresh: an upstream crossed the detector's
	// threshold.
	Assess bool
	// CheckDial asks for a dial of the upstream, whose result is passed to Dialed
	// before the request is retried or answered.
	CheckDial bool
	// ShareReport asks for this home's report to be sent to the other homes
	// immediately, because its crash records changed.
	ShareReport bool
	// Urgent asks for the outcome to be reported to the other homes without delay,
	// because it is a failure.
	Urgent bool
}

// shedPauseDivisor sets how long an upstream that shed a request gets no others: the
// service's mean latency divided by shedPauseDivisor, but at least routing.ShedPause.
// In that time one of the upstream's few slots is likely to become free.
const shedPauseDivisor = 4

// End records the result of an attempt.
func (s *Service) End(now time.Time, a *Attempt, r upstream.Result) FollowUp {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, running := s.attempts[a.id]; running && a.countsAsUnserved() {
		s.recentRequests.overdue--
	}
	delete(s.attempts, a.id)
	s.inFlight.End(now, a.Upstream.ID)
	defer func() {
		s.updateCandidateLocked(now, a.Upstream.ID)
		s.dispatchLocked(now)
	}()
	if r.Kind == upstream.Shed {
		pause := max(routing.ShedPause, s.reliability.MeanLatency()/shedPauseDivisor)
		if r.Response != nil {
			pause = max(pause, r.Response.Pause)
		}
		s.pauseLocked(now, a.Upstream.ID, a.Upstream.Incarnation, now.Add(pause))
	}
	var followUp FollowUp
	crashExplained := false
	switch r.Kind {
	case upstream.Success, upstream.Failure:
		if r.Response != nil {
			report := s.poison.Complete(now, a.Upstream.ID, a.fingerprint)
			followUp.ShareReport = report.Changed
			s.clearEvidenceLocked(now, report.ExplainedUpstreams)
		} else {
			s.poison.Abandon(a.Upstream.ID, a.fingerprint)
		}
	case upstream.Lost:
		loss := s.poison.Lost(now, a.Upstream.ID, a.fingerprint)
		followUp.CheckDial, followUp.ShareReport, crashExplained = loss.CheckDial, loss.Changed, loss.CrashExplained
		s.clearEvidenceLocked(now, loss.ExplainedUpstreams)
	default:
		s.poison.Abandon(a.Upstream.ID, a.fingerprint)
	}
	if kind, ok := reliabilityKinds[r.Kind]; ok && !crashExplained {
		s.observeLocked(now, reliability.Outcome{Upstream: a.Upstream.ID, Kind: kind, Latency: now.Sub(a.started), Route: a.route, WasOverdue: a.estimatorOverdue})
		followUp.Urgent = kind != reliability.Success && kind != reliability.Shed
		if followUp.Urgent {
			s.refreshLoadLocked(now)
		}
	}
	if kind, ok := detectorKinds[r.Kind]; ok && s.ejects() {
		followUp.Assess = s.detector.Observe(now, detector.Outcome{
			Upstream: a.Upstream.ID, Kind: kind, Latency: r.Latency, RequestSuspected: crashExplained, WasOverdue: a.detectorOverdue,
		})
	}
	return followUp
}

// Dialed records the result of the dial that End asked for.
func (s *Service) Dialed(now time.Time, id string, refused bool) FollowUp {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.poison.Dialed(now, id, refused)
	s.clearEvidenceLocked(now, report.ExplainedUpstreams)
	return FollowUp{ShareReport: report.Changed}
}

// clearEvidenceLocked drops the detector's evidence against upstreams whose crashes
// are attributed to a request.
func (s *Service) clearEvidenceLocked(now time.Time, ids []string) {
	for _, id := range ids {
		s.detector.Reset(now, id)
	}
}

// DecideRetry decides whether a failed attempt is retried.
func (s *Service) DecideRetry(now time.Time, a retry.Attempt, fp poison.Fingerprint) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Suspect = s.poison.IsSuspect(now, fp)
	return s.budget.Decide(now, a)
}

// RetriesAvailable returns how many retries the service's budget allows now.
func (s *Service) RetriesAvailable(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Available(now)
}

// reliabilityKinds maps results of attempts to outcomes for the reliability
// estimator. Other results say nothing about the next attempt.
var reliabilityKinds = map[upstream.Kind]reliability.Kind{
	upstream.Success:     reliability.Success,
	upstream.Failure:     reliability.Failure,
	upstream.Truncated:   reliability.Failure,
	upstream.Timeout:     reliability.Lost,
	upstream.Lost:        reliability.Lost,
	upstream.Unreachable: reliability.Unreachable,
	upstream.Shed:        reliability.Shed,
}

// detectorKinds maps results of attempts to outcomes for the detector. Other results
// are no evidence about the upstream.
var detectorKinds = map[upstream.Kind]detector.Kind{
	upstream.Success:     detector.Success,
	upstream.Failure:     detector.Failure,
	upstream.Timeout:     detector.Timeout,
	upstream.Truncated:   detector.Truncated,
	upstream.Shed:        detector.Shed,
	upstream.Unreachable: detector.Unreachable,
	upstream.Lost:        detector.ConnectionLost,
}
