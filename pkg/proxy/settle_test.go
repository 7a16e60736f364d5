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

// doubtfulSender fails the attempts at all upstreams but one.
type doubtfulSender struct {
	sound string
	calls int
	// mended means that the others serve again.
	mended bool
}

func (s *doubtfulSender) Do(_ context.Context, t upstream.Target, _ *upstream.Request) upstream.Result {
	s.calls++
	if t.ID != s.sound && !s.mended {
		return upstream.Result{Kind: upstream.Failure, Verdict: verdict.Ran, Response: &upstream.Response{Status: 500}}
	}
	return upstream.Result{Kind: upstream.Success, Verdict: verdict.Ran, Response: &upstream.Response{Status: 200}}
}

func (s *doubtfulSender) Close() {}

var _ = Describe("A request that waits for an upstream that probably serves it", func() {
	// Guards against a request that waits for such an upstream until its time is over
	// and is refused, beside free slots that it was never offered to: where its caller
	// waits for less than the route allows, the wait went by the route.
	It("is sent to another one while there is time left", func() {
		sender := &doubtfulSender{sound: "w3"}
		p := newProxy("home-1", orders+"requests: {key: none}\ntimeouts: {request: 8s}\n", memstore.New(), sender, &directory{})
		s, _ := p.Board.Service("orders")
		for range 60 {
			p.Serve(context.Background(), request("POST", "", "x"))
		}
		for range 12 {
			s.Begin(time.Now(), blackboard.AttemptRequest{Route: "other", MayWait: true})
		}
		sender.calls, sender.mended = 0, true
		in := request("POST", "", "x")
		in.Deadline = in.Arrived.Add(400 * time.Millisecond)
		a := p.Serve(context.Background(), in)
		Expect(sender.calls).To(Equal(1), "%v", a.Refusal)
		Expect(a.Status).To(Equal(200))
	})
})
