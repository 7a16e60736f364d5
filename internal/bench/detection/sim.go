package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotglade/pkg/detector"
)

const (
	warmUp     = 20 * time.Second // before the onset of the fault
	horizon    = 40 * time.Second // after the onset
	tickEvery  = 250 * time.Millisecond
	probeEvery = time.Second // per home and upstream
	// A request that finds no free slot waits, and is refused after maxWait.
	waitStep   = 5 * time.Millisecond
	maxWait    = 500 * time.Millisecond
	lateFactor = 3.0 // medians after which a response counts as late
	// sick is the upstream with the fault.
	sick = 0
)

var epoch = time.Unix(1_800_000_000, 0)

// names are the ids of upstreams and homes.
var names = func() (out []string) {
	for i := range 64 {
		out = append(out, fmt.Sprintf("u%02d", i))
	}
	return out
}()

func index(name string) int { return int(name[1]-'0')*10 + int(name[2]-'0') }

// trial is the result of one simulated fault.
type trial struct {
	// void trials began with the upstream already excluded by a false alarm.
	void     bool
	detected bool
	// ejected tells that the faulty upstream was also ejected.
	ejected bool
	// after is the time from the onset until no home that the fault concerns
	// gives the upstream ordinary work.
	after time.Duration
	// outcomes are those that each concerned home saw until it stopped.
	outcomes []int
	// lost requests failed, timed out or found no upstream; late ones took
	// more than three medians; all counts are within the horizon.
	all, lost, late int
	// false events concern upstreams without a fault, or a harmless one.
	falseDemotions, falseEjections int
}

// event is something that happens at a time.
type event struct {
	at   time.Time
	kind eventKind
	// of a request; begun is when it was sent, or when it began to wait
	home, upstream int
	outcome        detector.Outcome
	begun, arrived time.Time
}

type eventKind uint8

const (
	arrival eventKind = iota
	waiting
	completion
	overdue
	redial
	tick
	probes
)

// events is a binary heap by time.
type events []event

func (q *events) push(e event) {
	*q = append(*q, e)
	h := *q
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].at.Before(h[parent].at) {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

func (q *events) pop() event {
	h := *q
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	*q = h
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && h[child+1].at.Before(h[child].at) {
			child++
		}
		if !h[child].at.Before(h[i].at) {
			return first
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

// simulation is one service with one fault and one judge.
type simulation struct {
	service  service
	fault    fault
	judge    judge
	homes    int
	rng      *rand.Rand
	queue    events
	onset    time.Time
	inFlight []int
	dialling []bool // by home; only the sick upstream is ever unreachable
	stopped  []bool // by home: the sick upstream no longer gets ordinary work
	seen     []int
	trial    trial
}

// runTrial simulates one fault.
func runTrial(s service, f fault, j judge, seed uint64) trial {
	sim := &simulation{
		service: s, fault: f, judge: j, homes: homesPerService,
		rng: rand.New(rand.NewPCG(seed, 1)), onset: epoch.Add(warmUp),
		inFlight: make([]int, s.Upstreams), stopped: make([]bool, homesPerService),
		dialling: make([]bool, homesPerService), seen: make([]int, homesPerService),
	}
	// The onset falls anywhere between two ticks and two outlier intervals.
	sim.onset = sim.onset.Add(time.Duration(sim.rng.Float64() * float64(outlierInterval)))
	for _, kind := range []eventKind{arrival, tick, probes} {
		sim.push(event{at: epoch, kind: kind})
	}
	end, begun := sim.onset.Add(horizon), false
	for {
		e := sim.queue.pop()
		if e.at.After(end) {
			return sim.finish()
		}
		if !begun && !e.at.Before(sim.onset) {
			begun = true
			sim.begin(e.at)
		}
		sim.handle(e)
		sim.watch(e.at)
	}
}

// begin notes the onset of the fault.
func (s *simulation) begin(now time.Time) {
	if s.fault.ColdStart > 0 {
		s.judge.joined(now, sick)
	}
	for home := range s.concerned() {
		s.trial.void = s.trial.void || !s.judge.standing(home, sick).ordinary()
	}
}

func (s *simulation) push(e event) { s.queue.push(e) }

func (s *simulation) handle(e event) {
	switch e.kind {
	case arrival:
		if !e.at.Before(s.onset) {
			s.trial.all++
		}
		s.dispatch(e.at, e.at, s.rng.IntN(s.homes))
		s.push(event{at: e.at.Add(time.Duration(s.rng.ExpFloat64() / s.service.rate() * 1e9)), kind: arrival})
	case waiting:
		s.dispatch(e.at, e.begun, e.home)
	case completion:
		s.inFlight[e.upstream]--
		s.observe(e)
	case redial:
		s.dialAgain(e)
	case overdue:
		s.judge.observe(e.at, e.home, e.outcome)
	case tick:
		s.judge.tick(e.at)
		s.push(event{at: e.at.Add(tickEvery), kind: tick})
	case probes:
		s.probe(e.at)
		s.push(event{at: e.at.Add(probeEvery), kind: probes})
	}
}

// observe passes an outcome to the judge and counts it.
func (s *simulation) observe(e event) {
	if e.upstream == sick && !e.begun.Before(s.onset) && !s.stopped[e.home] {
		s.seen[e.home]++
	}
	s.judge.observe(e.at, e.home, e.outcome)
	if e.outcome.Kind == detector.Unreachable {
		// The request was certainly not run, so it is sent again.
		s.scheduleRedial(e)
		s.dispatch(e.at, e.arrived, e.home)
		return
	}
	if e.begun.Before(s.onset) {
		return
	}
	if e.outcome.Kind != detector.Success {
		s.trial.lost++
	} else if float64(e.outcome.Latency) > lateFactor*float64(s.service.Median) {
		s.trial.late++
	}
}

// dispatch sends one request from a home to an upstream with a free slot.
func (s *simulation) dispatch(now, arrived time.Time, home int) {
	after := !now.Before(s.onset)
	upstream := s.choose(home)
	switch {
	case upstream >= 0 && now.Sub(arrived) < maxWait:
	case now.Sub(arrived) < maxWait:
		s.push(event{at: now.Add(waitStep), kind: waiting, home: home, begun: arrived})
		return
	default:
		if !arrived.Before(s.onset) {
			s.trial.lost++
		}
		return
	}
	r, kind := s.service.healthyWork(s.rng), detector.Success
	if upstream == sick && after {
		if s.fault.Unreachable && home == 0 {
			s.unreachable(now, arrived, home)
			return
		}
		r = s.service.work(s.fault, now.Sub(s.onset), s.rng)
	}
	switch {
	case r.failed:
		kind = detector.Failure
	case r.latency > s.service.timeout():
		kind, r.latency = detector.Timeout, s.service.timeout()
	}
	s.complete(now, home, upstream, kind, r.latency)
}

// unreachable schedules the failure of a dial from home 0.
func (s *simulation) unreachable(now, arrived time.Time, home int) {
	s.inFlight[sick]++
	s.push(event{
		at: now.Add(dialTimeout), kind: completion, home: home, upstream: sick, begun: now, arrived: arrived,
		outcome: detector.Outcome{Upstream: names[sick], Kind: detector.Unreachable},
	})
}

// scheduleRedial lets the home dial again if the judge asks for it.
func (s *simulation) scheduleRedial(e event) {
	after, wanted := s.judge.redial(e.home, e.upstream)
	if !wanted || s.dialling[e.home] {
		return
	}
	s.dialling[e.home] = true
	s.push(event{at: e.at.Add(after + dialTimeout), kind: redial, home: e.home, upstream: e.upstream})
}

// dialAgain is the end of another dial.
func (s *simulation) dialAgain(e event) {
	s.dialling[e.home] = false
	e.outcome = detector.Outcome{Upstream: names[e.upstream], Kind: detector.Reachable}
	if s.fault.Unreachable && e.home == 0 && e.upstream == sick && !e.at.Before(s.onset) {
		e.outcome.Kind = detector.Unreachable
	}
	s.judge.observe(e.at, e.home, e.outcome)
	s.scheduleRedial(e)
}

// complete schedules the end of a request, and its report as overdue.
func (s *simulation) complete(now time.Time, home, upstream int, kind detector.Kind, latency time.Duration) {
	s.inFlight[upstream]++
	e := event{
		at: now.Add(latency), kind: completion, home: home, upstream: upstream, begun: now,
		outcome: detector.Outcome{Upstream: names[upstream], Kind: kind, Latency: latency},
	}
	if after := s.judge.overdueAfter(home); after > 0 && latency > after {
		e.outcome.WasOverdue = true
		s.push(event{
			at: now.Add(after), kind: overdue, home: home, upstream: upstream,
			outcome: detector.Outcome{Upstream: names[upstream], Kind: detector.Overdue, Latency: after},
		})
	}
	s.push(e)
}

// choose returns an upstream with a free slot, weighted by free slots and
// share; demoted ones only if there is no other. It returns -1 if there is none.
func (s *simulation) choose(home int) int {
	idempotent := s.rng.Float64() < idempotentShare
	best, sum, demotedBest, demotedSum := -1, 0.0, -1, 0.0
	for i, busy := range s.inFlight {
		st := s.judge.standing(home, i)
		weight := float64(s.service.Slots-busy) * st.share
		if st.excluded || weight <= 0 || st.idempotentOnly && !idempotent {
			continue
		}
		// Reservoir sampling chooses by weight in one pass.
		if st.demoted {
			if demotedSum += weight; s.rng.Float64()*demotedSum < weight {
				demotedBest = i
			}
		} else if sum += weight; s.rng.Float64()*sum < weight {
			best = i
		}
	}
	if best < 0 {
		return demotedBest
	}
	return best
}

// probe lets every home probe every upstream.
func (s *simulation) probe(now time.Time) {
	for home := range s.homes {
		for i := range s.service.Upstreams {
			kind := detector.ProbeSuccess
			if i == sick && s.fault.ProbesFail && !now.Before(s.onset) {
				kind = detector.ProbeFailure
			}
			s.judge.observe(now, home, detector.Outcome{Upstream: names[i], Kind: kind})
		}
	}
}

// watch notes when the concerned homes stop giving ordinary work.
func (s *simulation) watch(now time.Time) {
	if s.trial.detected || s.fault.ColdStart == 0 && s.trial.void || now.Before(s.onset) {
		return
	}
	all := true
	for home := range s.concerned() {
		s.stopped[home] = s.stopped[home] || !s.judge.standing(home, sick).ordinary()
		all = all && !s.judge.standing(home, sick).ordinary()
	}
	if all {
		s.trial.detected, s.trial.after = true, now.Sub(s.onset)
	}
}

// concerned returns the number of homes that the fault concerns, from 0 on.
func (s *simulation) concerned() int {
	if s.fault.Unreachable {
		return 1
	}
	return s.homes
}

// finish counts the false events of the whole run. Before the onset every
// event is false; the few of the sick upstream there are not told apart. That a
// naive detector ejects an unreachable upstream at the one home is not false.
func (s *simulation) finish() trial {
	for home := range s.concerned() {
		if s.stopped[home] {
			s.trial.outcomes = append(s.trial.outcomes, s.seen[home])
		}
	}
	c := s.judge.counts()
	s.trial.ejected = c.ejections[sick] > 0
	for i := range s.service.Upstreams {
		if i != sick || s.fault.Harmless {
			s.trial.falseDemotions += c.demotions[i]
		}
		if _, agreed := s.judge.(*ours); i != sick || s.fault.Harmless || s.fault.Unreachable && agreed {
			s.trial.falseEjections += c.ejections[i]
		}
	}
	return s.trial
}
