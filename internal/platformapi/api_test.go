package platformapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/platformapi"
	"shallotglade/internal/testkit"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

func TestPlatformAPI(t *testing.T) {
	hlog.SetOutput(io.Discard)
	testkit.RunSpecs(t, "platform API")
}

// fleetKey is the bearer token of the tests.
const fleetKey = "fleet-key"

// serve runs a stand-in server until the end of the spec and returns its base URL.
func serve(store *memstore.Store) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := platformapi.New(platformapi.Config{Listener: listener, Store: store, Key: fleetKey})
	go func() { done <- server.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	return "http://" + listener.Addr().String()
}

func connect(urls ...string) *platform.Client {
	GinkgoHelper()
	return connectWith(fleetKey, urls...)
}

func connectWith(key string, urls ...string) *platform.Client {
	GinkgoHelper()
	c, err := platform.NewTransport(platform.TransportConfig{URLs: urls, Key: key})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return platform.NewClient(c)
}

// refusedURL returns the URL of an address on which no server listens.
func refusedURL() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return "http://" + listener.Addr().String()
}

// sentinel returns the error of package platform that err wraps, or err itself.
func sentinel(err error) error {
	for _, target := range []error{platform.ErrNotFound, platform.ErrConflict, platform.ErrTooLarge,
		platform.ErrUnavailable, platform.ErrUnknownOutcome} {
		if errors.Is(err, target) {
			return target
		}
	}
	return err
}

var _ = Describe("Client and stand-in", func() {
	ctx := context.Background()

	// Guards against differences between access over HTTP and direct access to
	// the store: normalized keys, lost precondition failures, wrong order or
	// revision of a watch, lost tombstones.
	It("behaves like direct access to the store", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			store, model := memstore.New(), memstore.New()
			c := connect(serve(store))
			keys := rapid.SliceOfN(rapid.OneOf(
				rapid.SampledFrom([]string{"a/b", "a//b", "a/../b", "..", "a%2Fb", "a b?x=1#y"}),
				rapid.StringN(1, 8, 40)), 1, 4).Draw(t, "keys")
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				version := rapid.Uint64Range(0, 6).Draw(t, "version")
				value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
				var got, want any
				var gotErr, wantErr error
				switch rapid.IntRange(0, 5).Draw(t, "call") {
				case 0:
					got, gotErr = c.Create(ctx, key, value)
					want, wantErr = model.Create(ctx, key, value)
				case 1:
					got, gotErr = c.Update(ctx, key, version, value)
					want, wantErr = model.Update(ctx, key, version, value)
				case 2:
					gotErr, wantErr = c.Delete(ctx, key, version), model.Delete(ctx, key, version)
				case 3:
					got, gotErr = c.Get(ctx, key)
					want, wantErr = model.Get(ctx, key)
				case 4:
					got, _, gotErr = c.List(ctx, key[:1])
					want, _, wantErr = model.List(ctx, key[:1])
				default:
					got, _, gotErr = c.Watch(ctx, "", version, 0)
					want, _, wantErr = model.Watch(ctx, "", version, 0)
				}
				if !errors.Is(sentinel(gotErr), sentinel(wantErr)) {
					t.Fatalf("%q: client returned %v, store %v", key, gotErr, wantErr)
				}
				gotJSON, wantJSON := mustJSON(got), mustJSON(want)
				if gotJSON != wantJSON {
					t.Fatalf("%q: client returned %s, store %s", key, gotJSON, wantJSON)
				}
			}
		})
	})

	// Guards against a write that took effect but is reported as without
	// effect, or as a conflict with itself because it was sent again.
	It("reports an unknown outcome and does not resend a write whose reply is lost", func() {
		store := memstore.New()
		c := connect(serve(store))
		_, err := c.Create(ctx, "first", []byte("1")) // adds a connection to the pool
		Expect(err).NotTo(HaveOccurred())
		for _, write := range []func() error{
			func() error { _, err := c.Create(ctx, "k", []byte("v")); return err },
			func() error { _, err := c.Update(ctx, "k", 2, []byte("w")); return err },
			func() error { return c.Delete(ctx, "k", 3) },
		} {
			before := store.Counts().Writes
			store.SetFaults(memstore.Faults{LoseReplies: 1})
			Expect(write()).To(MatchError(platform.ErrUnknownOutcome))
			Expect(store.Counts().Writes).To(Equal(before + 1))
			_, err := c.Get(ctx, "first") // adds a connection to the pool again
			Expect(err).NotTo(HaveOccurred())
		}
		objects, _, err := c.Watch(ctx, "k", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(Equal([]platform.Object{{Key: "k", Version: 4, Deleted: true}}))
	})

	// Guards against an unknown outcome for a write that certainly had no
	// effect, and against a client that keeps using an unreachable address.
	It("reports no effect for refused connections and 503, and tries the next address", func() {
		store := memstore.New()
		up, refused := serve(store), refusedURL()
		_, err := connect(refused).Create(ctx, "k", nil)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		_, err = connect(refused, up).Create(ctx, "k", nil)
		Expect(err).NotTo(HaveOccurred())
		store.SetFaults(memstore.Faults{Down: true})
		_, err = connect(refused, up).Create(ctx, "l", nil)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(err).NotTo(MatchError(platform.ErrUnknownOutcome))
		_, err = connectWith("other", up).Create(ctx, "m", nil)
		Expect(err).To(MatchError(platform.ErrUnavailable))
	})

	// Guards against a truncated or malformed reply to a write that is treated
	// as success or as a refusal, and against resending the write.
	DescribeTable("reports an unknown outcome for an incomplete or malformed reply", func(reply string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		var requests atomic.Int32
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if rq, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					requests.Add(1)
					_, _ = io.Copy(io.Discard, rq.Body)
				}
				_, _ = io.WriteString(conn, reply)
				_ = conn.Close()
			}
		}()
		_, err = connect("http://"+listener.Addr().String()).Create(ctx, "k", []byte("v"))
		Expect(err).To(MatchError(platform.ErrUnknownOutcome))
		Expect(requests.Load()).To(BeEquivalentTo(1))
	},
		Entry("no bytes", ""),
		Entry("half a header", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("half a body", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"key\":"),
		Entry("half an error", "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 400\r\n\r\n{"),
		Entry("another format", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
		Entry("gateway error", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"))

	// Guards against a call that continues after the end of its context, and
	// against a canceled write that is reported as without effect.
	It("returns when the context ends", func() {
		store := memstore.New()
		c := connect(serve(store))
		cancelCtx, cancel := context.WithCancel(ctx)
		result := make(chan error, 1)
		go func() { _, _, err := c.Watch(cancelCtx, "", 0, time.Second); result <- err }()
		Eventually(func() uint64 { return store.Counts().Watches }).Should(BeEquivalentTo(1))
		cancel()
		Eventually(result).Should(Receive(MatchError(context.Canceled)))
		_, err := c.Create(cancelCtx, "k", nil)
		Expect(err).To(MatchError(context.Canceled))
		Expect(err).NotTo(MatchError(platform.ErrUnknownOutcome))

		store.SetFaults(memstore.Faults{Latency: 200 * time.Millisecond})
		timeoutCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = c.Create(timeoutCtx, "k", nil)
		Expect(err).To(MatchError(platform.ErrUnknownOutcome))
	})

	// Guards against members that are lost or changed in transit.
	It("transfers the membership list and the faults", func() {
		store := memstore.New()
		base := serve(store)
		c := connect(base)
		m := platform.Member{ID: "d/1", Role: platform.RoleDaemon, Address: "10.0.0.1:80", Domain: "fes", State: platform.Live}
		Expect(send(http.MethodPut, base+"/v1/members/d%2F1", mustJSON(m))).To(Equal(http.StatusOK))
		members, revision, err := c.Members(ctx, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		m.Version = revision
		Expect(members).To(Equal([]platform.Member{m}))
		members, same, err := c.Members(ctx, revision, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(members).To(BeNil())
		Expect(same).To(Equal(revision))
		Expect(send(http.MethodDelete, base+"/v1/members/d%2F1", "")).To(Equal(http.StatusOK))
		Expect(send(http.MethodPut, base+"/standin/faults", `{"down":true}`)).To(Equal(http.StatusOK))
		_, _, err = c.Members(ctx, 0, 0)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(send(http.MethodGet, base+"/standin/counts", "")).To(Equal(http.StatusOK))
	})
})

func send(method, url, body string) int {
	GinkgoHelper()
	rq, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	rq.Header.Set("Authorization", "Bearer "+fleetKey)
	resp, err := http.DefaultClient.Do(rq)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp.StatusCode
}

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}
