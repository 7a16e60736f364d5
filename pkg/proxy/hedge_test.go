package proxy_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/upstream"
)

// pausingSender delays each attempt by pause.
type pausingSender struct {
	scriptedSender
	pause time.Duration
	begun atomic.Int32
}

func (s *pausingSender) Do(ctx context.Context, t upstream.Target, r *upstream.Request) upstream.Result {
	s.begun.Add(1)
	time.Sleep(s.pause)
	return s.scriptedSender.Do(ctx, t, r)
}

var _ = Describe("A hedge of a slow attempt", func() {
	var (
		sender *pausingSender
		p      *proxy.Proxy
	)
	BeforeEach(func() {
		sender = &pausingSender{scriptedSender: scriptedSender{runs: map[string]int{}}, pause: 2 * time.Millisecond}
		p = newProxy("home-1", ordersDocument, memstore.New(), sender, &directory{})
		for range 200 {
			Expect(p.Serve(context.Background(), request("GET", "", "warm")).Status).To(Equal(200))
		}
		s, _ := p.Board.Service("orders")
		_, hedgeDelay := s.Latency(s.Document().Rule().Name)
		Expect(hedgeDelay).To(BeNumerically(">", 0), "hedging is disabled")
		sender.pause = hedgeDelay + 100*time.Millisecond
		sender.begun.Store(0)
	})
	// occupy takes all slots except one.
	occupy := func() {
		s, _ := p.Board.Service("orders")
		for range 4*3 - 1 {
			_, _, ok := s.Begin(time.Now(), blackboard.AttemptRequest{Route: "other"})
			Expect(ok).To(BeTrue())
		}
	}

	It("is sent while a slot is free", func() {
		Expect(p.Serve(context.Background(), request("GET", "", "x")).Status).To(Equal(200))
		Expect(sender.begun.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a hedge that starts in the slot freed by the first attempt's
	// answer and is cancelled immediately.
	It("is not sent in the slot that the first attempt frees", func() {
		occupy()
		Expect(p.Serve(context.Background(), request("GET", "", "x")).Status).To(Equal(200))
		Consistently(sender.begun.Load, 50*time.Millisecond).Should(BeEquivalentTo(1))
	})

	// Guards against a request that waits for a hedge slot until its deadline although
	// the first attempt has been answered.
	It("does not delay the answer of the first attempt while all slots are taken", func() {
		occupy()
		time.AfterFunc(sender.pause/2, func() {
			defer GinkgoRecover()
			s, _ := p.Board.Service("orders")
			s.SetUpstreams(time.Now(), upstreams(1))
		})
		start := time.Now()
		Expect(p.Serve(context.Background(), request("GET", "", "x")).Status).To(Equal(200))
		Expect(time.Since(start)).To(BeNumerically("<", sender.pause+500*time.Millisecond))
	})
})
