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

// queue is a limits.Queue or the naive one.
type queue interface {
	Offer(time.Time, limits.Ticket) limits.Decision
	Done(time.Time, limits.Ticket) []limits.Ticket
	Expire(time.Time) []limits.Ticket
}

// fifo is the naive queue: arrival order, no deadlines, no callers.
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

// service simulates a service with fixed capacity for some seconds.
type service struct {
	q       queue
	rng     *rand.Rand
	ends    ends
	inTime  map[string]int
	late    int
	expired int
	offered map[string]int
}

type end struct {
	at time.Time
	t  limits.Ticket
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (s *service) start(now time.Time, ts ...limits.Ticket) {
	for _, t := range ts {
		at := now.Add(time.Duration((10 + 30*s.rng.Float64()) * float64(time.Millisecond)))
		heap.Push(&s.ends, end{at: at, t: t})
		if at.After(t.Deadline) {
			s.late++
		} else {
			s.inTime[t.Caller]++
		}
	}
}

// run offers requests of the callers at their rates per second.
func run(q queue, seconds int, rates map[string]int) *service {
	s := &service{q: q, rng: newRand(), inTime: map[string]int{}, offered: map[string]int{}}
	var id uint64
	for now := epoch; now.Before(epoch.Add(time.Duration(seconds) * time.Second)); now = now.Add(time.Millisecond) {
		for len(s.ends) > 0 && !s.ends[0].at.After(now) {
			e := heap.Pop(&s.ends).(end)
			s.start(now, q.Done(now, e.t)...)
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
	// Capacity is 10 slots of 25 ms: 400 requests a second.
	rates := map[string]int{"heavy": 700, "light": 70}

	// Guards against collapse (a full queue of requests that end too late) and
	// against one caller starving another. The naive queue shows both.
	It("serves in time and keeps the light caller's share", func() {
		s := run(limits.NewQueue(limits.DefaultPolicy(), 10), 20, rates)
		total := s.inTime["heavy"] + s.inTime["light"]
		GinkgoWriter.Println("in time, offered, late, expired:", s.inTime, s.offered, s.late, s.expired)
		Expect(total).To(BeNumerically(">", 20*400*95/100))
		Expect(s.late).To(BeNumerically("<", total/500))
		Expect(s.expired).To(BeNumerically("<", total/50))
		Expect(s.inTime["light"]).To(BeNumerically(">", s.offered["light"]*95/100))

		n := run(&fifo{capacity: 10}, 20, rates)
		Expect(n.inTime["heavy"] + n.inTime["light"]).To(BeNumerically("<", total/5))
		Expect(n.inTime["light"]).To(BeNumerically("<", n.offered["light"]/5))
	})

	// Guards against weights being ignored.
	It("divides by weight", func() {
		p := limits.DefaultPolicy()
		p.Callers = map[string]limits.CallerPolicy{"heavy": {Weight: 3}}
		s := run(limits.NewQueue(p, 10), 20, map[string]int{"heavy": 700, "light": 700})
		Expect(float64(s.inTime["heavy"]) / float64(s.inTime["light"])).To(BeNumerically("~", 3, 0.3))
	})
})

var _ = Describe("Queue under any sequence", func() {
	// Guards against lost, doubled, late or surplus tickets, and against slots
	// left idle while an eligible ticket waits.
	It("keeps its invariants", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			p := limits.Policy{MaxQueue: 20, MaxWait: time.Second, Callers: map[string]limits.CallerPolicy{
				"c1": {Concurrency: 1}, "c2": {Rate: 20, Burst: 2}, "c3": {Weight: 5, Concurrency: 2},
			}}
			capacity := rapid.IntRange(1, 4).Draw(t, "capacity")
			reserve := 0
			q := limits.NewQueue(p, capacity)
			now, next := epoch, uint64(0)
			running, waiting := map[uint64]limits.Ticket{}, map[uint64]limits.Ticket{}
			start := func(ts []limits.Ticket) {
				for _, x := range ts {
					if _, ok := waiting[x.ID]; !ok || now.After(x.Deadline) {
						t.Fatalf("ticket %v was not waiting or is late", x)
					}
					settled := !x.Settle.IsZero() && !now.Before(x.Settle)
					if n := len(running); n >= capacity+reserve || n >= capacity && !settled {
						t.Fatalf("%v runs beside %d of %d and %d", x, n, capacity, reserve)
					}
					delete(waiting, x.ID)
					running[x.ID] = x
				}
			}
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0, 1, 2:
					next++
					x := limits.Ticket{
						ID: next, Caller: fmt.Sprintf("c%d", rapid.IntRange(0, 4).Draw(t, "caller")),
						Deadline: now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "deadline")) * time.Millisecond),
					}
					if rapid.Bool().Draw(t, "settles") {
						x.Settle = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "settle")) * time.Millisecond)
					}
					switch d := q.Offer(now, x); d.Action {
					case limits.Run:
						running[x.ID] = x
					case limits.Wait:
						waiting[x.ID] = x
					default:
						if d.RetryAfter <= 0 {
							t.Fatalf("refused without retry after: %+v", d)
						}
					}
				case 3:
					if ids := keys(running); len(ids) > 0 {
						x := running[rapid.SampledFrom(ids).Draw(t, "done")]
						delete(running, x.ID)
						start(q.Done(now, x))
					}
				case 4:
					if ids := keys(waiting); len(ids) > 0 {
						x := waiting[rapid.SampledFrom(ids).Draw(t, "cancel")]
						if !q.Cancel(x) {
							t.Fatalf("ticket %v waits and can't be cancelled", x)
						}
						delete(waiting, x.ID)
					}
				default:
					capacity = rapid.IntRange(1, 4).Draw(t, "capacity")
					reserve = rapid.IntRange(0, 3).Draw(t, "reserve")
					start(q.SetCapacity(now, capacity, reserve))
				}
				for _, x := range q.Expire(now) {
					delete(waiting, x.ID)
				}
				of := map[string]int{}
				for _, x := range running {
					of[x.Caller]++
				}
				if of["c1"] > 1 || of["c3"] > 2 || q.Running() != len(running) || q.Waiting() != len(waiting) || len(waiting) > 20 {
					t.Fatalf("running %v of %d, waiting %v of %d", running, q.Running(), waiting, q.Waiting())
				}
				for _, x := range waiting {
					blocked := (x.Caller == "c1" && of["c1"] == 1) || (x.Caller == "c3" && of["c3"] == 2)
					if len(running) < capacity && !blocked {
						t.Fatalf("%v waits with %d of %d running", x, len(running), capacity)
					}
				}
			}
		})
	})

	// Guards against memory growing with every account ever seen.
	It("forgets idle callers", func() {
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
		Expect(q.Callers()).To(BeNumerically("<", 11000), "10 s of callers at 1000 a second")
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
	// Guards against more requests running than the capacity, and against a
	// slot lost when a caller leaves at the moment of its grant.
	It("admits and cancels concurrently without losing slots", func() {
		g := limits.NewGate(limits.DefaultPolicy(), 4, time.Now)
		var running, most atomic.Int64
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
						for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
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
		Expect(most.Load()).To(BeNumerically("<=", 4))
		s := g.Stats()
		Expect(s.Running + s.Waiting).To(BeZero())
	})
})
