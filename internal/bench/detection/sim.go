package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotglade/pkg/detector"
)

const (
	warmUp        = 20 * time.Second // before the onset of the fault
	horizon       = 40 * time.Second // after the onset
	tickInterval  = 250 * time.Millisecond
	probeInterval = time.Second // per home and upstream
	// A request that finds no free slot polls every slotPollInterval and is
	// refused after maxWait.
	slotPollInterval = 5 * time.Millisecond
	maxWait          = 500 * time.Millisecond
	lateMedians      = 3.0 // latency in medians above which a response counts as late
	// faultyUpstream is the index of the upstream with the fault.
	faultyUpstream = 0
)

var epoch = time.Unix(1_800_000_000, 0)

// nodeIDs are the ids of upstreams and homes, by index.
var nodeIDs = func() (out []string) {
	for i := range 64 {
		out = append(out, fmt.Sprintf("u%02d", i))
	}
	return out
}()

func nodeIndex(name string) int { return int(name[1]-'0')*10 + int(name[2]-'0') }

// trial is the result of one simulated fault.
type trial struct {
	// void trials began with the upstream already excluded by a false alarm.
	void     bool
	detected bool
	// ejected is true if the faulty upstream was ejected, not only demoted.
	ejected bool
	// detectionTime is the time from the onset until no affected home sends
	// ordinary requests to the faulty upstream.
	detectionTime time.Duration
	// outcomes holds, for each affected home that stopped using the faulty
	// upstream, the number of outcomes it saw until then.
	outcomes []int
	// requests counts all requests within the horizon. lost ones failed, timed
	// out or found no upstream; late ones took more than three medians.
	requests, lost, late int
	// Events are false if the upstream has no fault or a harmless one.
	falseDemotions, falseEjections int
}

// event is a scheduled event of the simulation.
type event struct {
	at   time.Time
	kind eventKind
	// Fields of a request. startedAt is the time when it was sent; for a
	// waiting request it is the time of its arrival.
	home, upstream       int
	outcome              detector.Outcome
	startedAt, arrivedAt time.Time
}

type eventKind uint8

const (
	arrival eventKind = iota
	waiting
	completion
	overdue
	redial
	tick
	probeRound
)

// eventQueue is a binary min-heap ordered by time.
type eventQueue []event

func (q *eventQueue) push(e event) {
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

func (q *eventQueue) pop() event {
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

// simulation simulates one service with one fault and one detector.
type simulation struct {
	service      service
	fault        fault
	detector     failureDetector
	homes        int
	rng          *rand.Rand
	queue        eventQueue
	onset        time.Time
	inFlight     []int
	dialling     []bool // by home; only the faulty upstream can be unreachable
	avoidsFaulty []bool // by home: stopped sending ordinary requests to the faulty upstream
	outcomesSeen []int
	trial        trial
}

// runTrial simulates one onset of a fault.
func runTrial(s service, f fault, d failureDetector, seed uint64) trial {
	sim := &simulation{
		service: s, fault: f, detector: d, homes: homesPerService,
		rng: rand.New(rand.NewPCG(seed, 1)), onset: epoch.Add(warmUp),
		inFlight: make([]int, s.Upstreams), avoidsFaulty: make([]bool, homesPerService),
		dialling: make([]bool, homesPerService), outcomesSeen: make([]int, homesPerService),
	}
	// A random onset avoids a fixed offset from ticks and outlier intervals.
	sim.onset = sim.onset.Add(time.Duration(sim.rng.Float64() * float64(outlierInterval)))
	for _, kind := range []eventKind{arrival, tick, probeRound} {
		sim.push(event{at: epoch, kind: kind})
	}
	end, faultStarted := sim.onset.Add(horizon), false
	for {
		e := sim.queue.pop()
		if e.at.After(end) {
			return sim.finish()
		}
		if !faultStarted && !e.at.Before(sim.onset) {
			faultStarted = true
			sim.startFault(e.at)
		}
		sim.handle(e)
		sim.checkDetection(e.at)
	}
}

// startFault handles the onset of the fault.
func (s *simulation) startFault(now time.Time) {
	if s.fault.ColdStart > 0 {
		s.detector.joined(now, faultyUpstream)
	}
	for home := range s.affectedHomes() {
		s.trial.void = s.trial.void || !s.detector.standing(home, faultyUpstream).ordinary()
	}
}

func (s *simulation) push(e event) { s.queue.push(e) }

func (s *simulation) handle(e event) {
	switch e.kind {
	case arrival:
		if !e.at.Before(s.onset) {
			s.trial.requests++
		}
		s.dispatch(e.at, e.at, s.rng.IntN(s.homes))
		s.push(event{at: e.at.Add(time.Duration(s.rng.ExpFloat64() / s.service.requestRate() * 1e9)), kind: arrival})
	case waiting:
		s.dispatch(e.at, e.startedAt, e.home)
	case completion:
		s.inFlight[e.upstream]--
		s.observe(e)
	case redial:
		s.finishRedial(e)
	case overdue:
		s.detector.observe(e.at, e.home, e.outcome)
	case tick:
		s.detector.tick(e.at)
		s.push(event{at: e.at.Add(tickInterval), kind: tick})
	case probeRound:
		s.probeAll(e.at)
		s.push(event{at: e.at.Add(probeInterval), kind: probeRound})
	}
}

// observe passes an outcome to the detector and counts it.
func (s *simulation) observe(e event) {
	if e.upstream == faultyUpstream && !e.startedAt.Before(s.onset) && !s.avoidsFaulty[e.home] {
		s.outcomesSeen[e.home]++
	}
	s.detector.observe(e.at, e.home, e.outcome)
	if e.outcome.Kind == detector.Unreachable {
		// The request cannot have run, so it is safe to send it again.
		s.scheduleRedial(e)
		s.dispatch(e.at, e.arrivedAt, e.home)
		return
	}
	if e.startedAt.Before(s.onset) {
		return
	}
	if e.outcome.Kind != detector.Success {
		s.trial.lost++
	} else if float64(e.outcome.Latency) > lateMedians*float64(s.service.Median) {
		s.trial.late++
	}
}

// dispatch sends a request from a home to an upstream with a free slot, or
// lets it wait for one.
func (s *simulation) dispatch(now, arrived time.Time, home int) {
	afterOnset := !now.Before(s.onset)
	upstream := s.chooseUpstream(home)
	switch {
	case upstream >= 0 && now.Sub(arrived) < maxWait:
	case now.Sub(arrived) < maxWait:
		s.push(event{at: now.Add(slotPollInterval), kind: waiting, home: home, startedAt: arrived})
		return
	default:
		if !arrived.Before(s.onset) {
			s.trial.lost++
		}
		return
	}
	r, kind := s.service.drawHealthyResult(s.rng), detector.Success
	if upstream == faultyUpstream && afterOnset {
		if s.fault.Unreachable && home == 0 {
			s.failDial(now, arrived, home)
			return
		}
		r = s.service.drawResult(s.fault, now.Sub(s.onset), s.rng)
	}
	switch {
	case r.failed:
		kind = detector.Failure
	case r.latency > s.service.timeout():
		kind, r.latency = detector.Timeout, s.service.timeout()
	}
	s.scheduleCompletion(now, home, upstream, kind, r.latency)
}

// failDial schedules the failure of a dial to the faulty upstream.
func (s *simulation) failDial(now, arrived time.Time, home int) {
	s.inFlight[faultyUpstream]++
	s.push(event{
		at: now.Add(dialTimeout), kind: completion, home: home, upstream: faultyUpstream, startedAt: now, arrivedAt: arrived,
		outcome: detector.Outcome{Upstream: nodeIDs[faultyUpstream], Kind: detector.Unreachable},
	})
}

// scheduleRedial schedules another dial if the detector asks for it.
func (s *simulation) scheduleRedial(e event) {
	delay, wanted := s.detector.redial(e.home, e.upstream)
	if !wanted || s.dialling[e.home] {
		return
	}
	s.dialling[e.home] = true
	s.push(event{at: e.at.Add(delay + dialTimeout), kind: redial, home: e.home, upstream: e.upstream})
}

// finishRedial handles the result of a redial.
func (s *simulation) finishRedial(e event) {
	s.dialling[e.home] = false
	e.outcome = detector.Outcome{Upstream: nodeIDs[e.upstream], Kind: detector.Reachable}
	if s.fault.Unreachable && e.home == 0 && e.upstream == faultyUpstream && !e.at.Before(s.onset) {
		e.outcome.Kind = detector.Unreachable
	}
	s.detector.observe(e.at, e.home, e.outcome)
	s.scheduleRedial(e)
}

// scheduleCompletion schedules the end of a request and, if it takes long
// enough, its report as overdue.
func (s *simulation) scheduleCompletion(now time.Time, home, upstream int, kind detector.Kind, latency time.Duration) {
	s.inFlight[upstream]++
	e := event{
		at: now.Add(latency), kind: completion, home: home, upstream: upstream, startedAt: now,
		outcome: detector.Outcome{Upstream: nodeIDs[upstream], Kind: kind, Latency: latency},
	}
	if threshold := s.detector.overdueAfter(home); threshold > 0 && latency > threshold {
		e.outcome.WasOverdue = true
		s.push(event{
			at: now.Add(threshold), kind: overdue, home: home, upstream: upstream,
			outcome: detector.Outcome{Upstream: nodeIDs[upstream], Kind: detector.Overdue, Latency: threshold},
		})
	}
	s.push(e)
}

// chooseUpstream returns a random upstream with a free slot, weighted by free
// slots and share. Demoted upstreams are used only if there is no other. It
// returns -1 if there is none.
func (s *simulation) chooseUpstream(home int) int {
	idempotent := s.rng.Float64() < idempotentShare
	chosen, totalWeight, demotedChosen, demotedWeight := -1, 0.0, -1, 0.0
	for i, busy := range s.inFlight {
		st := s.detector.standing(home, i)
		weight := float64(s.service.Slots-busy) * st.share
		if st.excluded || weight <= 0 || st.idempotentOnly && !idempotent {
			continue
		}
		// Reservoir sampling chooses by weight in one pass.
		if st.demoted {
			if demotedWeight += weight; s.rng.Float64()*demotedWeight < weight {
				demotedChosen = i
			}
		} else if totalWeight += weight; s.rng.Float64()*totalWeight < weight {
			chosen = i
		}
	}
	if chosen < 0 {
		return demotedChosen
	}
	return chosen
}

// probeAll probes every upstream from every home.
func (s *simulation) probeAll(now time.Time) {
	for home := range s.homes {
		for i := range s.service.Upstreams {
			kind := detector.ProbeSuccess
			if i == faultyUpstream && s.fault.ProbesFail && !now.Before(s.onset) {
				kind = detector.ProbeFailure
			}
			s.detector.observe(now, home, detector.Outcome{Upstream: nodeIDs[i], Kind: kind})
		}
	}
}

// checkDetection records the time when all affected homes avoid the faulty
// upstream.
func (s *simulation) checkDetection(now time.Time) {
	if s.trial.detected || s.fault.ColdStart == 0 && s.trial.void || now.Before(s.onset) {
		return
	}
	allAvoid := true
	for home := range s.affectedHomes() {
		s.avoidsFaulty[home] = s.avoidsFaulty[home] || !s.detector.standing(home, faultyUpstream).ordinary()
		allAvoid = allAvoid && !s.detector.standing(home, faultyUpstream).ordinary()
	}
	if allAvoid {
		s.trial.detected, s.trial.detectionTime = true, now.Sub(s.onset)
	}
}

// affectedHomes returns the number of homes that the fault affects; they are
// the first ones by index.
func (s *simulation) affectedHomes() int {
	if s.fault.Unreachable {
		return 1
	}
	return s.homes
}

// finish counts the false events of the whole run. Events of the faulty
// upstream before the onset are false as well, but they are few and not
// distinguished from the later ones. If a naive detector ejects an unreachable
// upstream, it does so only at the affected home, so that is not false.
func (s *simulation) finish() trial {
	for home := range s.affectedHomes() {
		if s.avoidsFaulty[home] {
			s.trial.outcomes = append(s.trial.outcomes, s.outcomesSeen[home])
		}
	}
	c := s.detector.counts()
	s.trial.ejected = c.ejections[faultyUpstream] > 0
	for i := range s.service.Upstreams {
		if i != faultyUpstream || s.fault.Harmless {
			s.trial.falseDemotions += c.demotions[i]
		}
		if _, isFleet := s.detector.(*fleetDetector); i != faultyUpstream || s.fault.Harmless || s.fault.Unreachable && isFleet {
			s.trial.falseEjections += c.ejections[i]
		}
	}
	return s.trial
}
