package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotglade/internal/bench/traffic/vtime"
	"shallotglade/pkg/limits"
)

// admission is limits.Queue or a naive queue.
type admission interface {
	Offer(time.Time, limits.Ticket) limits.Decision
	Done(time.Time, limits.Ticket) []limits.Ticket
	Expire(time.Time) []limits.Ticket
}

// naiveQueue has no callers. Newest first, or oldest first; with drop it throws
// away, when their turn comes, requests whose deadline has passed.
type naiveQueue struct {
	capacity, running int
	newest, drop      bool
	waiting, dropped  []limits.Ticket
}

// Offer implements admission.
func (q *naiveQueue) Offer(_ time.Time, t limits.Ticket) limits.Decision {
	if q.running < q.capacity {
		q.running++
		return limits.Decision{Action: limits.Run}
	}
	q.waiting = append(q.waiting, t)
	return limits.Decision{Action: limits.Wait}
}

// Done implements admission.
func (q *naiveQueue) Done(now time.Time, _ limits.Ticket) []limits.Ticket {
	for len(q.waiting) > 0 {
		var t limits.Ticket
		if last := len(q.waiting) - 1; q.newest {
			t, q.waiting = q.waiting[last], q.waiting[:last]
		} else {
			t, q.waiting = q.waiting[0], q.waiting[1:]
		}
		if q.drop && now.After(t.Deadline) {
			q.dropped = append(q.dropped, t)
			continue
		}
		return []limits.Ticket{t}
	}
	q.running--
	return nil
}

// Expire implements admission.
func (q *naiveQueue) Expire(time.Time) []limits.Ticket {
	out := q.dropped
	q.dropped = nil
	return out
}

// queueSim offers requests of some callers to one queue with fixed capacity.
type queueSim struct {
	rng     *rand.Rand
	loop    vtime.Loop
	end     time.Time
	q       admission
	waiting map[uint64]time.Time
	nextID  uint64
	stats   map[string]*callerStats
	// burst, if set, multiplies the rates for the first second in each four.
	burst float64
}

type callerStats struct {
	offered, inTime, late, expired int
	wait                           *hdrhistogram.Histogram // of requests answered in time
}

// queueSlots is the capacity: 800 requests a second.
const queueSlots = 24

func runQueue(rng *rand.Rand, q admission, span time.Duration, burst float64, rates []callerRate) map[string]*callerStats {
	s := &queueSim{
		rng: rng, q: q, waiting: map[uint64]time.Time{}, burst: burst,
		loop: vtime.Loop{Now: time.Unix(1_800_000_000, 0)}, stats: map[string]*callerStats{},
	}
	s.end = s.loop.Now.Add(span)
	for _, c := range rates {
		s.stats[c.name] = &callerStats{wait: hdrhistogram.New(1, 600_000_000, 3)}
		s.arrivals(c)
	}
	s.loop.Run()
	return s.stats
}

type callerRate struct {
	name string
	rate float64
}

func (s *queueSim) arrivals(c callerRate) {
	rate := c.rate
	if s.burst > 0 && s.loop.Now.Unix()%4 == 0 {
		rate *= s.burst
	}
	s.loop.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.loop.Now.After(s.end) {
			return
		}
		s.offer(c.name)
		s.arrivals(c)
	})
}

func (s *queueSim) offer(caller string) {
	now := s.loop.Now
	s.nextID++
	s.stats[caller].offered++
	t := limits.Ticket{ID: s.nextID, Caller: caller, Deadline: now.Add(callerWaits)}
	s.waiting[t.ID] = now
	switch s.q.Offer(now, t).Action {
	case limits.Run:
		s.start(t)
	case limits.Refuse:
		delete(s.waiting, t.ID)
	}
	s.expire()
}

func (s *queueSim) start(t limits.Ticket) {
	began := s.loop.Now
	waited := began.Sub(s.waiting[t.ID])
	delete(s.waiting, t.ID)
	took := leastService + time.Duration(s.rng.ExpFloat64()*float64(meanExtra))
	s.loop.After(took, func() {
		st := s.stats[t.Caller]
		if s.loop.Now.After(t.Deadline) {
			st.late++
		} else {
			st.inTime++
			_ = st.wait.RecordValue(max(1, waited.Microseconds()))
		}
		for _, next := range s.q.Done(s.loop.Now, t) {
			s.start(next)
		}
		s.expire()
	})
}

func (s *queueSim) expire() {
	for _, t := range s.q.Expire(s.loop.Now) {
		delete(s.waiting, t.ID)
		s.stats[t.Caller].expired++
	}
}

func queues() map[string]func() admission {
	return map[string]func() admission{
		"limits":         func() admission { return limits.NewQueue(limits.DefaultPolicy(), queueSlots) },
		"fifo":           func() admission { return &naiveQueue{capacity: queueSlots} },
		"fifo, dropping": func() admission { return &naiveQueue{capacity: queueSlots, drop: true} },
		"lifo, dropping": func() admission { return &naiveQueue{capacity: queueSlots, drop: true, newest: true} },
	}
}

var queueNames = []string{"limits", "fifo", "fifo, dropping", "lifo, dropping"}

var queueHeader = []string{"queue", "caller", "offered/s", "in time/s", "late/s", "expired/s", "wait p50", "wait p99"}

// callersTable has one caller at ten times its half share.
func callersTable(span time.Duration) *table {
	t := &table{
		Title:  "Two callers, capacity 800/s, deadline 500 ms: one within its half, one at ten times its half",
		Header: queueHeader,
	}
	rates := []callerRate{{"light", 360}, {"heavy", 4000}}
	for _, name := range queueNames {
		for _, c := range rates {
			t.addQueue(name, c.name, span, 0, rates)
		}
	}
	return t
}

// orderTable weighs the order of service with one caller.
func orderTable(span time.Duration) *table {
	t := &table{
		Title:  "One caller, capacity 800/s, deadline 500 ms: steady at 1200/s, then bursts (1 s at 1800/s, 3 s at 400/s)",
		Header: queueHeader,
	}
	for _, name := range queueNames {
		t.addQueue(name, "steady", span, 0, []callerRate{{"steady", 1200}})
		t.addQueue(name, "bursts", span, 4.5, []callerRate{{"bursts", 400}})
	}
	return t
}

func (t *table) addQueue(name, caller string, span time.Duration, burst float64, rates []callerRate) {
	t.jobs = append(t.jobs, func(rng *rand.Rand) []string {
		st := runQueue(rng, queues()[name](), span, burst, rates)[caller]
		per := func(n int) string { return fmt.Sprintf("%.0f", float64(n)/span.Seconds()) }
		return []string{name, caller, per(st.offered), per(st.inTime), per(st.late), per(st.expired), at(st.wait, 50), at(st.wait, 99)}
	})
}
