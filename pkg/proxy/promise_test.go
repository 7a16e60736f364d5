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

// promises lists the status codes that tell a caller that its request has not run
// and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// hookedSender calls a function before each attempt ends.
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
		p = newProxy("home-1", orders+"timeouts: {request: 300ms}\n", store, sender, &directory{})
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
	// occupy takes all slots of the upstreams, which then have fewer, so that none is
	// free when the attempt that is under way ends.
	occupy := func() {
		for range 4 * 3 {
			service().Begin(time.Now(), blackboard.AttemptRequest{Route: "other"})
		}
		service().SetUpstreams(time.Now(), upstreams(1))
	}

	// Guards against "not run" about a request that ran in an earlier attempt: the
	// status alone is a promise to the users' callers.
	DescribeTable("makes no promise about a request that may have run in an earlier attempt",
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
			Expect(promises).NotTo(HaveKey(a.Status), "reason %s", a.Refusal.Reason)
			Expect(a.Refusal.RetryAfter).To(BeZero())
		},
		Entry("while all slots are taken until its deadline", []step{{upstream.Timeout, true}}, func() { occupy() }),
		Entry("when no upstream is left", []step{{upstream.Timeout, true}}, func() { service().SetUpstreams(time.Now(), nil) }),
		Entry("when the next upstream sheds it", []step{{upstream.Timeout, true}, {upstream.Shed, false}, {upstream.Shed, false}, {upstream.Shed, false}, {upstream.Shed, false}, {upstream.Shed, false}}, func() {}),
		Entry("when the next upstreams cannot be reached", []step{{upstream.Truncated, true}, {upstream.Unreachable, false}, {upstream.Unreachable, false}, {upstream.Unreachable, false}, {upstream.Unreachable, false}, {upstream.Unreachable, false}}, func() {}),
	)

	// Guards against an answer of an upstream that is thrown away when the request can
	// not be repeated after all: the caller learns nothing, not even that it ran.
	DescribeTable("is not given where an upstream has answered, if only with a failure",
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
		Entry("when the second attempt brings nothing", []step{{upstream.Failure, true}, {upstream.Timeout, true}}, func() { service().SetUpstreams(time.Now(), nil) }),
	)

	// Guards against a promise by a daemon that serves a request itself after the
	// home that it was passed to was lost, and cannot run it.
	It("makes no promise about a request that a lost home may have run", func() {
		d := &directory{homes: []proxy.Peer{{ID: "home-1", Address: "a"}}}
		other := newProxy("other", orders, store, sender, d)
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
		Expect(promises).NotTo(HaveKey(a.Status), "reason %s", a.Refusal.Reason)
	})

	// Guards against a promise that the home did not make, as from a daemon of an
	// older version in the same fleet.
	It("makes no promise when the home says that the request may have run", func() {
		d := &directory{homes: []proxy.Peer{{ID: "home-1", Address: "a"}}}
		other := newProxy("other", orders, store, sender, d)
		d.forward = func(*proxy.Incoming) (*proxy.Answer, error) {
			reply, err := proxy.EncodeForwardAnswer(&proxy.Answer{
				Status: 503, Verdict: verdict.MayHaveRun, Refusal: &verdict.Error{Status: 503, Reason: "all-busy", RetryAfter: time.Second},
			})
			Expect(err).NotTo(HaveOccurred())
			return proxy.DecodeForwardAnswer(reply)
		}
		a := other.Serve(context.Background(), request("GET", "", "x"))
		Expect(a.Verdict).To(Equal(verdict.MayHaveRun))
		Expect(promises).NotTo(HaveKey(a.Status))
	})

	// Guards against either lie on any path of two daemons: a promise about a request
	// that ran, and "may have run" about one that no upstream and no lost daemon can
	// have run, which keeps a caller from sending an order again.
	It("promises exactly what is known of all attempts at every hop", func() {
		kinds := []upstream.Kind{upstream.Success, upstream.Failure, upstream.Timeout, upstream.Truncated, upstream.Shed, upstream.Unreachable, upstream.Refused, upstream.Lost}
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			script := &scriptedSender{runs: map[string]int{}}
			doubtful := false
			for range rapid.IntRange(0, 8).Draw(t, "steps") {
				kind := rapid.SampledFrom(kinds).Draw(t, "kind")
				certain := kind == upstream.Success || kind == upstream.Failure
				never := kind == upstream.Shed || kind == upstream.Unreachable || kind == upstream.Refused
				script.script = append(script.script, step{kind, certain || !never && rapid.Bool().Draw(t, "ran")})
			}
			d := &directory{homes: []proxy.Peer{{ID: "home-1"}, {ID: "home-2"}}}
			home := newProxy("home-1", orders+"requests: {key: none}\n", memstore.New(), script, &directory{})
			entry := newProxy("other", orders+"requests: {key: none}\n", memstore.New(), script, d)
			outcomes := rapid.SliceOfN(rapid.SampledFrom([]string{"answered", "not sent", "lost before", "lost after"}), 2, 2).Draw(t, "hops")
			bare := rapid.Bool().Draw(t, "entry knows no upstream")
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
					doubtful = true
					return nil, errors.New("no reply")
				}
				body, err := proxy.EncodeForward(in, time.Second)
				if err != nil {
					return nil, err
				}
				reply, err := home.HandleForward(context.Background(), body)
				if err != nil || outcome == "lost after" {
					doubtful = true
					return nil, errors.New("no reply")
				}
				return proxy.DecodeForwardAnswer(reply)
			}
			warm := outcomes
			outcomes = []string{"not sent", "not sent", "not sent", "not sent", "not sent", "not sent", "not sent", "not sent"}
			held := script.script
			script.script = nil
			for range 4 { // pay for the repeats of both daemons
				entry.Serve(context.Background(), request("GET", "", "warm"))
				home.Serve(context.Background(), request("GET", "", "warm"))
			}
			outcomes, hop, script.script, script.calls = warm, 0, held, 0
			if bare {
				s, _ := entry.Board.Service("orders")
				s.SetUpstreams(time.Now(), nil)
			}
			a := entry.Serve(context.Background(), request(rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"), "", "x"))
			made := script.script[:min(script.calls, len(script.script))]
			never := !doubtful && script.calls <= len(script.script)
			for _, s := range made {
				never = never && (s.kind == upstream.Shed || s.kind == upstream.Unreachable || s.kind == upstream.Refused)
			}
			switch {
			case a.Refusal == nil:
			case promises[a.Status] && script.runs["x"] > 0:
				t.Fatalf("status %d, but it ran: %v", a.Status, a.Refusal)
			case promises[a.Status] != (a.Verdict == verdict.NotRun):
				t.Fatalf("status %d with verdict %v: %v", a.Status, a.Verdict, a.Refusal)
			case never && a.Verdict != verdict.NotRun:
				t.Fatalf("told %v, but nothing can have run it: %v", a.Verdict, a.Refusal)
			}
		})
	})
})
