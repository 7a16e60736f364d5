package limits_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/limits"
)

// activeRequest is a running request and the time at which it ends.
type activeRequest struct {
	endsAt time.Time
	ticket limits.Ticket
}

type activeHeap []activeRequest

func (e activeHeap) Len() int           { return len(e) }
func (e activeHeap) Less(i, j int) bool { return e[i].endsAt.Before(e[j].endsAt) }
func (e activeHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *activeHeap) Push(x any)        { *e = append(*e, x.(activeRequest)) }
func (e *activeHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulateOverload offers 21 requests per second for 20 s to three good slots of
// 300 ms and to the given number of slots at upstreams that fail 70% of the requests
// at once and serve the others in the same time. It returns how many requests were
// offered, how many were served, and how many of these within the target of 1.2 s.
func simulateOverload(reserve int) (offered, served, inTarget int) {
	const goodSlots, requestsPerSecond = 3, 21
	rng := rand.New(rand.NewPCG(testkit.Seed, 2))
	p := limits.DefaultPolicy()
	p.MaxWait = 4 * time.Second
	q := limits.NewQueue(p, goodSlots)
	now := epoch
	q.SetCapacity(now, goodSlots, reserve)
	var running activeHeap
	usesGoodSlot := map[uint64]bool{}
	busyGoodSlots := 0
	start := func(t limits.Ticket) {
		duration := 300 * time.Millisecond
		ok := true
		if busyGoodSlots < goodSlots {
			busyGoodSlots++
			usesGoodSlot[t.ID] = true
		} else if rng.Float64() < 0.7 {
			duration, ok = 3*time.Millisecond, false
		}
		heap.Push(&running, activeRequest{now.Add(duration), t})
		if end := now.Add(duration); ok && !end.After(t.Deadline) {
			served++
			if !end.After(t.Target) {
				inTarget++
			}
		}
	}
	advanceTo := func(end time.Time) {
		for len(running) > 0 && !running[0].endsAt.After(end) {
			e := heap.Pop(&running).(activeRequest)
			now = e.endsAt
			if usesGoodSlot[e.ticket.ID] {
				busyGoodSlots--
			}
			for _, t := range q.Done(now, e.ticket) {
				start(t)
			}
		}
		now = end
		for _, t := range q.SetCapacity(now, goodSlots, reserve) {
			start(t)
		}
		q.Expire(now)
	}
	for at, id := epoch, uint64(1); at.Before(epoch.Add(20 * time.Second)); id++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		advanceTo(at)
		offered++
		t := limits.Ticket{
			ID: id, Caller: "c", Deadline: at.Add(4 * time.Second), Target: at.Add(1200 * time.Millisecond),
			ReserveAfter: at.Add(900 * time.Millisecond), ExpectedDuration: 300 * time.Millisecond,
		}
		if q.Offer(at, t).Action == limits.Run {
			start(t)
		}
	}
	advanceTo(now.Add(5 * time.Second))
	return offered, served, inTarget
}

var _ = Describe("Queue with reserve capacity", func() {
	// Guards against refusing requests while upstreams are free that would serve some
	// of them: with five of eight upstreams likely to fail, a fifth of the orders was
	// refused as too late although slots were idle.
	It("serves more requests than without the reserve", func() {
		offered, served, inTarget := simulateOverload(5)
		_, servedWithoutReserve, inTargetWithoutReserve := simulateOverload(0)
		GinkgoWriter.Printf("%d offered, %d served, %d within target; without the reserve %d served, %d within target\n", offered, served, inTarget, servedWithoutReserve, inTargetWithoutReserve)
		Expect(served).To(BeNumerically(">", servedWithoutReserve+offered/20))
		Expect(inTarget).To(BeNumerically(">=", inTargetWithoutReserve))
	})
})

var _ = Describe("Ticket whose ReserveAfter is not before its latest start", func() {
	// Guards against requests that are admitted for reserve slots which they can never
	// use: they waited until it was too late and were then refused.
	It("is not admitted for reserve slots", func() {
		admitted := func(reserve int, reserveAfter time.Duration) (n int) {
			q := limits.NewQueue(limits.DefaultPolicy(), 1)
			q.SetCapacity(epoch, 1, reserve)
			for id := range uint64(100) {
				t := ticketWithTarget(id, 2*time.Second, 500*time.Millisecond, 25*time.Millisecond)
				t.ReserveAfter = epoch.Add(reserveAfter)
				if q.Offer(epoch, t).Action != limits.Refuse {
					n++
				}
			}
			return n
		}
		admittedWithoutReserve := admitted(0, 475*time.Millisecond)
		Expect(admitted(10, 475*time.Millisecond)).To(Equal(admittedWithoutReserve))
		Expect(admitted(10, 100*time.Millisecond)).To(BeNumerically(">", admittedWithoutReserve))
	})
})
