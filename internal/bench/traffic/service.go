package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotglade/internal/bench/traffic/vtime"
	"shallotglade/pkg/limits"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/verdict"
)

// Times of the simulated service.
const (
	domains      = 3
	betweenZones = 1500 * time.Microsecond // one way between failure domains
	withinZone   = 100 * time.Microsecond
	leastService = 15 * time.Millisecond // plus an exponential part
	meanExtra    = 15 * time.Millisecond
	meanService  = leastService + meanExtra
	callerWaits  = 500 * time.Millisecond // deadline of a request
	chooseAgain  = 5 * time.Millisecond   // after no upstream was free
	reportEvery  = 250 * time.Millisecond
)

// reportMode is what homes tell each other about their requests in flight.
type reportMode string

const (
	reportMean reportMode = "mean"    // mean of the interval, as routing.InFlight does
	reportLast reportMode = "current" // the number at the time of the report
	reportNone reportMode = "none"
)

// quotaMode is how the slots are dealt to the homes.
type quotaMode string

const (
	quotasDemand quotaMode = "demand"
	quotasEqual  quotaMode = "equal"
	// quotasAll is the naive way: each home may use all slots, at random.
	quotasAll quotaMode = "none, random"
)

// chooser is routing.Choose or a naive stand-in.
type chooser func([]routing.Candidate, routing.Request, *rand.Rand) (routing.Choice, bool)

type serviceConfig struct {
	name             string
	upstreams, slots int
	homes            int
	load             float64 // part of the slots in use if nothing is refused
	span             time.Duration
	reports          reportMode
	choose           chooser
	quotas           quotaMode
	skewed           bool    // eight of ten callers in the first domain
	failing          float64 // part of the attempts that fail, may have run
	shedding         bool    // upstreams shed everything
	unlimited        bool    // naive retries: three attempts, no budget
}

type serviceResult struct {
	offered, refused, failed, answered, late int
	collided                                 int // requests shed by an upstream at least once
	dispatched, attempts                     int
	wait                                     *hdrhistogram.Histogram // microseconds
	// added is all time but the service time, from the caller's domain and back,
	// of answered requests, in microseconds.
	added *hdrhistogram.Histogram
}

type serviceSim struct {
	cfg    serviceConfig
	rng    *rand.Rand
	loop   vtime.Loop
	end    time.Time
	homes  []*simHome
	ups    []*simUpstream
	result serviceResult
	nextID uint64
}

type simUpstream struct {
	id, domain string
	running    int
}

type simHome struct {
	id, domain string
	queue      *limits.Queue
	inFlight   *routing.InFlight
	candidates []routing.Candidate
	budget     *retry.Budget
	waiting    map[uint64]*simRequest
}

type simRequest struct {
	home       *simHome
	ticket     limits.Ticket
	arrived    time.Time
	idempotent bool
	mayHaveRun bool
	attempts   int
	extra      time.Duration // between the caller's domain and the home
	served     time.Duration // service time of the answer
	tried      []string
}

func simulate(cfg serviceConfig, rng *rand.Rand) serviceResult {
	s := &serviceSim{cfg: cfg, rng: rng, loop: vtime.Loop{Now: time.Unix(1_800_000_000, 0)}}
	s.end = s.loop.Now.Add(cfg.span)
	s.result.added = hdrhistogram.New(1, 10_000_000, 3)
	s.result.wait = hdrhistogram.New(1, 10_000_000, 3)
	for i := range cfg.upstreams {
		s.ups = append(s.ups, &simUpstream{id: fmt.Sprintf("upstream-%d", i), domain: zone(i)})
	}
	for i := range cfg.homes {
		s.addHome(i)
	}
	for _, h := range s.homes {
		s.refresh(h)
	}
	s.arrivals()
	s.loop.Run()
	return s.result
}

func zone(i int) string { return string(rune('a' + i%domains)) }

func between(a, b string) time.Duration {
	if a == b {
		return withinZone
	}
	return betweenZones
}

func (s *serviceSim) addHome(i int) {
	h := &simHome{
		id: fmt.Sprintf("home-%d", i), domain: zone(i), inFlight: routing.NewInFlight(),
		budget: retry.NewBudget(retry.DefaultPolicy()), waiting: map[uint64]*simRequest{},
	}
	for _, u := range s.ups {
		h.candidates = append(h.candidates, routing.Candidate{
			ID: u.id, Domain: u.domain, Slots: s.cfg.slots, Share: 1, Preference: routing.Preference(h.id, u.id),
		})
	}
	h.queue = limits.NewQueue(limits.DefaultPolicy(), 0)
	s.homes = append(s.homes, h)
	s.loop.After(time.Duration(s.rng.Int64N(int64(reportEvery))), func() { s.report(h) })
}

// report tells the other homes about the requests in flight and takes theirs
// into account.
func (s *serviceSim) report(h *simHome) {
	now := s.loop.Now
	report := h.inFlight.Report(now, h.queue.Waiting())
	if s.cfg.reports == reportLast {
		report.Loads = report.Loads[:0]
		for _, u := range s.ups {
			report.Loads = append(report.Loads, routing.Load{Upstream: u.id, Mean: float64(h.inFlight.Own(u.id))})
		}
	}
	for _, o := range s.homes {
		if o != h && s.cfg.reports != reportNone {
			s.loop.After(betweenZones, func() { o.inFlight.Merge(s.loop.Now, h.id, report); s.refresh(o) })
		}
	}
	s.refresh(h)
	if now.Before(s.end) {
		s.loop.After(reportEvery, func() { s.report(h) })
	}
}

func (s *serviceSim) refresh(h *simHome) {
	h.inFlight.Refresh(s.loop.Now, 0)
	quotas := s.quotas(h)
	for i := range h.candidates {
		h.candidates[i].Quota = quotas[i]
		h.candidates[i].OthersInFlight, _ = h.inFlight.Others(h.candidates[i].ID)
	}
	capacity, reserve := routing.Capacity(h.candidates)
	s.admitted(h, h.queue.SetCapacity(s.loop.Now, capacity, reserve))
}

// quotas deals the slots.
func (s *serviceSim) quotas(h *simHome) []int {
	if s.cfg.quotas == quotasAll {
		return slices.Repeat([]int{s.cfg.slots}, len(h.candidates))
	}
	var homes []routing.Home
	for _, o := range s.homes {
		homes = append(homes, routing.Home{ID: o.id, Domain: o.domain})
	}
	if s.cfg.quotas == quotasDemand {
		h.inFlight.FillDemand(h.id, homes)
	}
	return routing.Quotas(h.id, homes, h.candidates)
}

// arrivals is a Poisson process spread evenly over the callers' domains.
func (s *serviceSim) arrivals() {
	rate := s.cfg.load * float64(s.cfg.upstreams*s.cfg.slots) / meanService.Seconds()
	s.loop.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.loop.Now.After(s.end) {
			return
		}
		domain := zone(s.rng.IntN(domains))
		if s.cfg.skewed && s.rng.IntN(10) < 7 {
			domain = zone(0)
		}
		s.arrive(domain, s.homeOf(domain))
		s.arrivals()
	})
}

// homeOf is a home of the caller's domain, or any if there is none.
func (s *serviceSim) homeOf(domain string) *simHome {
	var near []*simHome
	for _, h := range s.homes {
		if h.domain == domain {
			near = append(near, h)
		}
	}
	if len(near) == 0 {
		near = s.homes
	}
	return near[s.rng.IntN(len(near))]
}

func (s *serviceSim) arrive(domain string, h *simHome) {
	s.nextID++
	s.result.offered++
	now := s.loop.Now
	r := &simRequest{
		home: h, arrived: now, idempotent: s.rng.IntN(2) == 0,
		ticket: limits.Ticket{ID: s.nextID, Caller: "caller", Deadline: now.Add(callerWaits)},
	}
	r.extra = 2 * between(domain, h.domain)
	switch h.queue.Offer(now, r.ticket).Action {
	case limits.Run:
		s.dispatch(r)
	case limits.Wait:
		h.waiting[r.ticket.ID] = r
	default:
		s.result.refused++
	}
	s.admitted(h, nil)
}

// admitted dispatches tickets that may run and drops those that expired.
func (s *serviceSim) admitted(h *simHome, run []limits.Ticket) {
	for _, t := range run {
		r := h.waiting[t.ID]
		delete(h.waiting, t.ID)
		s.dispatch(r)
	}
	for _, t := range h.queue.Expire(s.loop.Now) {
		delete(h.waiting, t.ID)
		s.result.refused++
	}
}

func (s *serviceSim) dispatch(r *simRequest) {
	s.result.dispatched++
	r.home.budget.RecordRequest(s.loop.Now)
	_ = s.result.wait.RecordValue(max(1, s.loop.Now.Sub(r.arrived).Microseconds()))
	s.attempt(r)
}

func (s *serviceSim) attempt(r *simRequest) {
	h := r.home
	req := routing.Request{Now: s.loop.Now, Domain: h.domain, Idempotent: r.idempotent, Tried: r.tried}
	c, ok := s.cfg.choose(h.candidates, req, s.rng)
	if !ok {
		s.retryLater(r)
		return
	}
	s.result.attempts++
	r.attempts++
	h.candidates[c.Index].OwnInFlight++
	h.inFlight.Start(s.loop.Now, c.ID)
	r.tried = append(r.tried, c.ID)
	u := s.ups[c.Index]
	distance := between(u.domain, h.domain)
	s.loop.After(distance, func() { s.serve(r, c.Index, distance) })
}

// retryLater chooses again a little later: the permit of the request and its
// place in the retry budget are kept, and a slot that was taken frees up in a
// few milliseconds.
func (s *serviceSim) retryLater(r *simRequest) {
	if r.ticket.Deadline.Sub(s.loop.Now) < meanService {
		s.finish(r, false)
		return
	}
	s.loop.After(chooseAgain, func() {
		r.tried = r.tried[:0]
		s.attempt(r)
	})
}

// serve runs the request at the upstream, or sheds it.
func (s *serviceSim) serve(r *simRequest, index int, distance time.Duration) {
	u := s.ups[index]
	if s.cfg.shedding || u.running >= s.cfg.slots {
		s.loop.After(distance, func() { s.back(r, index, verdict.NotRun, false) })
		return
	}
	u.running++
	took := leastService + time.Duration(s.rng.ExpFloat64()*float64(meanExtra))
	r.served = took
	fails := s.rng.Float64() < s.cfg.failing
	s.loop.After(took, func() {
		u.running--
		s.loop.After(distance, func() { s.back(r, index, verdict.MayHaveRun, !fails) })
	})
}

// back takes the response of an attempt at the home.
func (s *serviceSim) back(r *simRequest, index int, v verdict.Verdict, ok bool) {
	h, now := r.home, s.loop.Now
	h.candidates[index].OwnInFlight--
	h.inFlight.End(now, h.candidates[index].ID)
	if ok {
		s.finish(r, true)
		return
	}
	if v == verdict.NotRun {
		h.candidates[index].PausedUntil = now.Add(routing.ShedPause)
		if r.attempts == 1 {
			s.result.collided++
		}
	}
	a := retry.Attempt{
		Verdict: v, Idempotent: r.idempotent, Attempts: r.attempts,
		EarlierMayHaveRun: r.mayHaveRun, TimeLeft: r.ticket.Deadline.Sub(now),
	}
	r.mayHaveRun = r.mayHaveRun || v != verdict.NotRun
	if s.again(h, a) {
		s.attempt(r)
		return
	}
	s.finish(r, false)
}

func (s *serviceSim) again(h *simHome, a retry.Attempt) bool {
	if s.cfg.unlimited {
		return a.Attempts < retry.DefaultMaxAttempts && (a.Idempotent || a.Verdict == verdict.NotRun)
	}
	return h.budget.Decide(s.loop.Now, a).Retry
}

func (s *serviceSim) finish(r *simRequest, ok bool) {
	switch {
	case !ok:
		s.result.failed++
	case s.loop.Now.After(r.ticket.Deadline):
		s.result.late++
	default:
		s.result.answered++
		_ = s.result.added.RecordValue((s.loop.Now.Sub(r.arrived) + r.extra - r.served).Microseconds())
	}
	s.admitted(r.home, r.home.queue.Done(s.loop.Now, r.ticket))
}

// at is a percentile of a histogram of microseconds.
func at(h *hdrhistogram.Histogram, percentile float64) string {
	return ms(time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond)
}
