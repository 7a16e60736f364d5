package blackboard

import (
	"slices"
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
	// overdue and late mean that the detector and the estimator of reliability
	// were told that the attempt takes long.
	overdue, late bool
}

// AttemptRequest is what Begin needs to know of a request.
type AttemptRequest struct {
	Idempotent bool
	// Route names the route of the request.
	Route string
	// Repeatable means that the request can be sent again if the attempt fails,
	// MayWait that there is time to wait for a better upstream.
	Repeatable, MayWait bool
	// First is set for the first attempt of a request.
	First bool
	// Tried lists the upstreams that earlier attempts used.
	Tried       []string
	Fingerprint poison.Fingerprint
	// Alone means that the request is suspected of crashing upstreams.
	Alone bool
}

// CheckPoison decides about a request before it is admitted.
func (s *Service) CheckPoison(now time.Time, fp poison.Fingerprint) poison.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Check(now, fp, len(s.exclusion.Usable), s.floorLocked())
}

// AboutPoison returns what is known about a fingerprint, encoded, to go with a
// request that is passed on.
func (s *Service) AboutPoison(now time.Time, fp poison.Fingerprint) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	about := s.poison.About(now, fp)
	if len(about.Events) == 0 {
		return nil
	}
	b, err := about.Encode()
	if err != nil {
		return nil
	}
	return b
}

// MergePoison takes what came with a request that was passed on.
func (s *Service) MergePoison(now time.Time, encoded []byte) {
	summary, err := poison.DecodeSummary(encoded)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgiveLocked(now, s.poison.Merge(now, summary).Forgiven)
}

// Begin chooses the upstream of an attempt and counts it as in flight. The
// choice says why; with ok false there is no attempt.
func (s *Service) Begin(now time.Time, r AttemptRequest) (*Attempt, routing.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.candidates {
		c := &s.candidates[i]
		c.Own, c.PausedUntil = s.inFlight.Own(c.ID), s.pausedUntil[c.ID]
		c.Failing = s.reliability.Failing(now, c.ID)
		c.Seen, c.Used = s.reliability.Seen(c.ID), s.usedAt[c.ID]
	}
	choice, ok := s.chooseLocked(now, r)
	if !ok {
		return nil, choice, false
	}
	i := slices.IndexFunc(s.upstreams, func(u Upstream) bool { return u.ID == choice.ID })
	if i < 0 {
		return nil, choice, false
	}
	s.nextID++
	a := &Attempt{Upstream: s.upstreams[i], id: s.nextID, fingerprint: r.Fingerprint, started: now, route: r.Route}
	s.attempts[a.id] = a
	s.inFlight.Start(now, choice.ID)
	s.usedAt[choice.ID] = now
	s.poison.Start(now, choice.ID, r.Fingerprint)
	if r.First {
		s.budget.Request(now)
	}
	return a, choice, true
}

func (s *Service) chooseLocked(now time.Time, r AttemptRequest) (routing.Choice, bool) {
	if !r.Alone {
		return routing.Choose(s.candidates, routing.Request{
			Now: now, Domain: s.domain, Idempotent: r.Idempotent,
			Repeatable: r.Repeatable && s.budget.Available(now) > 0, MayWait: r.MayWait, Tried: r.Tried,
			Spread: s.pressure.high(now), Scarce: s.budget.Scarce(now),
		}, s.rng)
	}
	options := make([]poison.Option, 0, len(s.candidates))
	for _, c := range s.candidates {
		options = append(options, poison.Option{Upstream: c.ID, Usable: !c.Demoted && c.Share > 0, Free: c.Own < max(c.Slots, 1)})
	}
	id, ok := s.poison.Place(now, r.Fingerprint, options)
	return routing.Choice{ID: id, Reason: routing.AllBusy}, ok
}

// Ended is what the end of an attempt leads to.
type Ended struct {
	// Assess asks for Refresh now: an upstream crossed the threshold.
	Assess bool
	// CheckDial asks for a dial of the upstream, to be reported by Dialed
	// before the request is retried or answered.
	CheckDial bool
	// Share asks for the report of this home to be sent to the others now.
	Share bool
	// Urgent means that the other homes should hear of the outcome at once.
	Urgent bool
}

// shedPart is the part of the service's mean latency for which an upstream
// that has shed a request is left alone: in that time one of its few slots is
// likely to become free.
const shedPart = 4

// End takes the result of an attempt.
func (s *Service) End(now time.Time, a *Attempt, r upstream.Result) Ended {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a.id)
	s.inFlight.End(now, a.Upstream.ID)
	if r.Kind == upstream.Shed {
		s.pausedUntil[a.Upstream.ID] = now.Add(max(routing.ShedPause, s.reliability.Mean()/shedPart))
	}
	var ended Ended
	blameless := false
	switch r.Kind {
	case upstream.Success, upstream.Failure:
		if r.Response != nil {
			report := s.poison.Complete(now, a.Upstream.ID, a.fingerprint)
			ended.Share = report.Changed
			s.forgiveLocked(now, report.Forgiven)
		} else {
			s.poison.Abandon(a.Upstream.ID, a.fingerprint)
		}
	case upstream.Lost:
		loss := s.poison.Lost(now, a.Upstream.ID, a.fingerprint)
		ended.CheckDial, ended.Share, blameless = loss.CheckDial, loss.Changed, loss.Excused
		s.forgiveLocked(now, loss.Forgiven)
	default:
		s.poison.Abandon(a.Upstream.ID, a.fingerprint)
	}
	if kind, ok := reliabilityOf[r.Kind]; ok && !blameless {
		s.observeLocked(now, reliability.Outcome{Upstream: a.Upstream.ID, Kind: kind, Latency: now.Sub(a.started), Route: a.route, WasOverdue: a.late})
		ended.Urgent = kind != reliability.Success && kind != reliability.Shed
		if ended.Urgent {
			s.refreshLoadLocked(now)
		}
	}
	if kind, ok := evidence[r.Kind]; ok && s.ejects() {
		ended.Assess = s.judge.Observe(now, detector.Outcome{
			Upstream: a.Upstream.ID, Kind: kind, Latency: r.Latency, BlameWithheld: blameless, WasOverdue: a.overdue,
		})
	}
	return ended
}

// Dialed reports the dial that End asked for.
func (s *Service) Dialed(now time.Time, id string, refused bool) Ended {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.poison.Dialed(now, id, refused)
	s.forgiveLocked(now, report.Forgiven)
	return Ended{Share: report.Changed}
}

// forgiveLocked drops the evidence against upstreams that a request crashed.
func (s *Service) forgiveLocked(now time.Time, ids []string) {
	for _, id := range ids {
		s.judge.Restart(now, id)
	}
}

// DecideRetry says whether a failed attempt is repeated.
func (s *Service) DecideRetry(now time.Time, a retry.Attempt, fp poison.Fingerprint) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Suspect = s.poison.Suspected(now, fp)
	return s.budget.Decide(now, a)
}

// RepeatsLeft returns how many further attempts the service's budget allows now.
func (s *Service) RepeatsLeft(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Available(now)
}

// reliabilityOf maps ends of attempts that say how likely the next one fails.
var reliabilityOf = map[upstream.Kind]reliability.Kind{
	upstream.Success:     reliability.Success,
	upstream.Failure:     reliability.Failure,
	upstream.Truncated:   reliability.Failure,
	upstream.Timeout:     reliability.Lost,
	upstream.Lost:        reliability.Lost,
	upstream.Unreachable: reliability.Unreachable,
	upstream.Shed:        reliability.Shed,
}

// evidence maps ends of attempts that say something about an upstream.
var evidence = map[upstream.Kind]detector.Kind{
	upstream.Success:     detector.Success,
	upstream.Failure:     detector.Failure,
	upstream.Timeout:     detector.Timeout,
	upstream.Truncated:   detector.Truncated,
	upstream.Shed:        detector.Shed,
	upstream.Unreachable: detector.Unreachable,
	upstream.Lost:        detector.Crash,
}
