package limits_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/limits"
	"shallotglade/pkg/verdict"
)

// queue is implemented by limits.Queue and by fifo.
type queue interface {
	Offer(time.Time, limits.Ticket) limits.Decision
	Done(time.Time, limits.Ticket) []limits.Ticket
	Expire(time.Time) []limits.Ticket
}

// fifo is a naive queue in arrival order, without deadlines or caller limits.
type fifo struct {
	capacity, running int
	waiting           []limits.Ticket
}

func (f *fifo) Offer(_ time.Time, t limits.Ticket) limits.Decision {
	if f.running < f.capacity {
		f.running++
		return limits.Decision{Action: limits.Run}
	}
	f.waiting = append(f.waiting, t)
	return limits.Decision{Action: limits.Wait}
}

func (f *fifo) Done(time.Time, limits.Ticket) []limits.Ticket {
	if len(f.waiting) == 0 {
		f.running--
		return nil
	}
	t := f.waiting[0]
	f.waiting = f.waiting[1:]
	return []limits.Ticket{t}
}

func (f *fifo) Expire(time.Time) []limits.Ticket { return nil }

// simulation simulates a service with a fixed capacity.
type simulation struct {
	queue       queue
	rng         *rand.Rand
	completions completionHeap
	inTime      map[string]int
	late        int
	expired     int
	offered     map[string]int
}

type completion struct {
	at     time.Time
	ticket limits.Ticket
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (s *simulation) start(now time.Time, ts ...limits.Ticket) {
	for _, t := range ts {
		at := now.Add(time.Duration((10 + 30*s.rng.Float64()) * float64(time.Millisecond)))
		heap.Push(&s.completions, completion{at: at, ticket: t})
		if at.After(t.Deadline) {
			s.late++
		} else {
			s.inTime[t.Caller]++
		}
	}
}

// simulate offers requests of the callers at the given rates per second.
func simulate(q queue, seconds int, rates map[string]int) *simulation {
	s := &simulation{queue: q, rng: newRand(), inTime: map[string]int{}, offered: map[string]int{}}
	var id uint64
	for now := epoch; now.Before(epoch.Add(time.Duration(seconds) * time.Second)); now = now.Add(time.Millisecond) {
		for len(s.completions) > 0 && !s.completions[0].at.After(now) {
			e := heap.Pop(&s.completions).(completion)
			s.start(now, q.Done(now, e.ticket)...)
		}
		s.expired += len(q.Expire(now))
		for _, c := range []string{"heavy", "light"} {
			if s.rng.IntN(1000) >= rates[c] {
				continue
			}
			id++
			s.offered[c]++
			t := limits.Ticket{ID: id, Caller: c, Deadline: now.Add(200 * time.Millisecond)}
			if q.Offer(now, t).Action == limits.Run {
				s.start(now, t)
			}
		}
	}
	return s
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(testkit.Seed, 1)) }

var _ = Describe("Queue under overload", func() {
	// The capacity is 10 slots of 25 ms, which is 400 requests per second.
	rates := map[string]int{"heavy": 700, "light": 70}

	// Guards against congestion collapse (a full queue of requests that end too late)
	// and against one caller starving another. The naive queue shows both.
	It("serves requests in time and protects the light caller's share", func() {
		s := simulate(limits.NewQueue(limits.DefaultPolicy(), 10), 20, rates)
		total := s.inTime["heavy"] + s.inTime["light"]
		GinkgoWriter.Println("in time, offered, late, expired:", s.inTime, s.offered, s.late, s.expired)
		Expect(total).To(BeNumerically(">", 20*400*95/100))
		Expect(s.late).To(BeNumerically("<", total/500))
		Expect(s.expired).To(BeNumerically("<", total/50))
		Expect(s.inTime["light"]).To(BeNumerically(">", s.offered["light"]*95/100))

		n := simulate(&fifo{capacity: 10}, 20, rates)
		Expect(n.inTime["heavy"] + n.inTime["light"]).To(BeNumerically("<", total/5))
		Expect(n.inTime["light"]).To(BeNumerically("<", n.offered["light"]/5))
	})

	// Guards against ignored weights.
	It("divides the capacity by weight", func() {
		p := limits.DefaultPolicy()
		p.Callers = map[string]limits.CallerPolicy{"heavy": {Weight: 3}}
		s := simulate(limits.NewQueue(p, 10), 20, map[string]int{"heavy": 700, "light": 700})
		Expect(float64(s.inTime["heavy"]) / float64(s.inTime["light"])).To(BeNumerically("~", 3, 0.3))
	})
})

var _ = Describe("Queue under random operations", func() {
	// Guards against lost, duplicate, late or surplus tickets, against slots that stay idle
	// while an eligible ticket waits, and against tickets that run before more urgent ones.
	It("keeps its invariants", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			p := limits.Policy{MaxQueue: 20, MaxWait: time.Second, Callers: map[string]limits.CallerPolicy{
				"c1": {Concurrency: 1}, "c2": {Rate: 20, Burst: 2}, "c3": {Weight: 5, Concurrency: 2},
			}}
			capacity := rapid.IntRange(1, 4).Draw(t, "capacity")
			reserve := 0
			q := limits.NewQueue(p, capacity)
			now, lastID := epoch, uint64(0)
			running, waiting := map[uint64]limits.Ticket{}, map[uint64]limits.Ticket{}
			moreUrgent := func(a, b limits.Ticket) bool {
				return a.AccountPriority < b.AccountPriority || a.AccountPriority == b.AccountPriority && a.Priority < b.Priority
			}
			start := func(ts []limits.Ticket) {
				for _, ticket := range q.Expire(now) {
					delete(waiting, ticket.ID)
				}
				for _, ticket := range ts {
					for _, other := range waiting {
						if len(running) < capacity && moreUrgent(other, ticket) && other.Caller != "c1" && other.Caller != "c3" {
							t.Fatalf("ticket %v starts before %v", ticket, other)
						}
					}
					if _, ok := waiting[ticket.ID]; !ok || now.After(ticket.Deadline) {
						t.Fatalf("ticket %v was not waiting or is late", ticket)
					}
					mayUseReserve := !ticket.ReserveAfter.IsZero() && !now.Before(ticket.ReserveAfter)
					if n := len(running); n >= capacity+reserve || n >= capacity && !mayUseReserve {
						t.Fatalf("ticket %v starts with %d running, capacity %d, reserve %d", ticket, n, capacity, reserve)
					}
					delete(waiting, ticket.ID)
					running[ticket.ID] = ticket
				}
			}
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0, 1, 2:
					lastID++
					ticket := limits.Ticket{
						ID: lastID, Caller: fmt.Sprintf("c%d", rapid.IntRange(0, 4).Draw(t, "caller")),
						Deadline:        now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "deadline")) * time.Millisecond),
						AccountPriority: rapid.IntRange(0, 1).Draw(t, "accountPriority"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
						Weight: rapid.SampledFrom([]float64{0, 0.1, 300, 1e300}).Draw(t, "weight"),
					}
					if rapid.Bool().Draw(t, "hasTarget") {
						ticket.Target = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "target")) * time.Millisecond)
					}
					if rapid.Bool().Draw(t, "usesReserve") {
						ticket.ReserveAfter = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "reserveAfter")) * time.Millisecond)
					}
					switch d := q.Offer(now, ticket); d.Action {
					case limits.Run:
						running[ticket.ID] = ticket
					case limits.Wait:
						waiting[ticket.ID] = ticket
					default:
						if d.RetryAfter <= 0 {
							t.Fatalf("refusal without RetryAfter: %+v", d)
						}
					}
				case 3:
					if ids := keys(running); len(ids) > 0 {
						ticket := running[rapid.SampledFrom(ids).Draw(t, "done")]
						delete(running, ticket.ID)
						start(q.Done(now, ticket))
					}
				case 4:
					if ids := keys(waiting); len(ids) > 0 {
						ticket := waiting[rapid.SampledFrom(ids).Draw(t, "cancel")]
						if !q.Cancel(ticket) {
							t.Fatalf("waiting ticket %v cannot be cancelled", ticket)
						}
						delete(waiting, ticket.ID)
					}
				default:
					capacity = rapid.IntRange(1, 4).Draw(t, "capacity")
					reserve = rapid.IntRange(0, 3).Draw(t, "reserve")
					start(q.SetCapacity(now, capacity, reserve))
				}
				for _, ticket := range q.Expire(now) {
					delete(waiting, ticket.ID)
				}
				runningPerCaller := map[string]int{}
				for _, ticket := range running {
					runningPerCaller[ticket.Caller]++
				}
				if runningPerCaller["c1"] > 1 || runningPerCaller["c3"] > 2 || q.Running() != len(running) || q.Waiting() != len(waiting) || len(waiting) > 20 {
					t.Fatalf("running: %v, queue reports %d; waiting: %v, queue reports %d", running, q.Running(), waiting, q.Waiting())
				}
				for _, ticket := range waiting {
					atConcurrencyLimit := (ticket.Caller == "c1" && runningPerCaller["c1"] == 1) || (ticket.Caller == "c3" && runningPerCaller["c3"] == 2)
					if len(running) < capacity && !atConcurrencyLimit {
						t.Fatalf("ticket %v waits with %d of %d slots in use", ticket, len(running), capacity)
					}
				}
			}
		})
	})

	// Guards against memory that grows with every account ever seen.
	It("evicts idle callers", func() {
		p := limits.DefaultPolicy()
		p.Default = limits.CallerPolicy{Rate: 10, Burst: 10}
		q := limits.NewQueue(p, 10)
		now := epoch
		for i := range uint64(62000) {
			x := limits.Ticket{ID: i, Caller: fmt.Sprint(i)}
			Expect(q.Offer(now, x).Action).To(Equal(limits.Run))
			q.Done(now, x)
			now = now.Add(time.Millisecond)
		}
		Expect(q.Callers()).To(BeNumerically("<", 11000), "10 s of callers at 1000 per second")
	})
})

func keys(m map[uint64]limits.Ticket) []uint64 {
	var out []uint64
	for id := range uint64(100) {
		if _, ok := m[id]; ok {
			out = append(out, id)
		}
	}
	return out
}

var _ = Describe("Gate", func() {
	// Guards against more running requests than the capacity, and against a slot lost
	// when a caller cancels at the moment of its admission.
	It("admits and cancels concurrently without losing slots", func() {
		g := limits.NewGate(limits.DefaultPolicy(), 4, time.Now, newRand())
		var running, maxRunning atomic.Int64
		var wg sync.WaitGroup
		for i := range 32 {
			wg.Go(func() {
				for j := range 200 {
					ctx, cancel := context.WithCancel(context.Background())
					if (i+j)%3 == 0 {
						go cancel()
					}
					p, err := g.Acquire(ctx, limits.Request{Caller: fmt.Sprint(i % 5)})
					if err == nil {
						n := running.Add(1)
						for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
						}
						running.Add(-1)
						p.Release()
					} else if verdict.Of(err) != verdict.NotRun {
						panic(err)
					}
					cancel()
				}
			})
		}
		wg.Wait()
		Expect(maxRunning.Load()).To(BeNumerically("<=", 4))
		s := g.Stats()
		Expect(s.Running + s.Waiting).To(BeZero())
	})
})
