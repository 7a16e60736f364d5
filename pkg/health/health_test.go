package health_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/detector"
	"shallotglade/pkg/document"
	"shallotglade/pkg/ejection"
	"shallotglade/pkg/health"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
)

func TestHealth(t *testing.T) { testkit.RunSpecs(t, "health") }

// fakeSender answers every probe with the same status.
type fakeSender struct{ status int }

func (f fakeSender) Do(context.Context, upstream.Target, *upstream.Request) upstream.Result {
	return upstream.Result{Kind: upstream.Success, Response: &upstream.Response{Status: f.status}, Latency: time.Millisecond}
}
func (fakeSender) Close() {}

// countingStore counts the writes that the controller sends.
type countingStore struct {
	platform.Store
	mu     sync.Mutex
	writes int
}

func (s *countingStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
}

func (s *countingStore) sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *countingStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	defer s.count()
	return s.Store.Create(ctx, key, value)
}

func (s *countingStore) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	defer s.count()
	return s.Store.Update(ctx, key, version, value)
}

var _ = Describe("Controller", func() {
	var (
		behind *memstore.Store
		store  *countingStore
		board  *blackboard.Board
		s      *blackboard.Service
		c      *health.Controller
	)
	ids := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
	BeforeEach(func() {
		behind = memstore.New()
		store = &countingStore{Store: behind}
		board = blackboard.New("d1", "fes")
		d, problems := document.Parse("s.yaml", []byte("service: s\nfloor: {share: 50%}\nupstreams: {probeInterval: 100ms}"))
		Expect(problems).To(BeEmpty())
		board.PutDocument(d, 1, nil)
		s, _ = board.Service("s")
		s.SetHomes(time.Now(), []routing.Home{{ID: "d1", Domain: "fes"}})
		var list []blackboard.Upstream
		for _, id := range ids {
			list = append(list, blackboard.Upstream{ID: id, Address: "127.0.0.1:1", Domain: "fes", Slots: 3})
		}
		s.SetUpstreams(time.Now(), list)
		metrics := telemetry.NewMetrics()
		c = &health.Controller{
			Board: board, Store: store, Sender: fakeSender{status: 200}, Log: zerolog.Nop(), Metrics: metrics,
			Homes: func(string) []health.Peer { return nil }, Send: func(context.Context, health.Peer, []byte) error { return nil },
			Publish: catalog.New(board, zerolog.Nop(), metrics).Changed,
		}
	})
	run := func() {
		Expect(c.Provision()).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done; c.Cleanup() })
	}
	// fail gives u0 failures over more time than a short stall takes, and the
	// others successes. Times lie in the past, so that nothing has to wait.
	fail := func() {
		start := time.Now().Add(-10 * time.Second)
		for i := range 400 {
			at := start.Add(time.Duration(i) * 25 * time.Millisecond)
			for _, id := range ids[1:] {
				s.Observe(at, detector.Outcome{Upstream: id, Kind: detector.Success, Latency: 10 * time.Millisecond})
			}
			if i >= 200 {
				s.Observe(at, detector.Outcome{Upstream: "u0", Kind: detector.Failure, Latency: 10 * time.Millisecond})
			} else {
				s.Observe(at, detector.Outcome{Upstream: "u0", Kind: detector.Success, Latency: 10 * time.Millisecond})
			}
		}
	}
	standing := func(id string) func() string {
		return func() string {
			for _, u := range s.Status().Upstreams {
				if u.ID == id {
					return u.Standing
				}
			}
			return "absent"
		}
	}
	record := func(id string) []byte {
		value, err := ejection.Record{Service: "s", Entries: []ejection.Entry{{
			Upstream: id, State: ejection.Ejected, Rounds: 1, Since: time.Now().UnixMilli(),
			Until: time.Now().Add(time.Minute).UnixMilli(), Reason: "failures",
		}}}.Encode()
		Expect(err).NotTo(HaveOccurred())
		return value
	}

	// Guards against new homes that do not hear what this home has spent of the retries
	// of the present span, and spend the allowance again.
	It("hands the retries over to the homes that follow it, once", func() {
		next := []health.Peer{{ID: "d2", Address: "a2"}, {ID: "d3", Address: "a3"}}
		c.Homes = func(string) []health.Peer { return next }
		var mu sync.Mutex
		told := map[string][]byte{}
		c.Tell = func(_ context.Context, to health.Peer, body []byte) error {
			mu.Lock()
			defer mu.Unlock()
			told[to.ID] = body
			return nil
		}
		d, problems := document.Parse("s.yaml", []byte("service: s\nretries: {budget: 20%, window: 10s, allowance: 30}"))
		Expect(problems).To(BeEmpty())
		s.SetHomes(time.Now(), nil)
		board.PutDocument(d, 2, nil)
		now := time.Now()
		s.SetHomes(now.Add(-10*time.Second), []routing.Home{{ID: "d1", Domain: "fes"}})
		a, _, ok := s.Begin(now, blackboard.AttemptRequest{First: true})
		Expect(ok).To(BeTrue())
		s.End(now, a, upstream.Result{Kind: upstream.Success, Response: &upstream.Response{Status: 200}})
		run()
		s.SetHomes(now, []routing.Home{{ID: "d2", Domain: "fes"}, {ID: "d3", Domain: "fes"}})
		c.HandOver(s)
		heard := func() int {
			mu.Lock()
			defer mu.Unlock()
			return len(told)
		}
		Eventually(heard).Should(Equal(len(next)))
		for _, body := range told {
			r, err := blackboard.DecodeReport(body)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Home).To(Equal("d1"))
			Expect(r.RetryHandOver.Allowance).To(BeNumerically(">", 0))
			Expect(r.RetryHandOver.Buckets).To(HaveLen(1))
			Expect(r.RetryHandOver.Buckets[0].Requests).To(Equal(0.5))
		}
		_, again := s.HandOver(now)
		Expect(again).To(BeFalse())
	})

	// Guards against an ejection that this home does not know of because the
	// reply was lost: it would go on sending work, or eject again.
	It("takes over an ejection whose reply was lost", func() {
		behind.SetFaults(memstore.Faults{LoseReplies: 1})
		fail()
		run()
		Eventually(standing("u0"), "10s").Should(Equal(blackboard.StandingEjected))
		o, err := behind.Get(context.Background(), "ejections/s")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Status().RecordVersion).To(Equal(o.Version))
	})

	// Guards against a home that overwrites another home's ejection, and against
	// one that gives up after a conflict.
	It("takes over another home's record after a conflict and then adds to it", func() {
		_, err := behind.Create(context.Background(), "ejections/s", record("u5"))
		Expect(err).NotTo(HaveOccurred())
		fail()
		run()
		Eventually(standing("u0"), "10s").Should(Equal(blackboard.StandingEjected))
		Expect(standing("u5")()).To(Equal(blackboard.StandingEjected))
		Expect(store.sent()).To(BeNumerically(">=", 2))
	})

	// Guards against ejections that were never agreed on, and against upstreams
	// that keep their work during an outage because no ejection is possible.
	It("demotes and writes nothing while the platform is away", func() {
		behind.SetFaults(memstore.Faults{Down: true})
		fail()
		run()
		Eventually(standing("u0"), "10s").Should(Equal(blackboard.StandingDemoted))
		Eventually(store.sent, "10s").Should(BeNumerically(">=", 2))
		Expect(standing("u0")()).To(Equal(blackboard.StandingDemoted))
		_, err := behind.Get(context.Background(), "ejections/s")
		Expect(err).To(MatchError(platform.ErrUnavailable))
		behind.SetFaults(memstore.Faults{})
		Eventually(standing("u0"), "10s").Should(Equal(blackboard.StandingEjected))
	})

	// Guards against a health endpoint that reports wrong values taking
	// upstreams out of service which do their work.
	It("never ejects for probes alone", func() {
		c.Sender = fakeSender{status: 500}
		start := time.Now().Add(-time.Hour)
		for i := range 3000 {
			s.Observe(start.Add(time.Duration(i)*time.Second), detector.Outcome{Upstream: ids[i%len(ids)], Kind: detector.ProbeFailure})
		}
		for _, d := range []time.Duration{0, time.Minute, time.Hour} {
			now := time.Now().Add(d)
			s.Refresh(now)
			_, _, decisions := s.Propose(now)
			Expect(ejection.Changed(decisions)).To(BeFalse(), "%v", decisions)
		}
		Expect(s.Status().Usable).To(Equal(len(ids)))
	})

	// Guards against a daemon that speaks for another one: it could outvote the
	// homes of a service.
	It("refuses reports with a false home id and malformed ones", func() {
		var log bytes.Buffer
		c.Log = zerolog.New(&log)
		body, err := blackboard.EncodeReport(blackboard.Report{Service: "s", Home: "d2", Leaving: []string{"u1"}})
		Expect(err).NotTo(HaveOccurred())
		owns := func(id string) func(string) bool { return func(asked string) bool { return asked == id } }
		c.Receive(body, owns("d3"))
		c.Receive(body[:len(body)-1], owns("d2"))
		Expect(standing("u1")()).To(Equal(blackboard.StandingNormal))
		Expect(bytes.Count(log.Bytes(), []byte("health: report refused"))).To(Equal(2))
		c.Receive(body, owns("d2"))
		Expect(standing("u1")()).To(Equal(blackboard.StandingLeaving))
	})
})
