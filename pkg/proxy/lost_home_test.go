package proxy_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/document"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

var _ = Describe("A request whose home cannot be used", func() {
	var (
		sender *scriptedSender
		d      *directory
		p      *proxy.Proxy
	)
	BeforeEach(func() {
		sender = &scriptedSender{runs: map[string]int{}}
		d = &directory{homes: []proxy.Peer{{ID: "home-1"}}}
		d.forward = func(*proxy.Incoming) (*proxy.Answer, error) { return nil, proxy.ErrNotSent }
		p = newProxy("other", ordersDocument, memstore.New(), sender, d)
	})
	// putRoute configures a route with the given number of attempts and fills the
	// retry budget.
	putRoute := func(attempts int) {
		s, _ := p.Board.Service("orders")
		Expect(p.Board.PutConfiguration(&document.Configuration{
			Services: []*document.Service{s.Document()},
			Routes: []document.Rule{{
				Name: "r", Path: "/orders", Timeout: time.Second, Attempts: attempts,
				Backends: []document.Backend{{Service: "orders", Weight: 1}},
			}},
		}, 2)).To(BeTrue())
		for range 5 {
			Expect(p.Serve(context.Background(), routed("warm")).Status).To(Equal(200))
		}
		sender.calls = 0
	}

	// Guards against denying a request, also one that may run once, whose home has no memory for it.
	It("is served here if the home has no memory for it", func() {
		d.forward = func(*proxy.Incoming) (*proxy.Answer, error) {
			reply, err := proxy.RefuseForward()
			Expect(err).NotTo(HaveOccurred())
			return proxy.DecodeForwardAnswer(reply)
		}
		Expect(p.Serve(context.Background(), request("POST", "k", "x")).Status).To(Equal(200))
		Expect(sender.calls).To(Equal(1))
	})

	// Guards against more attempts than the route allows: the lost home may have made
	// one.
	DescribeTable("counts a lost home as one of the route's attempts",
		func(attempts, remaining int) {
			putRoute(attempts)
			d.forward = func(*proxy.Incoming) (*proxy.Answer, error) { return nil, errors.New("no reply") }
			sender.script = []step{{upstream.Timeout, true}, {upstream.Timeout, true}, {upstream.Timeout, true}}
			Expect(p.Serve(context.Background(), routed("x")).Refusal).NotTo(BeNil())
			Expect(sender.calls).To(Equal(remaining))
		},
		Entry("of one", 1, 0), Entry("of two", 2, 1), Entry("of three", 3, 2),
	)

	Describe("and is replaced", func() {
		var second *proxy.Proxy
		BeforeEach(func() {
			second = newProxy("home-2", ordersDocument, memstore.New(), sender, &directory{})
			d.forward = func(in *proxy.Incoming) (*proxy.Answer, error) {
				if d.homes[0].ID == "home-1" {
					d.homes = []proxy.Peer{{ID: "home-2"}}
					return nil, errors.New("no reply")
				}
				body, err := proxy.EncodeForward(in, d.timeLeft)
				Expect(err).NotTo(HaveOccurred())
				reply, err := second.HandleForward(context.Background(), body)
				Expect(err).NotTo(HaveOccurred())
				return proxy.DecodeForwardAnswer(reply)
			}
		})

		// Guards against lookups that fail because their home stops or crashes while they run.
		It("is served by the home that follows, within the attempts of the route", func() {
			for range 5 {
				Expect(second.Serve(context.Background(), request("GET", "", "warm")).Status).To(Equal(200))
			}
			sender.calls = 0
			Expect(p.Serve(context.Background(), request("GET", "", "x")).Status).To(Equal(200))
			Expect(sender.calls).To(Equal(1))

			By("having answered that it stopped before the request ended")
			forward := d.forward
			d.homes = []proxy.Peer{{ID: "home-1"}}
			d.forward = func(in *proxy.Incoming) (*proxy.Answer, error) {
				a, err := forward(in)
				if err == nil {
					return a, nil
				}
				e := &verdict.Error{Verdict: verdict.MayHaveRun, Status: 504, Reason: "stopping"}
				return &proxy.Answer{Status: e.Status, Verdict: e.Verdict, Refusal: e}, nil
			}
			Expect(p.Serve(context.Background(), request("GET", "", "y")).Status).To(Equal(200))
		})

		// Guards against retries beyond the budget of the service.
		It("is not served by the home that follows if that has no retry left", func() {
			a := p.Serve(context.Background(), request("GET", "", "x"))
			Expect(a.Status).To(Equal(502))
			Expect(a.Verdict).To(Equal(verdict.MayHaveRun))
			Expect(sender.calls).To(BeZero())
		})

		// Guards against orders that run twice.
		It("is not sent again if it is not idempotent", func() {
			a := p.Serve(context.Background(), request("POST", "key", "x"))
			Expect(a.Status).To(Equal(502))
			Expect(sender.calls).To(BeZero())
		})

		// Guards against a 400 for a lookup whose second home is of an earlier build.
		It("is answered as lost if the home that follows cannot read the message", func() {
			forward := d.forward
			d.forward = func(in *proxy.Incoming) (*proxy.Answer, error) {
				if d.homes[0].ID == "home-1" {
					return forward(in)
				}
				refusal := verdict.Refuse(400, "bad-forward", "")
				return &proxy.Answer{Status: 400, Verdict: refusal.Verdict, Refusal: refusal}, nil
			}
			Expect(p.Serve(context.Background(), request("GET", "", "x")).Status).To(Equal(502))
		})
	})

	// Guards against a 400, after which callers do not retry, for a valid request that
	// arrives shortly before its deadline.
	It("is not refused as malformed when the time left is shorter than the forward margin", func() {
		putRoute(3)
		home := newProxy("home-1", ordersDocument, memstore.New(), sender, &directory{})
		d.forward = func(in *proxy.Incoming) (*proxy.Answer, error) {
			body, err := proxy.EncodeForward(in, d.timeLeft)
			Expect(err).NotTo(HaveOccurred())
			reply, err := home.HandleForward(context.Background(), body)
			Expect(err).NotTo(HaveOccurred())
			return proxy.DecodeForwardAnswer(reply)
		}
		in := routed("x")
		in.Deadline = in.Arrived.Add(15 * time.Millisecond)
		Expect(p.Serve(context.Background(), in).Status).NotTo(Equal(400))
	})
})

// routed returns an idempotent request that is routed by its path.
func routed(body string) *proxy.Incoming {
	in := request("GET", "", body)
	in.Service = ""
	return in
}
