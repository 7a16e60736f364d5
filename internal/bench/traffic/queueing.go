package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotglade/internal/bench/traffic/vtime"
	"shallotglade/pkg/limits"
)

// requestQueue is implemented by limits.Queue and naiveQueue.
type requestQueue interface {
	Offer(time.Time, limits.Ticket) limits.Decision
	Done(time.Time, limits.Ticket) []limits.Ticket
	Expire(time.Time) []limits.Ticket
}

// naiveQueue does not distinguish callers. It serves the newest or the oldest
// request first. If dropExpired is set, it drops a request that is next but past
// its deadline.
type naiveQueue struct {
	capacity, running        int
	newestFirst, dropExpired bool
	waiting, dropped         []limits.Ticket
}

// Offer implements requestQueue.
func (q *naiveQueue) Offer(_ time.Time, t limits.Ticket) limits.Decision {
	if q.running < q.capacity {
		q.running++
		return limits.Decision{Action: limits.Run}
	}
	q.waiting = append(q.waiting, t)
	return limits.Decision{Action: limits.Wait}
}

// Done implements requestQueue.
func (q *naiveQueue) Done(now time.Time, _ limits.Ticket) []limits.Ticket {
	for len(q.waiting) > 0 {
		var t limits.Ticket
		if last := len(q.waiting) - 1; q.newestFirst {
			t, q.waiting = q.waiting[last], q.waiting[:last]
		} else {
			t, q.waiting = q.waiting[0], q.waiting[1:]
		}
		if q.dropExpired && now.After(t.Deadline) {
			q.dropped = append(q.dropped, t)
			continue
		}
		return []limits.Ticket{t}
	}
	q.running--
	return nil
}

// Expire implements requestQueue.
func (q *naiveQueue) Expire(time.Time) []limits.Ticket {
	out := q.dropped
	q.dropped = nil
	return out
}

// queueSim offers the requests of several callers to one queue of fixed capacity.
type queueSim struct {
	rng      *rand.Rand
	loop     vtime.Loop
	end      time.Time
	queue    requestQueue
	queuedAt map[uint64]time.Time
	nextID   uint64
	stats    map[string]*callerStats
	// burstFactor, if set, multiplies the rates in one of every four seconds.
	burstFactor float64
}

type callerStats struct {
	offered, inTime, late, expired int
	wait                           *hdrhistogram.Histogram // of requests answered in time
}

// queueSlots is the capacity of the queue: 800 requests/s at the mean service
// time of 30 ms.
const queueSlots = 24

func simulateQueue(rng *rand.Rand, queue requestQueue, duration time.Duration, burstFactor float64, rates []callerRate) map[string]*callerStats {
	s := &queueSim{
		rng: rng, queue: queue, queuedAt: map[uint64]time.Time{}, burstFactor: burstFactor,
		loop: vtime.Loop{Now: time.Unix(1_800_000_000, 0)}, stats: map[string]*callerStats{},
	}
	s.end = s.loop.Now.Add(duration)
	for _, c := range rates {
		s.stats[c.name] = &callerStats{wait: hdrhistogram.New(1, 600_000_000, 3)}
		s.scheduleArrival(c)
	}
	s.loop.Run()
	return s.stats
}

type callerRate struct {
	name string
	rate float64
}

func (s *queueSim) scheduleArrival(c callerRate) {
	rate := c.rate
	if s.burstFactor > 0 && s.loop.Now.Unix()%4 == 0 {
		rate *= s.burstFactor
	}
	s.loop.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.loop.Now.After(s.end) {
			return
		}
		s.offer(c.name)
		s.scheduleArrival(c)
	})
}

func (s *queueSim) offer(caller string) {
	now := s.loop.Now
	s.nextID++
	s.stats[caller].offered++
	t := limits.Ticket{ID: s.nextID, Caller: caller, Deadline: now.Add(requestTimeout)}
	s.queuedAt[t.ID] = now
	switch s.queue.Offer(now, t).Action {
	case limits.Run:
		s.start(t)
	case limits.Refuse:
		delete(s.queuedAt, t.ID)
	}
	s.expire()
}

func (s *queueSim) start(t limits.Ticket) {
	start := s.loop.Now
	waited := start.Sub(s.queuedAt[t.ID])
	delete(s.queuedAt, t.ID)
	serviceTime := minServiceTime + time.Duration(s.rng.ExpFloat64()*float64(meanExtraServiceTime))
	s.loop.After(serviceTime, func() {
		st := s.stats[t.Caller]
		if s.loop.Now.After(t.Deadline) {
			st.late++
		} else {
			st.inTime++
			_ = st.wait.RecordValue(max(1, waited.Microseconds()))
		}
		for _, next := range s.queue.Done(s.loop.Now, t) {
			s.start(next)
		}
		s.expire()
	})
}

func (s *queueSim) expire() {
	for _, t := range s.queue.Expire(s.loop.Now) {
		delete(s.queuedAt, t.ID)
		s.stats[t.Caller].expired++
	}
}

func queueConstructors() map[string]func() requestQueue {
	return map[string]func() requestQueue{
		"limits":         func() requestQueue { return limits.NewQueue(limits.DefaultPolicy(), queueSlots) },
		"fifo":           func() requestQueue { return &naiveQueue{capacity: queueSlots} },
		"fifo, dropping": func() requestQueue { return &naiveQueue{capacity: queueSlots, dropExpired: true} },
		"lifo, dropping": func() requestQueue { return &naiveQueue{capacity: queueSlots, dropExpired: true, newestFirst: true} },
	}
}

var queueNames = []string{"limits", "fifo", "fifo, dropping", "lifo, dropping"}

var queueHeader = []string{"queue", "caller", "offered/s", "in time/s", "late/s", "expired/s", "wait p50", "wait p99"}

// callersTable compares the queues when one of two callers sends ten times its
// share.
func callersTable(duration time.Duration) *table {
	t := &table{
		Title:  "Two callers, capacity 800/s, deadline 500 ms: one within its half, one at ten times its half",
		Header: queueHeader,
	}
	rates := []callerRate{{"light", 360}, {"heavy", 4000}}
	for _, name := range queueNames {
		for _, c := range rates {
			t.addQueueRow(name, c.name, duration, 0, rates)
		}
	}
	return t
}

// orderTable compares the queues, and their order of service, with one caller.
func orderTable(duration time.Duration) *table {
	t := &table{
		Title:  "One caller, capacity 800/s, deadline 500 ms: steady at 1200/s, then bursts (1 s at 1800/s, 3 s at 400/s)",
		Header: queueHeader,
	}
	for _, name := range queueNames {
		t.addQueueRow(name, "steady", duration, 0, []callerRate{{"steady", 1200}})
		t.addQueueRow(name, "bursts", duration, 4.5, []callerRate{{"bursts", 400}})
	}
	return t
}

func (t *table) addQueueRow(name, caller string, duration time.Duration, burstFactor float64, rates []callerRate) {
	t.jobs = append(t.jobs, func(rng *rand.Rand) []string {
		st := simulateQueue(rng, queueConstructors()[name](), duration, burstFactor, rates)[caller]
		perSecond := func(n int) string { return fmt.Sprintf("%.0f", float64(n)/duration.Seconds()) }
		return []string{name, caller, perSecond(st.offered), perSecond(st.inTime), perSecond(st.late), perSecond(st.expired), formatPercentile(st.wait, 50), formatPercentile(st.wait, 99)}
	})
}
