package blackboard_test

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

var _ = Describe("Requests that wait for an upstream", func() {
	var s *blackboard.Service
	var running []*blackboard.Attempt
	// occupy lists n upstreams with one slot each and takes all slots.
	occupy := func(n int) {
		board := blackboard.New("d1", "fes")
		board.PutDocument(mustParseDocument("service: s"), 1, nil)
		s, _ = board.Service("s")
		now := time.Now()
		s.SetHomes(now, []routing.Home{{ID: "d1", Domain: "fes"}})
		var list []blackboard.Upstream
		for i := range n {
			list = append(list, blackboard.Upstream{ID: fmt.Sprint("u", i), Address: "127.0.0.1:1", Domain: "fes", Slots: 1, Incarnation: 1})
		}
		s.SetUpstreams(now, list)
		running = nil
		for range n {
			a, _, ok := s.Begin(now, blackboard.AttemptRequest{})
			Expect(ok).To(BeTrue())
			running = append(running, a)
		}
	}
	wait := func(change func(*blackboard.WaitRequest)) *blackboard.Waiter {
		r := blackboard.WaitRequest{}
		change(&r)
		return s.Await(time.Now(), r)
	}
	end := func(a *blackboard.Attempt, r upstream.Result) { s.End(time.Now(), a, r) }
	success := upstream.Result{Kind: upstream.Success, Verdict: verdict.Ran, Response: &upstream.Response{Status: 200}}
	shed := upstream.Result{Kind: upstream.Shed, Verdict: verdict.NotRun, Response: &upstream.Response{Status: 503}}

	// Guards against a metastable overload: with a poll for each waiting request, 200 of
	// them used more than a core at 227 upstreams, and a small host served nothing.
	It("use little processor time however many there are", func() {
		occupy(227)
		for range 200 {
			wait(func(*blackboard.WaitRequest) {})
		}
		before := processorTime()
		time.Sleep(time.Second)
		Expect(processorTime()-before).To(BeNumerically("<", 80*time.Millisecond), "half of a host with 0.16 cores")
	})

	It("get a slot that becomes free at once, by priority and then in order of arrival", func() {
		occupy(4)
		hedge := wait(func(r *blackboard.WaitRequest) { r.Optional = true })
		first := wait(func(r *blackboard.WaitRequest) { r.Priority = 1 })
		second := wait(func(r *blackboard.WaitRequest) { r.Priority = 1 })
		urgent := wait(func(*blackboard.WaitRequest) {})
		for i, w := range []*blackboard.Waiter{urgent, first, second, hedge} {
			Expect(w.Granted).NotTo(Receive())
			end(running[i], success)
			var g blackboard.Grant
			Expect(w.Granted).To(Receive(&g))
			Expect(g.Attempt.Upstream.ID).To(Equal(running[i].Upstream.ID))
			Expect(g.Awaited).To(Equal(routing.AllBusy))
		}
	})

	It("get upstreams by the priority of the account before that of the route", func() {
		occupy(1)
		other := wait(func(r *blackboard.WaitRequest) { r.AccountPriority, r.Priority = 1, 0 })
		urgent := wait(func(r *blackboard.WaitRequest) { r.AccountPriority, r.Priority = 0, 2 })
		end(running[0], success)
		Expect(urgent.Granted).To(Receive())
		Expect(other.Granted).NotTo(Receive())
	})

	// Guards against callers that all return at the end of a pause, or a second after they
	// were refused however many stand before them.
	It("are told to return after a pause or the requests before them, not together", func() {
		occupy(4)
		now := time.Now()
		pausedUntil := routing.Choice{Reason: routing.AllPaused, AvailableAt: now.Add(2 * time.Second)}
		times := map[time.Duration]bool{}
		for range 20 {
			d := s.RetryAfter(now, pausedUntil)
			Expect(d).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<=", 3*time.Second)))
			times[d.Round(50*time.Millisecond)] = true
		}
		Expect(len(times)).To(BeNumerically(">", 5))
		for range 3 {
			s.End(now.Add(200*time.Millisecond), running[0], success)
			running = running[1:]
		}
		busy := routing.Choice{Reason: routing.AllBusy}
		Expect(s.RetryAfter(now, busy)).To(BeNumerically("<=", 200*time.Millisecond))
	})

	// Guards against a slot that stays taken when its caller leaves at the same moment.
	It("release a slot that was granted while they withdrew", func() {
		occupy(1)
		w := wait(func(*blackboard.WaitRequest) {})
		gone := wait(func(*blackboard.WaitRequest) {})
		s.Withdraw(time.Now(), gone)
		end(running[0], success)
		s.Withdraw(time.Now(), w)
		Expect(s.Busy()).To(BeFalse())
		Expect(wait(func(*blackboard.WaitRequest) {}).Granted).To(Receive())
	})

	It("end at once when no upstream is left", func() {
		occupy(2)
		w := wait(func(*blackboard.WaitRequest) {})
		s.SetUpstreams(time.Now(), nil)
		var g blackboard.Grant
		Expect(w.Granted).To(Receive(&g))
		Expect(g.Attempt).To(BeNil())
		Expect(g.Choice.Reason).To(Equal(routing.NoUpstream))
	})

	It("get an upstream after the short pause that follows a plain rejection", func() {
		occupy(1)
		w := wait(func(*blackboard.WaitRequest) {})
		end(running[0], shed)
		Expect(w.Granted).NotTo(Receive())
		Eventually(w.Granted).WithTimeout(time.Second).Should(Receive())
	})
})

func processorTime() time.Duration {
	var usage syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
