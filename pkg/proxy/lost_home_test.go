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
		p = newProxy("other", orders, memstore.New(), sender, d)
	})
	// route puts a route with a number of attempts in force and pays for repeats.
	route := func(attempts int) {
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

	// Guards against a request that runs at more upstreams than its route allows: the
	// lost home may have sent it to one.
	DescribeTable("has used one of the attempts of its route when the home was lost",
		func(attempts, left int) {
			route(attempts)
			d.forward = func(*proxy.Incoming) (*proxy.Answer, error) { return nil, errors.New("no reply") }
			sender.script = []step{{upstream.Timeout, true}, {upstream.Timeout, true}, {upstream.Timeout, true}}
			Expect(p.Serve(context.Background(), routed("x")).Refusal).NotTo(BeNil())
			Expect(sender.calls).To(Equal(left))
		},
		Entry("of one", 1, 0), Entry("of two", 2, 1), Entry("of three", 3, 2),
	)

	// Guards against a 400, after which no caller sends a request again, for one that
	// comes when its time is nearly over.
	It("is not taken for malformed when the time left is shorter than the hop", func() {
		route(3)
		home := newProxy("home-1", orders, memstore.New(), sender, &directory{})
		d.forward = func(in *proxy.Incoming) (*proxy.Answer, error) {
			body, err := proxy.EncodeForward(in, d.left)
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

// routed returns an idempotent request that its path routes.
func routed(body string) *proxy.Incoming {
	in := request("GET", "", body)
	in.Service = ""
	return in
}
