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
	domains              = 3
	interDomainDelay     = 1500 * time.Microsecond // one way, between failure domains
	intraDomainDelay     = 100 * time.Microsecond
	minServiceTime       = 15 * time.Millisecond // plus an exponential part with the mean meanExtraServiceTime
	meanExtraServiceTime = 15 * time.Millisecond
	meanServiceTime      = minServiceTime + meanExtraServiceTime
	requestTimeout       = 500 * time.Millisecond // from arrival to deadline
	chooseRetryDelay     = 5 * time.Millisecond   // if no upstream was free
	reportInterval       = 250 * time.Millisecond
)

// reportMode selects what homes report to each other about their requests in
// flight.
type reportMode string

const (
	reportMean    reportMode = "mean"    // mean of the interval, as routing.InFlight does
	reportCurrent reportMode = "current" // the count at the time of the report
	reportNone    reportMode = "none"
)

// quotaMode selects how the slots are divided among the homes.
type quotaMode string

const (
	quotasDemand quotaMode = "demand"
	quotasEqual  quotaMode = "equal"
	// quotasUnlimited is the naive mode: each home may use all slots and picks
	// upstreams at random.
	quotasUnlimited quotaMode = "none, random"
)

// chooser is routing.Choose or a naive replacement.
type chooser func([]routing.Candidate, routing.Request, *rand.Rand) (routing.Choice, bool)

type serviceConfig struct {
	name             string
	upstreams, slots int
	homes            int
	utilisation      float64 // share of the slots in use if nothing is refused
	duration         time.Duration
	reports          reportMode
	choose           chooser
	quotas           quotaMode
	skewed           bool    // 80% of the callers in the first domain: 70% plus a third of the other 30%
	failureRate      float64 // share of the attempts that fail and may have run
	shedAll          bool    // upstreams shed all requests
	unlimitedRetries bool    // naive retries: three attempts, no budget
}

type serviceResult struct {
	offered, refused, failed, answered, late int
	shedOnce                                 int // requests whose first attempt was shed by the upstream
	dispatched, attempts                     int
	queueWait                                *hdrhistogram.Histogram // microseconds
	// addedLatency is, for answered requests, the round-trip time from the
	// caller's domain minus the service time, in microseconds.
	addedLatency *hdrhistogram.Histogram
}

type serviceSim struct {
	cfg       serviceConfig
	rng       *rand.Rand
	loop      vtime.Loop
	end       time.Time
	homes     []*simHome
	upstreams []*simUpstream
	result    serviceResult
	nextID    uint64
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
	home            *simHome
	ticket          limits.Ticket
	arrived         time.Time
	idempotent      bool
	mayHaveRun      bool
	attempts        int
	callerRoundTrip time.Duration // delay between the caller's domain and the home, both ways
	serviceTime     time.Duration // of the last attempt that ran
	tried           []string
}

func simulateService(cfg serviceConfig, rng *rand.Rand) serviceResult {
	s := &serviceSim{cfg: cfg, rng: rng, loop: vtime.Loop{Now: time.Unix(1_800_000_000, 0)}}
	s.end = s.loop.Now.Add(cfg.duration)
	s.result.addedLatency = hdrhistogram.New(1, 10_000_000, 3)
	s.result.queueWait = hdrhistogram.New(1, 10_000_000, 3)
	for i := range cfg.upstreams {
		s.upstreams = append(s.upstreams, &simUpstream{id: fmt.Sprintf("upstream-%d", i), domain: domainName(i)})
	}
	for i := range cfg.homes {
		s.addHome(i)
	}
	for _, h := range s.homes {
		s.refresh(h)
	}
	s.scheduleArrival()
	s.loop.Run()
	return s.result
}

func domainName(i int) string { return string(rune('a' + i%domains)) }

func oneWayDelay(a, b string) time.Duration {
	if a == b {
		return intraDomainDelay
	}
	return interDomainDelay
}

func (s *serviceSim) addHome(i int) {
	h := &simHome{
		id: fmt.Sprintf("home-%d", i), domain: domainName(i), inFlight: routing.NewInFlight(),
		budget: retry.NewBudget(retry.DefaultPolicy()), waiting: map[uint64]*simRequest{},
	}
	for _, u := range s.upstreams {
		h.candidates = append(h.candidates, routing.Candidate{
			ID: u.id, Domain: u.domain, Slots: s.cfg.slots, Share: 1, Preference: routing.Preference(h.id, u.id),
		})
	}
	h.queue = limits.NewQueue(limits.DefaultPolicy(), 0)
	s.homes = append(s.homes, h)
	s.loop.After(time.Duration(s.rng.Int64N(int64(reportInterval))), func() { s.report(h) })
}

// report sends the home's requests in flight to the other homes and refreshes
// its own quotas.
func (s *serviceSim) report(h *simHome) {
	now := s.loop.Now
	report := h.inFlight.Report(now, h.queue.Waiting())
	if s.cfg.reports == reportCurrent {
		report.Loads = report.Loads[:0]
		for _, u := range s.upstreams {
			report.Loads = append(report.Loads, routing.Load{Upstream: u.id, Mean: float64(h.inFlight.Own(u.id))})
		}
	}
	for _, other := range s.homes {
		if other != h && s.cfg.reports != reportNone {
			s.loop.After(interDomainDelay, func() { other.inFlight.Merge(s.loop.Now, h.id, report); s.refresh(other) })
		}
	}
	s.refresh(h)
	if now.Before(s.end) {
		s.loop.After(reportInterval, func() { s.report(h) })
	}
}

func (s *serviceSim) refresh(h *simHome) {
	h.inFlight.Refresh(s.loop.Now, 0)
	quotas := s.quotas(h)
	for i := range h.candidates {
		h.candidates[i].Quota = quotas[i]
		h.candidates[i].OthersInFlight, _ = h.inFlight.Others(h.candidates[i].ID)
		h.candidates[i].OwnInFlight = h.inFlight.Own(h.candidates[i].ID)
	}
	capacity, reserve := routing.Capacity(h.candidates, h.queue.Running())
	s.dispatchAdmitted(h, h.queue.SetCapacity(s.loop.Now, capacity, reserve))
}

// quotas returns the home's quota of slots by upstream.
func (s *serviceSim) quotas(h *simHome) []int {
	if s.cfg.quotas == quotasUnlimited {
		return slices.Repeat([]int{s.cfg.slots}, len(h.candidates))
	}
	var homes []routing.Home
	for _, other := range s.homes {
		homes = append(homes, routing.Home{ID: other.id, Domain: other.domain})
	}
	if s.cfg.quotas == quotasDemand {
		h.inFlight.FillDemand(h.id, homes)
	}
	return routing.Quotas(h.id, homes, h.candidates)
}

// scheduleArrival schedules the next request of a Poisson process. Callers are
// spread evenly over the domains unless the configuration is skewed.
func (s *serviceSim) scheduleArrival() {
	rate := s.cfg.utilisation * float64(s.cfg.upstreams*s.cfg.slots) / meanServiceTime.Seconds()
	s.loop.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.loop.Now.After(s.end) {
			return
		}
		domain := domainName(s.rng.IntN(domains))
		if s.cfg.skewed && s.rng.IntN(10) < 7 {
			domain = domainName(0)
		}
		s.arrive(domain, s.pickHome(domain))
		s.scheduleArrival()
	})
}

// pickHome returns a random home in the caller's domain, or any home if that
// domain has none.
func (s *serviceSim) pickHome(domain string) *simHome {
	var local []*simHome
	for _, h := range s.homes {
		if h.domain == domain {
			local = append(local, h)
		}
	}
	if len(local) == 0 {
		local = s.homes
	}
	return local[s.rng.IntN(len(local))]
}

func (s *serviceSim) arrive(domain string, h *simHome) {
	s.nextID++
	s.result.offered++
	now := s.loop.Now
	r := &simRequest{
		home: h, arrived: now, idempotent: s.rng.IntN(2) == 0,
		ticket: limits.Ticket{ID: s.nextID, Caller: "caller", Deadline: now.Add(requestTimeout)},
	}
	r.callerRoundTrip = 2 * oneWayDelay(domain, h.domain)
	switch h.queue.Offer(now, r.ticket).Action {
	case limits.Run:
		s.dispatch(r)
	case limits.Wait:
		h.waiting[r.ticket.ID] = r
	default:
		s.result.refused++
	}
	s.dispatchAdmitted(h, nil)
}

// dispatchAdmitted dispatches admitted tickets and drops expired ones.
func (s *serviceSim) dispatchAdmitted(h *simHome, admitted []limits.Ticket) {
	for _, t := range admitted {
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
	_ = s.result.queueWait.RecordValue(max(1, s.loop.Now.Sub(r.arrived).Microseconds()))
	s.attempt(r)
}

func (s *serviceSim) attempt(r *simRequest) {
	h := r.home
	req := routing.Request{Now: s.loop.Now, Domain: h.domain, Idempotent: r.idempotent, Tried: r.tried}
	c, ok := s.cfg.choose(h.candidates, req, s.rng)
	if !ok {
		s.chooseLater(r)
		return
	}
	s.result.attempts++
	r.attempts++
	h.candidates[c.Index].OwnInFlight++
	h.inFlight.Start(s.loop.Now, c.ID)
	r.tried = append(r.tried, c.ID)
	u := s.upstreams[c.Index]
	delay := oneWayDelay(u.domain, h.domain)
	s.loop.After(delay, func() { s.serve(r, c.Index, delay) })
}

// chooseLater repeats the choice after chooseRetryDelay. The request keeps its
// permit and its place in the retry budget, because a slot usually frees up
// within a few milliseconds.
func (s *serviceSim) chooseLater(r *simRequest) {
	if r.ticket.Deadline.Sub(s.loop.Now) < meanServiceTime {
		s.finish(r, false)
		return
	}
	s.loop.After(chooseRetryDelay, func() {
		r.tried = r.tried[:0]
		s.attempt(r)
	})
}

// serve runs the request at the upstream, or sheds it if no slot is free.
func (s *serviceSim) serve(r *simRequest, index int, delay time.Duration) {
	u := s.upstreams[index]
	if s.cfg.shedAll || u.running >= s.cfg.slots {
		s.loop.After(delay, func() { s.handleResponse(r, index, verdict.NotRun, false) })
		return
	}
	u.running++
	serviceTime := minServiceTime + time.Duration(s.rng.ExpFloat64()*float64(meanExtraServiceTime))
	r.serviceTime = serviceTime
	failed := s.rng.Float64() < s.cfg.failureRate
	s.loop.After(serviceTime, func() {
		u.running--
		s.loop.After(delay, func() { s.handleResponse(r, index, verdict.MayHaveRun, !failed) })
	})
}

// handleResponse handles the response to an attempt at the home.
func (s *serviceSim) handleResponse(r *simRequest, index int, v verdict.Verdict, ok bool) {
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
			s.result.shedOnce++
		}
	}
	a := retry.Attempt{
		Verdict: v, Idempotent: r.idempotent, Attempts: r.attempts,
		EarlierMayHaveRun: r.mayHaveRun, TimeLeft: r.ticket.Deadline.Sub(now),
	}
	r.mayHaveRun = r.mayHaveRun || v != verdict.NotRun
	if s.shouldRetry(h, a) {
		s.attempt(r)
		return
	}
	s.finish(r, false)
}

func (s *serviceSim) shouldRetry(h *simHome, a retry.Attempt) bool {
	if s.cfg.unlimitedRetries {
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
		_ = s.result.addedLatency.RecordValue((s.loop.Now.Sub(r.arrived) + r.callerRoundTrip - r.serviceTime).Microseconds())
	}
	s.dispatchAdmitted(r.home, r.home.queue.Done(s.loop.Now, r.ticket))
}

// formatPercentile formats a percentile of a histogram of microseconds in
// milliseconds.
func formatPercentile(h *hdrhistogram.Histogram, percentile float64) string {
	return formatMs(time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond)
}
