package limits_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/limits"
)

// asked is a ticket with a target and a known duration.
func asked(id uint64, target, deadline, takes time.Duration) limits.Ticket {
	return limits.Ticket{
		ID: id, Caller: string(rune('a' + id)), Target: epoch.Add(target), Deadline: epoch.Add(deadline), Takes: takes,
	}
}

// order fills a queue with one slot and returns the ids in the order in which
// they run, one each step.
func order(step time.Duration, tickets ...limits.Ticket) []uint64 {
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
	// requests that can wait: on a busy service all requests of routes with short
	// time limits went unserved.
	It("runs what is due first, whichever came first", func() {
		Expect(order(10*ms, asked(1, 900*ms, 2000*ms, 20*ms), asked(2, 300*ms, 2000*ms, 20*ms))).To(Equal([]uint64{2, 1}))
	})

	It("takes the deadline for the target where it is earlier", func() {
		Expect(order(10*ms, asked(1, 900*ms, 2000*ms, 20*ms), asked(2, 2000*ms, 300*ms, 20*ms))).To(Equal([]uint64{2, 1}))
	})

	// Guards against slots going to requests that have missed their target while
	// others miss theirs.
	It("runs what can meet its target before what has missed it", func() {
		late, inTime := asked(1, 5*ms, 2000*ms, 20*ms), asked(2, 45*ms, 2000*ms, 20*ms)
		Expect(order(20*ms, late, inTime)).To(Equal([]uint64{2, 1}))
	})

	// Guards against late requests expiring while others have time to wait.
	It("runs a late request first when nobody misses a target by it", func() {
		late, patient := asked(1, 5*ms, 200*ms, 20*ms), asked(2, 1500*ms, 2000*ms, 20*ms)
		Expect(order(20*ms, patient, late)).To(Equal([]uint64{1, 2}))
	})

	It("runs routes of a higher priority first", func() {
		urgent, other := asked(2, 900*ms, 2000*ms, 20*ms), asked(1, 100*ms, 2000*ms, 20*ms)
		other.Priority = 1
		Expect(order(10*ms, other, urgent)).To(Equal([]uint64{2, 1}))
	})

	// Guards against a queue that takes more than it can run in time when many
	// callers have one request each: each counted itself as next.
	It("expects a wait that grows with all that run before", func() {
		q := limits.NewQueue(limits.DefaultPolicy(), 1)
		q.Offer(epoch, limits.Ticket{ID: 1000, Caller: "first"})
		var waits []time.Duration
		for id := range uint64(3) {
			d := q.Offer(epoch, asked(id, 500*ms, 500*ms, 25*ms))
			Expect(d.Action).To(Equal(limits.Wait))
			waits = append(waits, d.ExpectedWait)
		}
		Expect(waits).To(Equal([]time.Duration{25 * ms, 50 * ms, 75 * ms}))
		refused := 0
		for id := uint64(3); id < 40; id++ {
			if q.Offer(epoch, asked(id, 500*ms, 500*ms, 25*ms)).Action == limits.Refuse {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 20), "475 ms hold at most 19 requests of 25 ms")
	})
})
