package proxy_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/panics"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// panickingSender panics as a library does on an answer that it cannot parse.
type panickingSender struct {
	scriptedSender
	answer []byte
}

func (s *panickingSender) Do(context.Context, upstream.Target, *upstream.Request) upstream.Result {
	s.calls++
	return upstream.Result{Response: &upstream.Response{Status: int(s.answer[0])}}
}

var _ = Describe("An attempt that panics", func() {
	BeforeEach(func() { panics.SetLogger(zerolog.New(GinkgoWriter)) })

	// Guards against a panic on the bytes of one upstream that ends the daemon and all its requests, and
	// against one that loses a slot, an answer, or the fact that the order may have run.
	DescribeTable("ends as one that may have run and releases its slot", func(method string, calls int) {
		sender := &panickingSender{}
		p := newProxy("home-1", ordersDocument+"requests: {key: none}\n", memstore.New(), sender, &directory{})
		service, _ := p.Board.Service("orders")
		before := panics.Total(panics.Upstreams)
		for range 10 {
			sender.calls = 0
			answered := make(chan verdict.Verdict, 1)
			go func() { answered <- p.Serve(context.Background(), request(method, "", "x")).Verdict }()
			Eventually(answered, 5*time.Second).Should(Receive(Equal(verdict.MayHaveRun)))
			Expect(sender.calls).To(BeNumerically("<=", calls))
		}
		Expect(panics.Total(panics.Upstreams) - before).To(BeNumerically(">=", 10))
		Expect(service.Status().Running).To(BeZero())
		for _, u := range service.Status().Upstreams {
			Expect(u.InFlight).To(BeZero(), u.ID)
		}
	}, Entry("an order", "POST", 1), Entry("a read", "GET", 3))
})
