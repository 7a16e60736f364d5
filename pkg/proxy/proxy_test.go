package proxy_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/claims"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

func TestProxy(t *testing.T) {
	telemetry.CaptureHTTP(zerolog.Nop())
	testkit.RunSpecs(t, "proxy")
}

// scriptedSender returns the scripted result of each attempt, then successes, and
// counts how often each request body actually ran.
type scriptedSender struct {
	mu     sync.Mutex
	script []step
	runs   map[string]int
	calls  int
}

type step struct {
	kind upstream.Kind
	// ran is true if the request actually ran at the upstream.
	ran bool
}

func (s *scriptedSender) Do(_ context.Context, _ upstream.Target, r *upstream.Request) upstream.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := step{kind: upstream.Success, ran: true}
	if s.calls < len(s.script) {
		st = s.script[s.calls]
	}
	s.calls++
	if st.ran {
		s.runs[string(r.Body)]++
	}
	result := upstream.Result{Kind: st.kind, Latency: time.Millisecond, Err: errors.New(st.kind.String())}
	switch st.kind {
	case upstream.Success:
		result.Response, result.Verdict = &upstream.Response{Status: 200, Body: r.Body}, verdict.Ran
	case upstream.Failure:
		result.Response, result.Verdict = &upstream.Response{Status: 500}, verdict.Ran
	case upstream.Shed:
		result.Response, result.Verdict = &upstream.Response{Status: 503}, verdict.NotRun
	case upstream.Unreachable, upstream.Refused:
		result.Verdict = verdict.NotRun
	}
	return result
}

func (s *scriptedSender) Close() {}

// directory is a Directory with fixed homes and a Forwarder that calls forward.
type directory struct {
	homes []proxy.Peer
	// otherDomains are homes that Homes leaves out.
	otherDomains []proxy.Peer

	forward      func(*proxy.Incoming) (*proxy.Answer, error)
	announceStop func(id string, timeLeft time.Duration) error
	// timeLeft is the time left of the latest forwarded request.
	timeLeft time.Duration
}

func (d *directory) Homes(string) []proxy.Peer { return d.homes }

func (d *directory) Home(_, id string) (proxy.Peer, bool) {
	all := slices.Concat(d.homes, d.otherDomains)
	i := slices.IndexFunc(all, func(h proxy.Peer) bool { return h.ID == id })
	if i < 0 {
		return proxy.Peer{}, false
	}
	return all[i], true
}

func (d *directory) Forward(_ context.Context, _ proxy.Peer, in *proxy.Incoming, timeLeft time.Duration) (*proxy.Answer, error) {
	d.timeLeft = timeLeft
	return d.forward(in)
}

func (d *directory) AnnounceStop(_ context.Context, _ proxy.Peer, id string, timeLeft time.Duration) error {
	if d.announceStop == nil {
		return nil
	}
	return d.announceStop(id, timeLeft)
}

type noopNotifier struct{}

func (noopNotifier) Assess(*blackboard.Service)      {}
func (noopNotifier) ShareReport(*blackboard.Service) {}
func (noopNotifier) LoadChanged(*blackboard.Service) {}

func (noopNotifier) ShareReportNow(context.Context, *blackboard.Service) {}
func (noopNotifier) Probe(*blackboard.Service, blackboard.Upstream)      {}

// upstreams returns four upstreams with the given number of slots each.
func upstreams(slots int) []blackboard.Upstream {
	var list []blackboard.Upstream
	for i := range 4 {
		list = append(list, blackboard.Upstream{ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: "fes", Slots: slots})
	}
	return list
}

func newProxy(daemonID, documentText string, store *memstore.Store, sender upstream.Sender, d *directory) *proxy.Proxy {
	doc, problems := document.Parse("d", []byte(documentText))
	Expect(problems).To(BeEmpty())
	board := blackboard.New(daemonID, "fes")
	Expect(board.PutDocument(doc, 1, nil)).To(BeTrue())
	s, _ := board.Service(doc.Service)
	s.SetHomes(time.Now(), []routing.Home{{ID: "home-1", Domain: "fes"}, {ID: "home-2", Domain: "fes"}})
	s.SetUpstreams(time.Now(), upstreams(3))
	ledger, err := claims.New(claims.Config{Store: store})
	Expect(err).NotTo(HaveOccurred())
	return &proxy.Proxy{
		Dialect: dialect.Native(),
		Board:   board, Sender: sender, Ledger: ledger, Directory: d, Forwarder: d, Notifier: noopNotifier{},
		Log: zerolog.Nop(), Metrics: telemetry.NewMetrics(), LogDecisions: func() bool { return true },
	}
}

const ordersDocument = "service: orders\nretries: {budget: 100%, attempts: 3}\nlimits: {queue: 100}\n"

func request(method, key, body string) *proxy.Incoming {
	return &proxy.Incoming{
		ID: "r-" + body, Caller: "clerk", Service: "orders", Method: method, URI: "/orders", Path: "/orders",
		Key: key, Body: []byte(body), Arrived: time.Now(),
	}
}

var _ = Describe("Serve", func() {
	var store *memstore.Store
	var sender *scriptedSender
	var d *directory
	BeforeEach(func() {
		store = memstore.New()
		sender = &scriptedSender{runs: map[string]int{}}
		d = &directory{}
	})
	serve := func(p *proxy.Proxy, in *proxy.Incoming) *proxy.Answer { return p.Serve(context.Background(), in) }

	// Guards against the verdict "not run" for a request that ran, and against
	// running a non-idempotent request twice.
	It("reports not-run only for requests that did not run and runs an order at most once", func() {
		kinds := []upstream.Kind{upstream.Success, upstream.Failure, upstream.Timeout, upstream.Truncated, upstream.Shed, upstream.Unreachable, upstream.Refused, upstream.Lost}
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			store, sender := memstore.New(), &scriptedSender{runs: map[string]int{}}
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				kind := rapid.SampledFrom(kinds).Draw(t, "kind")
				certain := kind == upstream.Success || kind == upstream.Failure
				neverRan := kind == upstream.Shed || kind == upstream.Unreachable || kind == upstream.Refused
				ran := certain || !neverRan && rapid.Bool().Draw(t, "ran")
				sender.script = append(sender.script, step{kind, ran})
			}
			p := []*proxy.Proxy{newProxy("home-1", ordersDocument, store, sender, d), newProxy("home-2", ordersDocument, store, sender, d)}
			method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
			ran, notRunAnswers := 0, 0
			for range rapid.IntRange(1, 5).Draw(t, "sends") {
				if method == "GET" {
					sender.runs = map[string]int{}
				}
				before := sender.runs["x"]
				a := serve(p[rapid.IntRange(0, 1).Draw(t, "daemon")], request(method, "k1", "x"))
				ran = sender.runs["x"]
				if a.Verdict == verdict.NotRun {
					notRunAnswers++
					if ran > before {
						t.Fatalf("verdict is not-run, but the request ran: %v", a.Refusal)
					}
				}
				if a.Verdict == verdict.Ran && ran == 0 {
					t.Fatalf("verdict is ran, but the request did not run")
				}
			}
			if method == "POST" && ran > 1 {
				t.Fatalf("the order ran %d times", ran)
			}
		})
	})

	It("retries an idempotent request at another upstream and returns its answer", func() {
		sender.script = []step{{upstream.Timeout, true}}
		p := newProxy("home-1", ordersDocument, store, sender, d)
		for i := range 4 {
			serve(p, request("GET", "", fmt.Sprint("warm", i))) // fills the retry budget
		}
		sender.calls = 0
		Expect(serve(p, request("GET", "", "x")).Status).To(Equal(200))
		Expect(sender.calls).To(Equal(2))
	})

	It("replays the stored answer of a repeated order at another daemon", func() {
		p1, p2 := newProxy("home-1", ordersDocument, store, sender, d), newProxy("home-2", ordersDocument, store, sender, d)
		first := serve(p1, request("POST", "k", "bronze"))
		Expect(p1.Ledger.Close(context.Background())).To(Succeed())
		second := serve(p2, request("POST", "k", "bronze"))
		Expect(second.Replayed).To(BeTrue())
		Expect(second.Body).To(Equal(first.Body))
		Expect(sender.runs["bronze"]).To(Equal(1))
		Expect(serve(p2, request("POST", "k", "marble")).Refusal.Reason).To(Equal("key-mismatch"))
	})

	DescribeTable("applies the document's policy while the platform is unavailable",
		func(policy string, runs int, v verdict.Verdict) {
			store.SetFaults(memstore.Faults{Down: true})
			p := newProxy("home-1", ordersDocument+"requests: {whenPlatformAway: "+policy+"}\n", store, sender, d)
			a := serve(p, request("POST", "k", "x"))
			Expect(a.Verdict).To(Equal(v))
			Expect(sender.runs["x"]).To(Equal(runs))
		},
		Entry("refuse", "refuse", 0, verdict.NotRun),
		Entry("run", "run", 1, verdict.Ran),
	)

	DescribeTable("refuses an invalid request without running it",
		func(change func(*proxy.Incoming), status int, reason string) {
			in := request("POST", "k", "x")
			change(in)
			a := serve(newProxy("home-1", ordersDocument+"requests: {maxBodyBytes: 10}\n", store, sender, d), in)
			Expect(a.Refusal.Reason).To(Equal(reason))
			Expect(a.Status).To(Equal(status))
			Expect(a.Verdict).To(Equal(verdict.NotRun))
			Expect(sender.calls).To(BeZero())
		},
		Entry("unknown service", func(in *proxy.Incoming) { in.Service = "none" }, 404, "unknown-service"),
		Entry("no key", func(in *proxy.Incoming) { in.Key = "" }, 400, "key-required"),
		Entry("bad key", func(in *proxy.Incoming) { in.Key = "a b" }, 400, "bad-key"),
		Entry("bad caller", func(in *proxy.Incoming) { in.Caller = "a\nb" }, 400, "bad-caller"),
		Entry("large body", func(in *proxy.Incoming) { in.Body = make([]byte, 11) }, 413, "body-too-large"),
		Entry("no time left", func(in *proxy.Incoming) { in.Deadline = in.Arrived.Add(-time.Second) }, 503, "too-late"),
	)

	Describe("at a daemon that is not a home", func() {
		BeforeEach(func() { d.homes = []proxy.Peer{{ID: "home-1", Address: "a"}, {ID: "home-2", Address: "b"}} })

		It("forwards the request once and returns the home's answer unchanged", func() {
			home := newProxy("home-1", ordersDocument, store, sender, &directory{})
			d.forward = func(in *proxy.Incoming) (*proxy.Answer, error) {
				body, err := proxy.EncodeForward(in, time.Second)
				Expect(err).NotTo(HaveOccurred())
				reply, err := home.HandleForward(context.Background(), body)
				Expect(err).NotTo(HaveOccurred())
				return proxy.DecodeForwardAnswer(reply)
			}
			a := serve(newProxy("other", ordersDocument, store, sender, d), request("POST", "k", "x"))
			Expect(string(a.Body)).To(Equal("x"))
			Expect(a.Verdict).To(Equal(verdict.Ran))
			Expect(sender.calls).To(Equal(1))
		})

		It("serves the request itself when no home can be reached", func() {
			d.forward = func(*proxy.Incoming) (*proxy.Answer, error) { return nil, proxy.ErrNotSent }
			Expect(serve(newProxy("other", ordersDocument, store, sender, d), request("POST", "k", "x")).Status).To(Equal(200))
		})

		// Guards against running an order again locally after a lost home has run it.
		It("does not run an order that a lost home may have run", func() {
			d.forward = func(*proxy.Incoming) (*proxy.Answer, error) { return nil, errors.New("no reply") }
			a := serve(newProxy("other", ordersDocument, store, sender, d), request("POST", "k", "x"))
			Expect(a.Verdict).To(Equal(verdict.MayHaveRun))
			Expect(sender.calls).To(BeZero())
		})
	})
})

var _ = Describe("A forwarded request", func() {
	// Guards against denying a request for a byte that is not ASCII in a header or the path.
	It("keeps bytes that are not UTF-8, and so does its answer", func() {
		in := request("POST", "k", "x")
		in.URI, in.Path, in.Hops = "/caf\xe9", "/caf\xe9", 1
		in.Headers = []upstream.Header{{Name: "X-Operator", Value: "Ren\xe9"}}
		encoded, err := proxy.EncodeForward(in, time.Second)
		Expect(err).NotTo(HaveOccurred())
		out, err := proxy.DecodeForward(encoded, time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Headers).To(Equal(in.Headers))
		Expect(out.Path).To(Equal(in.Path))
		encoded, err = proxy.EncodeForwardAnswer(&proxy.Answer{Status: 200, Headers: in.Headers, Verdict: verdict.Ran})
		Expect(err).NotTo(HaveOccurred())
		answer, err := proxy.DecodeForwardAnswer(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Headers).To(Equal(in.Headers))
	})

	// Guards against an answer of a home that has read one without a valid status.
	DescribeTable("has no answer with the status", func(status int) {
		encoded, err := proxy.EncodeForwardAnswer(&proxy.Answer{Status: status, Verdict: verdict.Ran})
		Expect(err).NotTo(HaveOccurred())
		_, err = proxy.DecodeForwardAnswer(encoded)
		Expect(err).To(HaveOccurred())
	}, Entry(nil, 0), Entry(nil, 99), Entry(nil, 100), Entry(nil, 600))
})

func FuzzDecodeForward(f *testing.F) {
	body, _ := proxy.EncodeForward(&proxy.Incoming{ID: "r", Service: "s", Method: "GET", Hops: 1}, time.Second)
	f.Add(body)
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := proxy.DecodeForward(data, time.Unix(0, 0))
		if err == nil && (in.Hops < 1 || in.Deadline.IsZero()) {
			t.Fatal("accepted a forwarded request without hops or deadline")
		}
		_, _ = proxy.DecodeForwardAnswer(data)
	})
}
