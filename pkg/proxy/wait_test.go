package proxy_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// failingSender fails the attempts at all upstreams except healthy.
type failingSender struct {
	healthy string
	calls   int
	// recovered is true once the other upstreams serve again.
	recovered bool
}

func (s *failingSender) Do(_ context.Context, t upstream.Target, _ *upstream.Request) upstream.Result {
	s.calls++
	if t.ID != s.healthy && !s.recovered {
		return upstream.Result{Kind: upstream.Failure, Verdict: verdict.Ran, Response: &upstream.Response{Status: 500}}
	}
	return upstream.Result{Kind: upstream.Success, Verdict: verdict.Ran, Response: &upstream.Response{Status: 200}}
}

func (s *failingSender) Close() {}

var _ = Describe("A request that waits for an upstream that is unlikely to fail", func() {
	// Guards against a wait derived from the route's timeout when the caller's deadline
	// is shorter: the request waited past its deadline and was refused, although other
	// upstreams had free slots.
	It("is sent to another upstream before its deadline", func() {
		sender := &failingSender{healthy: "w3"}
		p := newProxy("home-1", ordersDocument+"requests: {key: none}\ntimeouts: {request: 8s}\n", memstore.New(), sender, &directory{})
		s, _ := p.Board.Service("orders")
		for range 60 {
			p.Serve(context.Background(), request("POST", "", "x"))
		}
		for range 12 {
			s.Begin(time.Now(), blackboard.AttemptRequest{Route: "other", MayWait: true})
		}
		sender.calls, sender.recovered = 0, true
		in := request("POST", "", "x")
		in.Deadline = in.Arrived.Add(400 * time.Millisecond)
		a := p.Serve(context.Background(), in)
		Expect(sender.calls).To(Equal(1), "%v", a.Refusal)
		Expect(a.Status).To(Equal(200))
	})
})
