package limits_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/limits"
)

// ticketWithTarget returns a ticket with a target and an expected duration.
func ticketWithTarget(id uint64, target, deadline, duration time.Duration) limits.Ticket {
	return limits.Ticket{
		ID: id, Caller: string(rune('a' + id)), Target: epoch.Add(target), Deadline: epoch.Add(deadline), ExpectedDuration: duration,
	}
}

// runOrder fills a queue with one slot and returns the IDs in the order in which they
// run, one per step.
func runOrder(step time.Duration, tickets ...limits.Ticket) []uint64 {
	q := limits.NewQueue(limits.DefaultPolicy(), 1)
	running := limits.Ticket{ID: 1000, Caller: "first"}
	q.Offer(epoch, running)
	for _, t := range tickets {
		Expect(q.Offer(epoch, t).Action).To(Equal(limits.Wait), "ticket %d", t.ID)
	}
	var out []uint64
	for now := epoch.Add(step); ; now = now.Add(step) {
		next := q.Done(now, running)
		if len(next) == 0 {
			return out
		}
		running = next[0]
		out = append(out, running.ID)
	}
}

var _ = Describe("Order of the queue", func() {
	const ms = time.Millisecond

	// Guards against requests with little time being refused or expiring behind
	// requests that can wait. On a busy service, no request of a route with a short
	// timeout was served.
	It("runs the ticket with the earliest target start first, in any order of arrival", func() {
		Expect(runOrder(10*ms, ticketWithTarget(1, 900*ms, 2000*ms, 20*ms), ticketWithTarget(2, 300*ms, 2000*ms, 20*ms))).To(Equal([]uint64{2, 1}))
	})

	It("uses the deadline as the target if it is earlier", func() {
		Expect(runOrder(10*ms, ticketWithTarget(1, 900*ms, 2000*ms, 20*ms), ticketWithTarget(2, 2000*ms, 300*ms, 20*ms))).To(Equal([]uint64{2, 1}))
	})

	// Guards against slots going to requests that have already missed their target while
	// others miss theirs.
	It("runs tickets that can meet their target before tickets that have missed it", func() {
		late, inTime := ticketWithTarget(1, 5*ms, 2000*ms, 20*ms), ticketWithTarget(2, 45*ms, 2000*ms, 20*ms)
		Expect(runOrder(20*ms, late, inTime)).To(Equal([]uint64{2, 1}))
	})

	// Guards against late requests expiring while others have time to wait.
	It("runs a late ticket first if no other ticket misses its target", func() {
		late, early := ticketWithTarget(1, 5*ms, 200*ms, 20*ms), ticketWithTarget(2, 1500*ms, 2000*ms, 20*ms)
		Expect(runOrder(20*ms, early, late)).To(Equal([]uint64{1, 2}))
	})

	It("runs tickets of a higher priority first", func() {
		urgent, other := ticketWithTarget(2, 900*ms, 2000*ms, 20*ms), ticketWithTarget(1, 100*ms, 2000*ms, 20*ms)
		other.Priority = 1
		Expect(runOrder(10*ms, other, urgent)).To(Equal([]uint64{2, 1}))
	})

	// Guards against admitting more than can run in time when many callers have one
	// request each: each request was expected to run next.
	It("counts all tickets that run earlier in the expected wait", func() {
		q := limits.NewQueue(limits.DefaultPolicy(), 1)
		q.Offer(epoch, limits.Ticket{ID: 1000, Caller: "first"})
		var waits []time.Duration
		for id := range uint64(3) {
			d := q.Offer(epoch, ticketWithTarget(id, 500*ms, 500*ms, 25*ms))
			Expect(d.Action).To(Equal(limits.Wait))
			waits = append(waits, d.ExpectedWait)
		}
		Expect(waits).To(Equal([]time.Duration{25 * ms, 50 * ms, 75 * ms}))
		refused := 0
		for id := uint64(3); id < 40; id++ {
			if q.Offer(epoch, ticketWithTarget(id, 500*ms, 500*ms, 25*ms)).Action == limits.Refuse {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 20), "at most 19 requests of 25 ms run in 475 ms")
	})
})
