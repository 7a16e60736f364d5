package admin_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/admin"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/history"
	"shallotglade/pkg/memory"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/verdict"
)

func TestAdmin(t *testing.T) {
	hlog.SetOutput(io.Discard)
	testkit.RunSpecs(t, "admin")
}

const (
	atlasKey = "key-of-atlas-0123456789"
	newKey   = "new-key-of-atlas-0123456789"
	coopKey  = "key-of-cooperative-0123456789"
	allKey   = "key-of-all-teams-0123456789"
)

// lossyStore loses writes and replies: the next lostWrites writes have no effect,
// the following lostReplies writes take effect, and all return ErrUnknownOutcome.
type lossyStore struct {
	platform.Store
	mu                      sync.Mutex
	lostWrites, lostReplies int
}

// nextWrite reports whether the next write returns ErrUnknownOutcome, and whether
// it takes effect.
func (s *lossyStore) nextWrite() (lost, runs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lostWrites > 0 {
		s.lostWrites--
		return true, false
	}
	if s.lostReplies > 0 {
		s.lostReplies--
		return true, true
	}
	return false, true
}

func (s *lossyStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	return s.write(func() (platform.Object, error) { return s.Store.Create(ctx, key, value) })
}

func (s *lossyStore) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	return s.write(func() (platform.Object, error) { return s.Store.Update(ctx, key, version, value) })
}

func (s *lossyStore) Delete(ctx context.Context, key string, version uint64) error {
	_, err := s.write(func() (platform.Object, error) { return platform.Object{}, s.Store.Delete(ctx, key, version) })
	return err
}

func (s *lossyStore) write(f func() (platform.Object, error)) (o platform.Object, err error) {
	lost, runs := s.nextWrite()
	if runs {
		o, err = f()
	}
	if lost && err == nil {
		return platform.Object{}, platform.ErrUnknownOutcome
	}
	return o, err
}

type fakeFleet struct{ drained atomic.Bool }

func (f *fakeFleet) Status(context.Context, string, bool) []admin.DaemonStatus {
	return []admin.DaemonStatus{{Daemon: "d1"}}
}
func (f *fakeFleet) Daemons() []admin.Daemon { return nil }
func (f *fakeFleet) Drain()                  { f.drained.Store(true) }
func (f *fakeFleet) Ready() bool             { return true }

var _ = Describe("Administration API", func() {
	var (
		ctx     context.Context
		backend *memstore.Store
		store   *lossyStore
		fleet   *fakeFleet
		address string
		client  func(key string) *admin.Client
	)
	BeforeEach(func() {
		ctx, backend, fleet = context.Background(), memstore.New(), &fakeFleet{}
		store = &lossyStore{Store: backend}
		board, metrics := blackboard.New("d1", "fes"), telemetry.NewMetrics()
		registry := prometheus.NewRegistry()
		registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "answered_total", Help: "Answers."}))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		server := &admin.Server{
			Documents: &admin.Documents{
				Store: store, Board: board, History: &history.Log{Store: store}, Log: zerolog.Nop(), Now: time.Now,
				Publish: catalog.New(board, zerolog.Nop(), metrics).Apply,
			},
			Fleet: fleet, Registry: registry, Log: zerolog.Nop(),
			Keys: []settings.AdminKey{{Team: "atlas", Key: atlasKey}, {Team: "atlas", Key: newKey}, {Team: "cooperative", Key: coopKey}, {Team: "*", Key: allKey}},
		}
		server.Provision(ln, memory.New(0))
		done := make(chan error, 1)
		go func() { done <- server.Run() }()
		DeferCleanup(func() {
			Expect(server.Shutdown(context.Background())).To(Succeed())
			Expect(<-done).To(Or(Succeed(), MatchError(net.ErrClosed)))
		})
		client = func(key string) *admin.Client {
			c, err := admin.NewClient([]string{address}, key)
			Expect(err).NotTo(HaveOccurred())
			return c
		}
	})
	// Guards against requests on which the HTTP library panics, which ended the daemon, and against
	// refusals without a verdict.
	DescribeTable("refuses what the HTTP library cannot take", func(request string, status int) {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(status))
		Expect(r.Header.Get(verdict.Header)).To(Equal("not-run"))
		_, err = client(allKey).Daemons(ctx)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("empty elements in the Trailer field", "GET /livez HTTP/1.1\r\nHost: h\r\nTrailer: ,,\r\n\r\n", 400),
		Entry("a target without a path or a host", "GET a: HTTP/1.0\r\n\r\n", 400),
		Entry("a non-numeric content length", "PUT /v1/services/x HTTP/1.1\r\nHost: h\r\nContent-Length: ten\r\n\r\n", 400),
		Entry("bytes that are not HTTP", "hello there\r\n\r\n", 400),
	)

	// Guards against an address for metrics that gives nothing, or not in the format that was asked for.
	It("answers with the metrics, and without keys", func() {
		for path, want := range map[string]string{"/livez": "ok\n", "/readyz": "ready\n", "/metrics": "# HELP answered_total Answers.\n"} {
			r, err := http.Get("http://" + address + path)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Body.Close()).To(Succeed())
			Expect(r.StatusCode).To(Equal(200))
			Expect(string(body)).To(HavePrefix(want))
			Expect(r.Header.Get("Content-Type")).To(HavePrefix("text/plain"))
		}
	})

	put := func(key string, version uint64, text string) (admin.Service, error) {
		name, _, _ := strings.Cut(strings.TrimPrefix(text, "service: "), "\n")
		return client(key).Put(ctx, name, version, []byte(text))
	}
	failure := func(err error) *admin.Failure {
		GinkgoHelper()
		var f *admin.Failure
		Expect(errors.As(err, &f)).To(BeTrue(), "%v", err)
		return f
	}
	const bonsDocument = "service: bons-chantier\nteam: atlas\nroutes: [{path: /bons}]\n"

	// Guards against a key that grants access to another team's services, and
	// against lost access while a team rotates its key.
	It("grants a key access to the services of its team only", func() {
		created, err := put(atlasKey, 0, bonsDocument)
		Expect(err).NotTo(HaveOccurred())
		for _, key := range []string{atlasKey, newKey, allKey} {
			Expect(client(key).Service(ctx, "bons-chantier")).To(HaveField("Version", created.Version))
			Expect(client(key).Services(ctx)).To(HaveLen(1))
		}
		Expect(client(coopKey).Services(ctx)).To(BeEmpty())
		cooperative := client(coopKey)
		for _, call := range []func() error{
			func() error { _, err := cooperative.Service(ctx, "bons-chantier"); return err },
			func() error { _, err := cooperative.History(ctx, "bons-chantier"); return err },
			func() error { _, err := cooperative.Status(ctx, "bons-chantier", false); return err },
			func() error { return cooperative.Delete(ctx, "bons-chantier", created.Version) },
			func() error { _, err := put(coopKey, created.Version, bonsDocument); return err },
			func() error {
				_, err := put(coopKey, created.Version, strings.Replace(bonsDocument, "atlas", "cooperative", 1))
				return err
			},
			func() error {
				_, err := put(atlasKey, created.Version, strings.Replace(bonsDocument, "atlas", "cooperative", 1))
				return err
			},
			func() error { return cooperative.Drain(ctx) },
		} {
			Expect(failure(call()).Reason).To(Equal(admin.ReasonForbidden))
		}
		Expect(fleet.drained.Load()).To(BeFalse())
		Expect(client(allKey).Drain(ctx)).To(Succeed())
		Expect(fleet.drained.Load()).To(BeTrue())
	})

	// Guards against calls that succeed without a key or with a prefix of one.
	DescribeTable("rejects calls without a valid key", func(method, path string) {
		for _, key := range []string{"", "Bearer ", "Bearer " + atlasKey[:10], "Bearer wrong"} {
			rq, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(bonsDocument))
			Expect(err).NotTo(HaveOccurred())
			rq.Header.Set("Authorization", key)
			rq.Header.Set("If-None-Match", "*")
			resp, err := http.DefaultClient.Do(rq)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(401), key)
		}
		Expect(backend.Counts().Writes).To(BeZero())
		Expect(fleet.drained.Load()).To(BeFalse())
	},
		Entry(nil, "GET", "/v1/services"), Entry(nil, "GET", "/v1/services/bons-chantier"),
		Entry(nil, "PUT", "/v1/services/bons-chantier"), Entry(nil, "DELETE", "/v1/services/bons-chantier"),
		Entry(nil, "POST", "/v1/validate"), Entry(nil, "GET", "/v1/services/bons-chantier/history"),
		Entry(nil, "GET", "/v1/services/bons-chantier/status"), Entry(nil, "GET", "/v1/daemons"), Entry(nil, "POST", "/v1/drain"))

	// Guards against an operator overwriting the concurrent change of another one.
	It("accepts one of several concurrent changes and returns the difference to the others", func() {
		created, err := put(atlasKey, 0, bonsDocument)
		Expect(err).NotTo(HaveOccurred())
		const racers = 8
		results := make(chan error, racers)
		for i := range racers {
			go func() {
				defer GinkgoRecover()
				_, err := put(atlasKey, created.Version, fmt.Sprintf("%slimits: {queue: %d}\n", bonsDocument, i+1))
				results <- err
			}()
		}
		accepted := 0
		var refused []*admin.Failure
		for range racers {
			if err := <-results; err == nil {
				accepted++
			} else {
				refused = append(refused, failure(err))
			}
		}
		Expect(accepted).To(Equal(1))
		current, err := client(atlasKey).Service(ctx, "bons-chantier")
		Expect(err).NotTo(HaveOccurred())
		for _, f := range refused {
			Expect(f.Reason).To(Equal(admin.ReasonConflict))
			Expect(f.Current.Document).To(Equal(current.Document))
			Expect(f.Submitted).NotTo(Equal(current.Document))
			Expect(f.Difference).To(And(ContainSubstring("-limits"), ContainSubstring("+limits")))
		}
		Expect(client(atlasKey).History(ctx, "bons-chantier")).To(HaveLen(2))
	})

	// Guards against wrong results after a lost reply: a stored change reported as
	// failed, a failed change reported as stored, or a change reported as not stored
	// although a delayed write may still take effect.
	DescribeTable("reads back after a lost reply to determine the outcome", func(lostReplies, lostWrites int, accepted bool) {
		created, err := put(atlasKey, 0, bonsDocument)
		Expect(err).NotTo(HaveOccurred())
		setLosses := func() {
			store.mu.Lock()
			defer store.mu.Unlock()
			store.lostReplies, store.lostWrites = lostReplies, lostWrites
		}
		setLosses()
		changed, err := put(atlasKey, created.Version, bonsDocument+"homes: {perDomain: 2}\n")
		if accepted {
			Expect(err).NotTo(HaveOccurred())
			Expect(changed.Version).To(BeNumerically(">", created.Version))
		} else {
			Expect(failure(err).Reason).To(Equal(admin.ReasonUnknownOutcome))
		}
		current, err := client(atlasKey).Service(ctx, "bons-chantier")
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Contains(current.Document, "perDomain")).To(Equal(accepted))
		setLosses()
		err = client(atlasKey).Delete(ctx, "bons-chantier", current.Version)
		_, getErr := client(atlasKey).Service(ctx, "bons-chantier")
		if accepted {
			Expect(err).NotTo(HaveOccurred())
			Expect(failure(getErr).Reason).To(Equal(admin.ReasonNotFound))
		} else {
			Expect(failure(err).Reason).To(Equal(admin.ReasonUnknownOutcome))
			Expect(getErr).NotTo(HaveOccurred())
		}
	},
		Entry("if the write took effect", 1, 0, true),
		Entry("if the write had no effect and its retry succeeds", 0, 1, true),
		Entry("if the write had no effect and the reply to its retry is lost", 1, 1, true),
		Entry("if the write and its retry had no effect", 0, 2, false))

	// Guards against storing an invalid document in part or whole, and against
	// reporting only the first problem.
	It("rejects an invalid document and reports all problems", func() {
		text := "service: bons-chantier\nteam: atlas\nflor: {}\nfloor: {share: 200%}\ntimeouts: {request: soon}\n"
		_, err := put(atlasKey, 0, text)
		f := failure(err)
		Expect(f.Reason).To(Equal(admin.ReasonInvalid))
		var fields []string
		for _, p := range f.Problems {
			fields = append(fields, p.Field)
			Expect(p.Line).To(BeNumerically(">", 0))
		}
		Expect(fields).To(ContainElements("flor", "floor.share", "timeouts.request"))
		Expect(failure(client(atlasKey).Validate(ctx, []byte(text))).Problems).To(HaveLen(len(f.Problems)))
		_, err = client(atlasKey).Put(ctx, "another-name", 0, []byte(bonsDocument))
		Expect(failure(err).Reason).To(Equal(admin.ReasonInvalid))
		Expect(backend.Counts().Writes).To(BeZero())
	})

	// Guards against a service that receives the requests of another one.
	DescribeTable("rejects a route that another service has", func(route string) {
		_, err := put(atlasKey, 0, bonsDocument)
		Expect(err).NotTo(HaveOccurred())
		_, err = put(coopKey, 0, "service: a-service\nteam: cooperative\nroutes: ["+route+"]\n")
		Expect(failure(err).Reason).To(Equal(admin.ReasonRouteTaken))
	},
		Entry("with the same path", "{path: /bons}"),
		Entry("with a trailing slash", "{path: /bons/}"))

	// Guards against a change without a version that overwrites another change.
	It("requires a version for changes and deletions", func() {
		created, err := put(atlasKey, 0, bonsDocument)
		Expect(err).NotTo(HaveOccurred())
		for _, method := range []string{"PUT", "DELETE"} {
			for _, version := range []string{"", "0", "x"} {
				rq, err := http.NewRequest(method, "http://"+address+"/v1/services/bons-chantier", strings.NewReader(bonsDocument))
				Expect(err).NotTo(HaveOccurred())
				rq.Header.Set("Authorization", "Bearer "+atlasKey)
				rq.Header.Set("If-Match", version)
				resp, err := http.DefaultClient.Do(rq)
				Expect(err).NotTo(HaveOccurred())
				resp.Body.Close()
				Expect(resp.StatusCode).To(Equal(428), "%s %q", method, version)
			}
		}
		_, err = put(atlasKey, 0, bonsDocument)
		Expect(failure(err).Reason).To(Equal(admin.ReasonConflict))
		f := failure(client(atlasKey).Delete(ctx, "bons-chantier", created.Version+7))
		Expect(f.Reason).To(Equal(admin.ReasonConflict))
		Expect(f.Current.Version).To(Equal(created.Version))
		Expect(client(atlasKey).Service(ctx, "bons-chantier")).To(HaveField("Version", created.Version))
	})

	// Guards against a history that loses a change, its author or its text, and
	// against changes that take effect during a platform outage.
	It("keeps a history and rejects changes while the platform is unavailable", func() {
		created, err := put(atlasKey, 0, bonsDocument)
		Expect(err).NotTo(HaveOccurred())
		changed, err := put(allKey, created.Version, bonsDocument+"# later\n")
		Expect(err).NotTo(HaveOccurred())
		entries, err := client(newKey).History(ctx, "bons-chantier")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(2))
		Expect(entries[0]).To(And(HaveField("Version", changed.Version), HaveField("Author", "*"), HaveField("Previous", created.Version)))
		Expect(entries[1]).To(And(HaveField("Author", "atlas"), HaveField("Document", bonsDocument)))

		backend.SetFaults(memstore.Faults{Down: true})
		_, err = put(atlasKey, changed.Version, bonsDocument)
		Expect(failure(err).Reason).To(Equal(admin.ReasonPlatformUnavailable))
		Expect(client(atlasKey).Services(ctx)).To(ConsistOf(HaveField("Version", changed.Version)))
	})
})
