package health_test

import (
	"context"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/document"
	"shallotglade/pkg/health"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
)

// recorder records the results of the probes by address.
type recorder struct {
	upstream.Sender
	mu               sync.Mutex
	resultsByAddress map[string][]upstream.Result
}

func (r *recorder) Do(ctx context.Context, t upstream.Target, request *upstream.Request) upstream.Result {
	result := r.Sender.Do(ctx, t, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resultsByAddress[t.Address] = append(r.resultsByAddress[t.Address], result)
	return result
}

func (r *recorder) results(address string) []upstream.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.resultsByAddress[address])
}

// Guards against an upstream that is considered healthy, or that blocks its probes,
// because the response to a probe never ends.
var _ = DescribeTable("A probe with an endless response fails within its time limit", func(text, unit string) {
	const validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	upstreams := map[string]*testkit.EndlessServer{
		"fast":  testkit.NewEndlessServer(text, unit, 0),
		"slow":  testkit.NewEndlessServer(text, unit, 50*time.Millisecond),
		"valid": testkit.NewEndlessServer(validResponse, "", 0),
	}
	const (
		attempt = 300 * time.Millisecond // time limit of a probe
		margin  = 2 * time.Second        // much longer than closing a connection takes
	)
	client := upstream.NewClient(dialect.Native())
	DeferCleanup(client.Close)
	sender := &recorder{Sender: client, resultsByAddress: map[string][]upstream.Result{}}
	board := blackboard.New("d1", "fes")
	d, problems := document.Parse("s.yaml", []byte(
		"service: s\nupstreams: {probeInterval: 100ms, healthPath: /health}\ntimeouts: {request: 1s, attempt: 300ms}"))
	Expect(problems).To(BeEmpty())
	board.PutDocument(d, 1, nil)
	s, _ := board.Service("s")
	s.SetHomes(time.Now(), []routing.Home{{ID: "d1", Domain: "fes"}})
	var list []blackboard.Upstream
	for id, u := range upstreams {
		list = append(list, blackboard.Upstream{ID: id, Address: u.Address, Domain: "fes", Slots: 3})
	}
	s.SetUpstreams(time.Now(), list)
	c := &health.Controller{
		Board: board, Store: memstore.New(), Sender: sender, Log: zerolog.Nop(), Metrics: telemetry.NewMetrics(),
		Homes: func(string) []health.Peer { return nil }, Publish: func(platform.Object) {},
	}
	Expect(c.Provision()).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	DeferCleanup(func() { cancel(); <-done; c.Cleanup() })
	for id, u := range upstreams {
		Eventually(func() int { return len(sender.results(u.Address)) }, 10*time.Second, 20*time.Millisecond).Should(BeNumerically(">=", 2), id)
		for _, r := range sender.results(u.Address) {
			if id == "valid" {
				Expect(r.Kind).To(Equal(upstream.Success))
				continue
			}
			// A probe succeeds only with a complete response and a good status.
			Expect(r.Kind).To(BeElementOf(upstream.Failure, upstream.Truncated, upstream.Timeout), id)
			Expect(r.Response).To(BeNil())
			Expect(r.Latency).To(BeNumerically("<", attempt+margin))
		}
	}
	s.SetUpstreams(time.Now(), nil)
	for id, u := range upstreams {
		if id != "valid" {
			Eventually(u.Open.Load, attempt+margin, time.Millisecond).Should(BeZero(), id)
		}
	}
},
	Entry("no status line", "", "noise"),
	Entry("header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
	Entry("body", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "x"),
	Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"),
)
