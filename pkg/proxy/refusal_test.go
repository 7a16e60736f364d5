package proxy_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// notRunStatuses lists the status codes that imply that the request has not run and
// never will.
var notRunStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// hookedSender calls a function with the attempt's index before each attempt.
type hookedSender struct {
	scriptedSender
	before func(call int)
}

func (s *hookedSender) Do(ctx context.Context, t upstream.Target, r *upstream.Request) upstream.Result {
	s.mu.Lock()
	call := s.calls
	s.mu.Unlock()
	s.before(call)
	return s.scriptedSender.Do(ctx, t, r)
}

var _ = Describe("A refusal", func() {
	var (
		store  *memstore.Store
		sender *hookedSender
		p      *proxy.Proxy
	)
	BeforeEach(func() {
		store = memstore.New()
		sender = &hookedSender{scriptedSender: scriptedSender{runs: map[string]int{}}, before: func(int) {}}
		p = newProxy("home-1", ordersDocument+"timeouts: {request: 300ms}\n", store, sender, &directory{})
		for range 4 {
			Expect(p.Serve(context.Background(), request("GET", "", "warm")).Status).To(Equal(200))
		}
		sender.calls = 0
	})
	service := func() *blackboard.Service {
		s, ok := p.Board.Service("orders")
		Expect(ok).To(BeTrue())
		return s
	}
	// occupy takes all slots and then reduces their number, so that none is free when
	// the current attempt ends.
	occupy := func() {
		for range 4 * 3 {
			service().Begin(time.Now(), blackboard.AttemptRequest{Route: "other"})
		}
		service().SetUpstreams(time.Now(), upstreams(1))
	}

	// Guards against a not-run verdict or status for a request that ran in an earlier
	// attempt. Some callers rely on the status alone.
	DescribeTable("does not imply not-run if an earlier attempt may have run",
		func(script []step, meanwhile func()) {
			sender.script = script
			sender.before = func(call int) {
				if call == len(script)-1 {
					meanwhile()
				}
			}
			a := p.Serve(context.Background(), request("GET", "", "x"))
			Expect(sender.runs["x"]).To(Equal(1))
			Expect(a.Verdict).NotTo(Equal(verdict.NotRun))
			Expect(notRunStatuses).NotTo(HaveKey(a.Status), "reason %s", a.Refusal.Reason)
			Expect(a.Refusal.RetryAfter).To(BeZero())
		},
		Entry("while all slots are taken until its deadline", []step{{upstream.Timeout, true}}, func() { occupy() }),
		Entry("when no upstream is left", []step{{upstream.Timeout, true}}, func() { service().SetUpstreams(time.Now(), nil) }),
		Entry("when the next upstream sheds it", []step{{upstream.Timeout, true}, {upstream.Shed, false}, {upstream.Shed, false}, {upstream.Shed, false}, {upstream.Shed, false}, {upstream.Shed, false}}, func() {}),
		Entry("when the next upstreams cannot be reached", []step{{upstream.Truncated, true}, {upstream.Unreachable, false}, {upstream.Unreachable, false}, {upstream.Unreachable, false}, {upstream.Unreachable, false}, {upstream.Unreachable, false}}, func() {}),
	)

	// Guards against discarding the failure answer of an upstream when the retry cannot
	// be made: the caller would not learn that the request ran.
	DescribeTable("does not replace the failure answer of an upstream",
		func(script []step, meanwhile func()) {
			sender.script = script
			sender.before = func(call int) {
				if call == len(script)-1 {
					meanwhile()
				}
			}
			a := p.Serve(context.Background(), request("GET", "", "x"))
			Expect(a.Refusal).To(BeNil())
			Expect(a.Status).To(Equal(500))
			Expect(a.Verdict).To(Equal(verdict.Ran))
			Expect(a.Upstream).NotTo(BeEmpty())
		},
		Entry("while all slots are taken until its deadline", []step{{upstream.Failure, true}}, func() { occupy() }),
		Entry("when no upstream is left", []step{{upstream.Failure, true}}, func() { service().SetUpstreams(time.Now(), nil) }),
		Entry("when the second attempt gets no answer", []step{{upstream.Failure, true}, {upstream.Timeout, true}}, func() { service().SetUpstreams(time.Now(), nil) }),
	)

	// Guards against a not-run status from a daemon that takes over a request from a
	// lost home and cannot run it.
	It("does not imply not-run if a lost home may have run the request", func() {
		d := &directory{homes: []proxy.Peer{{ID: "home-1", Address: "a"}}}
		other := newProxy("other", ordersDocument, store, sender, d)
		for range 4 {
			d.forward = func(*proxy.Incoming) (*proxy.Answer, error) { return nil, proxy.ErrNotSent }
			Expect(other.Serve(context.Background(), request("GET", "", "warm")).Status).To(Equal(200))
		}
		s, _ := other.Board.Service("orders")
		s.SetUpstreams(time.Now(), nil)
		s.Refresh(time.Now())
		d.forward = func(*proxy.Incoming) (*proxy.Answer, error) { return nil, errors.New("no reply") }
		a := other.Serve(context.Background(), request("GET", "", "x"))
		Expect(a.Verdict).To(Equal(verdict.MayHaveRun))
		Expect(notRunStatuses).NotTo(HaveKey(a.Status), "reason %s", a.Refusal.Reason)
	})

	// Guards against forwarding a not-run status together with the verdict
	// may-have-run. A home of an older version may send this combination.
	It("does not imply not-run if the home reports that the request may have run", func() {
		d := &directory{homes: []proxy.Peer{{ID: "home-1", Address: "a"}}}
		other := newProxy("other", ordersDocument, store, sender, d)
		d.forward = func(*proxy.Incoming) (*proxy.Answer, error) {
			reply, err := proxy.EncodeForwardAnswer(&proxy.Answer{
				Status: 503, Verdict: verdict.MayHaveRun, Refusal: &verdict.Error{Status: 503, Reason: "all-busy", RetryAfter: time.Second},
			})
			Expect(err).NotTo(HaveOccurred())
			return proxy.DecodeForwardAnswer(reply)
		}
		a := other.Serve(context.Background(), request("GET", "", "x"))
		Expect(a.Verdict).To(Equal(verdict.MayHaveRun))
		Expect(notRunStatuses).NotTo(HaveKey(a.Status))
	})

	// Guards against two wrong verdicts on any path through two daemons: "not run" for a
	// request that ran, and "may have run" for one that cannot have run at any upstream
	// or lost daemon. The second keeps a caller from retrying an order.
	It("returns not-run if and only if no attempt at any hop can have run", func() {
		kinds := []upstream.Kind{upstream.Success, upstream.Failure, upstream.Timeout, upstream.Truncated, upstream.Shed, upstream.Unreachable, upstream.Refused, upstream.Lost}
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			scripted := &scriptedSender{runs: map[string]int{}}
			mayHaveRun := false
			for range rapid.IntRange(0, 8).Draw(t, "steps") {
				kind := rapid.SampledFrom(kinds).Draw(t, "kind")
				certain := kind == upstream.Success || kind == upstream.Failure
				neverRan := kind == upstream.Shed || kind == upstream.Unreachable || kind == upstream.Refused
				scripted.script = append(scripted.script, step{kind, certain || !neverRan && rapid.Bool().Draw(t, "ran")})
			}
			d := &directory{homes: []proxy.Peer{{ID: "home-1"}, {ID: "home-2"}}}
			home := newProxy("home-1", ordersDocument+"requests: {key: none}\n", memstore.New(), scripted, &directory{})
			entry := newProxy("other", ordersDocument+"requests: {key: none}\n", memstore.New(), scripted, d)
			outcomes := rapid.SliceOfN(rapid.SampledFrom([]string{"answered", "not sent", "lost before", "lost after"}), 2, 2).Draw(t, "hops")
			noUpstreams := rapid.Bool().Draw(t, "entry knows no upstream")
			hop := 0
			d.forward = func(in *proxy.Incoming) (*proxy.Answer, error) {
				outcome := "answered"
				if hop < len(outcomes) {
					outcome = outcomes[hop]
				}
				hop++
				switch outcome {
				case "not sent":
					return nil, proxy.ErrNotSent
				case "lost before":
					mayHaveRun = true
					return nil, errors.New("no reply")
				}
				body, err := proxy.EncodeForward(in, time.Second)
				if err != nil {
					return nil, err
				}
				reply, err := home.HandleForward(context.Background(), body)
				if err != nil || outcome == "lost after" {
					mayHaveRun = true
					return nil, errors.New("no reply")
				}
				return proxy.DecodeForwardAnswer(reply)
			}
			savedOutcomes := outcomes
			outcomes = []string{"not sent", "not sent", "not sent", "not sent", "not sent", "not sent", "not sent", "not sent"}
			savedScript := scripted.script
			scripted.script = nil
			for range 4 { // fill the retry budgets of both daemons
				entry.Serve(context.Background(), request("GET", "", "warm"))
				home.Serve(context.Background(), request("GET", "", "warm"))
			}
			outcomes, hop, scripted.script, scripted.calls = savedOutcomes, 0, savedScript, 0
			if noUpstreams {
				s, _ := entry.Board.Service("orders")
				s.SetUpstreams(time.Now(), nil)
			}
			a := entry.Serve(context.Background(), request(rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"), "", "x"))
			usedSteps := scripted.script[:min(scripted.calls, len(scripted.script))]
			cannotHaveRun := !mayHaveRun && scripted.calls <= len(scripted.script)
			for _, s := range usedSteps {
				cannotHaveRun = cannotHaveRun && (s.kind == upstream.Shed || s.kind == upstream.Unreachable || s.kind == upstream.Refused)
			}
			switch {
			case a.Refusal == nil:
			case notRunStatuses[a.Status] && scripted.runs["x"] > 0:
				t.Fatalf("status %d, but the request ran: %v", a.Status, a.Refusal)
			case notRunStatuses[a.Status] != (a.Verdict == verdict.NotRun):
				t.Fatalf("status %d with verdict %v: %v", a.Status, a.Verdict, a.Refusal)
			case cannotHaveRun && a.Verdict != verdict.NotRun:
				t.Fatalf("verdict is %v, but nothing can have run the request: %v", a.Verdict, a.Refusal)
			}
		})
	})
})
