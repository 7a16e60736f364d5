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

// recorder keeps how the probes of each address ended.
type recorder struct {
	upstream.Sender
	mu    sync.Mutex
	ended map[string][]upstream.Result
}

func (r *recorder) Do(ctx context.Context, t upstream.Target, request *upstream.Request) upstream.Result {
	result := r.Sender.Do(ctx, t, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[t.Address] = append(r.ended[t.Address], result)
	return result
}

func (r *recorder) results(address string) []upstream.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ended[address])
}

// Guards against an upstream that counts as healthy, or holds the probes, because
// the answer to a probe comes without end.
var _ = DescribeTable("A probe whose answer comes without end has failed and ends in time", func(text, unit string) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	upstreams := map[string]*testkit.EndlessServer{
		"fast":  testkit.NewEndlessServer(text, unit, 0),
		"slow":  testkit.NewEndlessServer(text, unit, 50*time.Millisecond),
		"sound": testkit.NewEndlessServer(sound, "", 0),
	}
	const (
		attempt = 300 * time.Millisecond // the time limit of a probe
		margin  = 2 * time.Second        // far more than ending one takes
	)
	client := upstream.NewClient(dialect.Native())
	DeferCleanup(client.Close)
	sender := &recorder{Sender: client, ended: map[string][]upstream.Result{}}
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
			if id == "sound" {
				Expect(r.Kind).To(Equal(upstream.Success))
				continue
			}
			// Only a success whose status says so counts as a probe that was answered well.
			Expect(r.Kind).To(BeElementOf(upstream.Failure, upstream.Truncated, upstream.Timeout), id)
			Expect(r.Response).To(BeNil())
			Expect(r.Latency).To(BeNumerically("<", attempt+margin))
		}
	}
	s.SetUpstreams(time.Now(), nil)
	for id, u := range upstreams {
		if id != "sound" {
			Eventually(u.Open.Load, attempt+margin, time.Millisecond).Should(BeZero(), id)
		}
	}
},
	Entry("no line", "", "noise"),
	Entry("header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
	Entry("a body", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "x"),
	Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"),
)
