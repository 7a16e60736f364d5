package admin_test

import (
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
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/telemetry"
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

// droppingStore loses writes: they have no effect and return ErrUnknownOutcome.
// With replies set they take effect and only the reply is lost.
type droppingStore struct {
	platform.Store
	mu            sync.Mutex
	drop, replies int
}

// lose reports whether to lose this write, and whether it takes effect.
func (s *droppingStore) lose() (lost, runs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drop > 0 {
		s.drop--
		return true, false
	}
	if s.replies > 0 {
		s.replies--
		return true, true
	}
	return false, true
}

func (s *droppingStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	return s.write(func() (platform.Object, error) { return s.Store.Create(ctx, key, value) })
}

func (s *droppingStore) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	return s.write(func() (platform.Object, error) { return s.Store.Update(ctx, key, version, value) })
}

func (s *droppingStore) Delete(ctx context.Context, key string, version uint64) error {
	_, err := s.write(func() (platform.Object, error) { return platform.Object{}, s.Store.Delete(ctx, key, version) })
	return err
}

func (s *droppingStore) write(f func() (platform.Object, error)) (o platform.Object, err error) {
	lost, runs := s.lose()
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
		behind  *memstore.Store
		store   *droppingStore
		fleet   *fakeFleet
		address string
		client  func(key string) *admin.Client
	)
	BeforeEach(func() {
		ctx, behind, fleet = context.Background(), memstore.New(), &fakeFleet{}
		store = &droppingStore{Store: behind}
		board, metrics := blackboard.New("d1", "fes"), telemetry.NewMetrics()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		server := &admin.Server{
			Documents: &admin.Documents{
				Store: store, Board: board, History: &history.Log{Store: store}, Log: zerolog.Nop(), Now: time.Now,
				Publish: catalog.New(board, zerolog.Nop(), metrics).Changed,
			},
			Fleet: fleet, Registry: prometheus.NewRegistry(), Log: zerolog.Nop(),
			Keys: []settings.AdminKey{{Team: "atlas", Key: atlasKey}, {Team: "atlas", Key: newKey}, {Team: "cooperative", Key: coopKey}, {Team: "*", Key: allKey}},
		}
		server.Provision(ln)
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
	const bons = "service: bons-chantier\nteam: atlas\nroutes: [{path: /bons}]\n"

	// Guards against a key that reaches another team's services, and against an
	// outage while a team changes its key.
	It("lets a key reach its team's services only", func() {
		created, err := put(atlasKey, 0, bons)
		Expect(err).NotTo(HaveOccurred())
		for _, key := range []string{atlasKey, newKey, allKey} {
			Expect(client(key).Service(ctx, "bons-chantier")).To(HaveField("Version", created.Version))
			Expect(client(key).Services(ctx)).To(HaveLen(1))
		}
		Expect(client(coopKey).Services(ctx)).To(BeEmpty())
		other := client(coopKey)
		for _, call := range []func() error{
			func() error { _, err := other.Service(ctx, "bons-chantier"); return err },
			func() error { _, err := other.History(ctx, "bons-chantier"); return err },
			func() error { _, err := other.Status(ctx, "bons-chantier", false); return err },
			func() error { return other.Delete(ctx, "bons-chantier", created.Version) },
			func() error { _, err := put(coopKey, created.Version, bons); return err },
			func() error {
				_, err := put(coopKey, created.Version, strings.Replace(bons, "atlas", "cooperative", 1))
				return err
			},
			func() error {
				_, err := put(atlasKey, created.Version, strings.Replace(bons, "atlas", "cooperative", 1))
				return err
			},
			func() error { return other.Drain(ctx) },
		} {
			Expect(failure(call()).Reason).To(Equal(admin.ReasonForbidden))
		}
		Expect(fleet.drained.Load()).To(BeFalse())
		Expect(client(allKey).Drain(ctx)).To(Succeed())
		Expect(fleet.drained.Load()).To(BeTrue())
	})

	// Guards against any call that works without a key or with a part of one.
	DescribeTable("refuses without a valid key", func(method, path string) {
		for _, key := range []string{"", "Bearer ", "Bearer " + atlasKey[:10], "Bearer wrong"} {
			rq, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(bons))
			Expect(err).NotTo(HaveOccurred())
			rq.Header.Set("Authorization", key)
			rq.Header.Set("If-None-Match", "*")
			resp, err := http.DefaultClient.Do(rq)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(401), key)
		}
		Expect(behind.Counts().Writes).To(BeZero())
		Expect(fleet.drained.Load()).To(BeFalse())
	},
		Entry(nil, "GET", "/v1/services"), Entry(nil, "GET", "/v1/services/bons-chantier"),
		Entry(nil, "PUT", "/v1/services/bons-chantier"), Entry(nil, "DELETE", "/v1/services/bons-chantier"),
		Entry(nil, "POST", "/v1/validate"), Entry(nil, "GET", "/v1/services/bons-chantier/history"),
		Entry(nil, "GET", "/v1/services/bons-chantier/status"), Entry(nil, "GET", "/v1/daemons"), Entry(nil, "POST", "/v1/drain"))

	// Guards against one of two operators overwriting the other unseen.
	It("accepts one of several racing changes and shows the others the difference", func() {
		created, err := put(atlasKey, 0, bons)
		Expect(err).NotTo(HaveOccurred())
		const racers = 8
		results := make(chan error, racers)
		for i := range racers {
			go func() {
				defer GinkgoRecover()
				_, err := put(atlasKey, created.Version, fmt.Sprintf("%slimits: {queue: %d}\n", bons, i+1))
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
			Expect(f.Yours).NotTo(Equal(current.Document))
			Expect(f.Difference).To(And(ContainSubstring("-limits"), ContainSubstring("+limits")))
		}
		Expect(client(atlasKey).History(ctx, "bons-chantier")).To(HaveLen(2))
	})

	// Guards against a change that is reported as failed although it is stored,
	// or as stored although it is not, and against one that is reported as not
	// stored although a delayed write may still take effect.
	DescribeTable("settles a lost reply by reading back", func(replies, drop int, accepted bool) {
		created, err := put(atlasKey, 0, bons)
		Expect(err).NotTo(HaveOccurred())
		lose := func() {
			store.mu.Lock()
			defer store.mu.Unlock()
			store.replies, store.drop = replies, drop
		}
		lose()
		changed, err := put(atlasKey, created.Version, bons+"homes: {perDomain: 2}\n")
		if accepted {
			Expect(err).NotTo(HaveOccurred())
			Expect(changed.Version).To(BeNumerically(">", created.Version))
		} else {
			Expect(failure(err).Reason).To(Equal(admin.ReasonUnknown))
		}
		current, err := client(atlasKey).Service(ctx, "bons-chantier")
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Contains(current.Document, "perDomain")).To(Equal(accepted))
		lose()
		err = client(atlasKey).Delete(ctx, "bons-chantier", current.Version)
		_, getErr := client(atlasKey).Service(ctx, "bons-chantier")
		if accepted {
			Expect(err).NotTo(HaveOccurred())
			Expect(failure(getErr).Reason).To(Equal(admin.ReasonNotFound))
		} else {
			Expect(failure(err).Reason).To(Equal(admin.ReasonUnknown))
			Expect(getErr).NotTo(HaveOccurred())
		}
	},
		Entry("of a write that took effect", 1, 0, true),
		Entry("of a write that did not, and is sent again", 0, 1, true),
		Entry("of both, the second of which took effect", 1, 1, true),
		Entry("of two writes without effect", 0, 2, false))

	// Guards against a document that is stored in part or in spite of problems,
	// and against problems that come one at a time.
	It("refuses a bad document whole with every problem", func() {
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
		_, err = client(atlasKey).Put(ctx, "another-name", 0, []byte(bons))
		Expect(failure(err).Reason).To(Equal(admin.ReasonInvalid))
		Expect(behind.Counts().Writes).To(BeZero())
	})

	// Guards against a service that takes the requests of another one.
	DescribeTable("refuses a route that another service has", func(route string) {
		_, err := put(atlasKey, 0, bons)
		Expect(err).NotTo(HaveOccurred())
		_, err = put(coopKey, 0, "service: a-service\nteam: cooperative\nroutes: ["+route+"]\n")
		Expect(failure(err).Reason).To(Equal(admin.ReasonRouteTaken))
	},
		Entry("as it is written there", "{path: /bons}"),
		Entry("written with a slash at the end", "{path: /bons/}"))

	// Guards against a change that names no version overwriting another.
	It("requires a version for changes and deletions", func() {
		created, err := put(atlasKey, 0, bons)
		Expect(err).NotTo(HaveOccurred())
		for _, method := range []string{"PUT", "DELETE"} {
			for _, version := range []string{"", "0", "x"} {
				rq, err := http.NewRequest(method, "http://"+address+"/v1/services/bons-chantier", strings.NewReader(bons))
				Expect(err).NotTo(HaveOccurred())
				rq.Header.Set("Authorization", "Bearer "+atlasKey)
				rq.Header.Set("If-Match", version)
				resp, err := http.DefaultClient.Do(rq)
				Expect(err).NotTo(HaveOccurred())
				resp.Body.Close()
				Expect(resp.StatusCode).To(Equal(428), "%s %q", method, version)
			}
		}
		_, err = put(atlasKey, 0, bons)
		Expect(failure(err).Reason).To(Equal(admin.ReasonConflict))
		f := failure(client(atlasKey).Delete(ctx, "bons-chantier", created.Version+7))
		Expect(f.Reason).To(Equal(admin.ReasonConflict))
		Expect(f.Current.Version).To(Equal(created.Version))
		Expect(client(atlasKey).Service(ctx, "bons-chantier")).To(HaveField("Version", created.Version))
	})

	// Guards against a history that loses a change, its author or its text, and
	// against changes or answers that change something during an outage.
	It("keeps a history and changes nothing while the platform is away", func() {
		created, err := put(atlasKey, 0, bons)
		Expect(err).NotTo(HaveOccurred())
		changed, err := put(allKey, created.Version, bons+"# later\n")
		Expect(err).NotTo(HaveOccurred())
		entries, err := client(newKey).History(ctx, "bons-chantier")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(2))
		Expect(entries[0]).To(And(HaveField("Version", changed.Version), HaveField("Author", "*"), HaveField("Previous", created.Version)))
		Expect(entries[1]).To(And(HaveField("Author", "atlas"), HaveField("Document", bons)))

		behind.SetFaults(memstore.Faults{Down: true})
		_, err = put(atlasKey, changed.Version, bons)
		Expect(failure(err).Reason).To(Equal(admin.ReasonPlatform))
		Expect(client(atlasKey).Services(ctx)).To(ConsistOf(HaveField("Version", changed.Version)))
	})
})
