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
