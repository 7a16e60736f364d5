package peer_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"shallotglade/internal/testcerts"
	"shallotglade/internal/testkit"
	"shallotglade/pkg/peer"
)

func TestPeer(t *testing.T) { testkit.RunSpecs(t, "peer") }

func must[T any](v T, err error) T {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return v
}

func credentials(ca *testcerts.CA, id string, more ...*testcerts.CA) peer.Credentials {
	GinkgoHelper()
	cert, key, err := ca.Issue(id)
	Expect(err).NotTo(HaveOccurred())
	c := peer.Credentials{CA: []string{ca.PEM()}, Cert: cert, Key: key}
	for _, other := range more {
		c.CA = append(c.CA, other.PEM())
	}
	return c
}

// listen starts a node that is closed at the end of the spec.
func listen(c peer.Config) *peer.Node {
	GinkgoHelper()
	c.Listen = "127.0.0.1:0"
	n := must(peer.Listen(c))
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = n.Close(ctx)
	})
	return n
}

func echo(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
	return append([]byte(from.ID+":"), body...), nil
}

var _ = Describe("Node", func() {
	var (
		ca  *testcerts.CA
		ctx context.Context
	)
	BeforeEach(func() {
		// The check for leaked goroutines runs after the nodes are closed.
		leaks := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(leaks)).To(Succeed()) })
		ca = must(testcerts.NewCA("a"))
		timeoutCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
		ctx = timeoutCtx
	})
	pair := func(server, client peer.Config) (s, c *peer.Node) {
		server.Credentials, client.Credentials = credentials(ca, "server"), credentials(ca, "client")
		return listen(server), listen(client)
	}

	// Guards against a call that fails because its connection is renewed, and
	// against a renewed connection that stays open after its last call.
	It("renews a connection without interrupting calls in progress", func() {
		s, c := pair(peer.Config{}, peer.Config{})
		entered, release := make(chan struct{}), make(chan struct{})
		s.Handle("echo", echo)
		s.Handle("wait", func(context.Context, peer.Identity, []byte) ([]byte, error) {
			close(entered)
			<-release
			return []byte("done"), nil
		})
		waited := make(chan error, 1)
		go func() {
			_, err := c.Call(ctx, s.Addr(), "wait", nil)
			waited <- err
		}()
		<-entered
		c.RenewConnection(s.Addr())
		Expect(c.Call(ctx, s.Addr(), "echo", nil)).To(Equal([]byte("client:")))
		Expect(c.Stats().Dials).To(BeEquivalentTo(2))
		close(release)
		Expect(<-waited).To(Succeed())
		Eventually(func() int { return s.Stats().Incoming }).Should(Equal(1))
		c.RenewConnection(s.Addr())
		c.RenewConnection("127.0.0.1:9")
		Eventually(func() int { return s.Stats().Incoming }).Should(Equal(0))
	})

	// Guards against replies delivered to the wrong call, and against one
	// connection per call.
	It("returns the right reply to each of many concurrent calls over one connection", func() {
		s, c := pair(peer.Config{}, peer.Config{})
		s.Handle("echo", echo)
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() {
				defer GinkgoRecover()
				body := strings.Repeat(fmt.Sprint(i, " "), 1+i*40)
				Expect(string(must(c.Call(ctx, s.Addr(), "echo", []byte(body))))).To(Equal("client:" + body))
			})
		}
		wg.Wait()
		Expect(c.Stats().Dials).To(BeEquivalentTo(1))
		big := make([]byte, 5<<20)
		Expect(must(c.Call(ctx, s.Addr(), "echo", big))).To(HaveLen(len(big) + len("client:")))
	})

	// Guards against ErrNotSent for a request that may have run: every refusal
	// without a handler's effect is ErrNotSent, and every uncertain outcome is
	// ErrNoReply.
	It("distinguishes requests that did not run from those that may have run", func() {
		s, c := pair(peer.Config{MaxFrameBytes: 1 << 20}, peer.Config{DialTimeout: 200 * time.Millisecond})
		var ran atomic.Int32
		entered := make(chan struct{}, 1)
		s.Handle("hang", func(ctx context.Context, _ peer.Identity, _ []byte) ([]byte, error) {
			entered <- struct{}{}
			<-ctx.Done()
			ran.Add(1)
			return nil, ctx.Err()
		})
		s.Handle("refuse", func(context.Context, peer.Identity, []byte) ([]byte, error) {
			return nil, errors.Wrap(peer.ErrRefused, "not home")
		})
		s.Handle("bare", func(context.Context, peer.Identity, []byte) ([]byte, error) { return nil, peer.ErrRefused })
		s.Handle("fail", func(context.Context, peer.Identity, []byte) ([]byte, error) { return nil, errors.New("no") })
		s.Handle("panic", func(context.Context, peer.Identity, []byte) ([]byte, error) { panic("broken") })
		call := func(addr, kind string, size int) error {
			_, err := c.Call(ctx, addr, kind, make([]byte, size))
			return err
		}
		for name, err := range map[string]error{
			"no listener":      call("127.0.0.1:9", "hang", 0),
			"unknown kind":     call(s.Addr(), "other", 0),
			"server's limit":   call(s.Addr(), "hang", 2<<20),
			"client's limit":   call(s.Addr(), "hang", 9<<20),
			"handler refuses":  call(s.Addr(), "refuse", 0),
			"kind is too long": call(s.Addr(), strings.Repeat("k", 65), 0),
		} {
			Expect(errors.Is(err, peer.ErrNotSent)).To(BeTrue(), "%s: %v", name, err)
			Expect(errors.Is(err, peer.ErrNoReply)).To(BeFalse(), name)
		}
		bare := call(s.Addr(), "bare", 0)
		Expect(errors.Is(bare, peer.ErrNotSent)).To(BeTrue())
		Expect(errors.Is(bare, peer.ErrRefused)).To(BeFalse(), "a handler that returns this error must not refuse its own request")
		for _, kind := range []string{"fail", "panic"} {
			var remote *peer.RemoteError
			Expect(errors.As(call(s.Addr(), kind, 0), &remote)).To(BeTrue())
		}
		cancelled, cancel := context.WithCancel(ctx)
		go func() { <-entered; cancel() }()
		_, err := c.Call(cancelled, s.Addr(), "hang", nil)
		Expect(errors.Is(err, peer.ErrNoReply)).To(BeTrue())
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Eventually(ran.Load, 10*time.Second).Should(BeEquivalentTo(1), "the handler's context ends with the call")
		Expect(s.Stats().Panics).To(BeEquivalentTo(1))
	})

	// Guards against accepting daemons with a certificate of another CA, and
	// against an outage while the CA is replaced.
	It("verifies both sides and replaces keys without closing connections", func() {
		s, c := pair(peer.Config{}, peer.Config{})
		s.Handle("echo", echo)
		call := func(n *peer.Node) error { _, err := n.Call(ctx, s.Addr(), "echo", nil); return err }
		Expect(call(c)).To(Succeed())

		newCA := must(testcerts.NewCA("b"))
		stranger := listen(peer.Config{Credentials: credentials(newCA, "server")})
		Expect(errors.Is(call(stranger), peer.ErrNotSent)).To(BeTrue())
		newClient := listen(peer.Config{Credentials: credentials(newCA, "client", ca)})
		Expect(errors.Is(call(newClient), peer.ErrNotSent)).To(BeTrue(), "the server does not trust the client")

		Expect(s.Reload(credentials(ca, "server", newCA))).To(Succeed())
		Expect(call(c)).To(Succeed())
		Expect(call(newClient)).To(Succeed())
		Expect(s.Reload(credentials(newCA, "server"))).To(Succeed())
		Expect(call(c)).To(Succeed(), "an open connection survives")
		Expect(c.Stats().Dials).To(BeEquivalentTo(1))
		oldClient := listen(peer.Config{Credentials: credentials(ca, "client")})
		Expect(errors.Is(call(oldClient), peer.ErrNotSent)).To(BeTrue(), "the old CA is removed")
		Expect(s.Reload(peer.Credentials{CA: []string{"/nonexistent"}})).NotTo(Succeed())
		Expect(call(c)).To(Succeed())
	})

	// Guards against requests or replies that are lost when a daemon is replaced
	// in a rolling update.
	It("finishes running handlers before it closes", func() {
		s, c := pair(peer.Config{}, peer.Config{})
		entered, release := make(chan struct{}), make(chan struct{})
		s.Handle("slow", func(context.Context, peer.Identity, []byte) ([]byte, error) {
			close(entered)
			<-release
			return make([]byte, 3<<20), nil
		})
		type result struct {
			body []byte
			err  error
		}
		results := make(chan result, 1)
		go func() {
			body, err := c.Call(ctx, s.Addr(), "slow", nil)
			results <- result{body, err}
		}()
		<-entered
		closed := make(chan error, 1)
		go func() { closed <- s.Close(ctx) }()
		Eventually(func() bool {
			_, err := c.Call(ctx, s.Addr(), "slow", nil)
			return errors.Is(err, peer.ErrNotSent)
		}, 10*time.Second).Should(BeTrue(), "new requests are refused")
		Consistently(closed, 100*time.Millisecond).ShouldNot(Receive())
		close(release)
		r := <-results
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(HaveLen(3 << 20))
		Expect(<-closed).To(Succeed())
		_, err := s.Call(ctx, c.Addr(), "echo", nil)
		Expect(errors.Is(err, peer.ErrNotSent) && errors.Is(err, peer.ErrClosed)).To(BeTrue())
	})

	// Guards against a daemon that cannot exit because a handler is stuck.
	It("closes when its context ends although a handler is stuck", func() {
		s, c := pair(peer.Config{}, peer.Config{})
		entered, release := make(chan struct{}), make(chan struct{})
		s.Handle("stuck", func(context.Context, peer.Identity, []byte) ([]byte, error) {
			close(entered)
			<-release
			return nil, nil
		})
		failed := make(chan error, 1)
		go func() { _, err := c.Call(ctx, s.Addr(), "stuck", nil); failed <- err }()
		<-entered
		closeCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(s.Close(closeCtx)).To(MatchError(context.DeadlineExceeded))
		Expect(errors.Is(<-failed, peer.ErrNoReply)).To(BeTrue())
		close(release)
	})

	// Guards against a full mesh of 1,600 daemons, and against evicting a
	// connection in use.
	It("limits its connections and closes the one that is idle longest", func() {
		c := listen(peer.Config{Credentials: credentials(ca, "client"), MaxConns: 2, DialTimeout: 2 * time.Second})
		unblock, entered := make(chan struct{}), make(chan struct{}, 2)
		release := sync.OnceFunc(func() { close(unblock) })
		DeferCleanup(release)
		var addrs []string
		for i := range 3 {
			s := listen(peer.Config{Credentials: credentials(ca, fmt.Sprint("s", i)), MaxIncoming: 1})
			s.Handle("echo", echo)
			s.Handle("hold", func(context.Context, peer.Identity, []byte) ([]byte, error) {
				entered <- struct{}{}
				<-unblock
				return nil, nil
			})
			addrs = append(addrs, s.Addr())
		}
		call := func(addr, kind string) error { _, err := c.Call(ctx, addr, kind, nil); return err }
		for _, addr := range append(addrs, addrs...) {
			Expect(call(addr, "echo")).To(Succeed())
			Expect(c.Stats().Outgoing).To(BeNumerically("<=", 2))
		}
		heldCalls := make(chan error, 2)
		for _, addr := range addrs[1:] {
			go func() { heldCalls <- call(addr, "hold") }()
		}
		<-entered
		<-entered
		Expect(call(addrs[0], "echo")).To(MatchError(peer.ErrTooManyConnections))
		release()
		Expect(<-heldCalls).To(Succeed())
		Expect(<-heldCalls).To(Succeed())
		Expect(call(addrs[0], "echo")).To(Succeed())
	})

	// Guards against a silent peer that blocks calls to other peers, and against
	// calls that keep using a connection to a dead peer.
	It("is not blocked by a silent peer, and dials again", func() {
		var silenced atomic.Pointer[string]
		drop := func(from, to string) bool { addr := silenced.Load(); return addr != nil && from == *addr }
		s, c := pair(peer.Config{}, peer.Config{Drop: drop, DialTimeout: 300 * time.Millisecond})
		other := listen(peer.Config{Credentials: credentials(ca, "other")})
		s.Handle("echo", echo)
		other.Handle("echo", echo)
		Expect(c.Call(ctx, s.Addr(), "echo", nil)).NotTo(BeNil())
		addr := s.Addr()
		silenced.Store(&addr)
		shortCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, err := c.Call(shortCtx, addr, "echo", nil)
		Expect(errors.Is(err, peer.ErrNoReply)).To(BeTrue(), "the request arrives, only the reply is lost")
		Expect(c.Call(ctx, other.Addr(), "echo", nil)).NotTo(BeNil())
		_, err = c.Call(ctx, addr, "echo", nil)
		Expect(errors.Is(err, peer.ErrNotSent)).To(BeTrue(), "the next call dials and fails")
		silenced.Store(nil)
		Expect(c.Call(ctx, addr, "echo", nil)).NotTo(BeNil())
	})

	// Guards against overload of a daemon by forwarded requests.
	It("refuses requests beyond the maximum number of handlers", func() {
		s, c := pair(peer.Config{MaxHandlers: 1}, peer.Config{})
		entered, release := make(chan struct{}), make(chan struct{})
		s.Handle("hold", func(context.Context, peer.Identity, []byte) ([]byte, error) {
			close(entered)
			<-release
			return nil, nil
		})
		heldCall := make(chan error, 1)
		go func() { _, err := c.Call(ctx, s.Addr(), "hold", nil); heldCall <- err }()
		<-entered
		_, err := c.Call(ctx, s.Addr(), "hold", nil)
		Expect(errors.Is(err, peer.ErrNotSent)).To(BeTrue())
		close(release)
		Expect(<-heldCall).To(Succeed())
	})

	It("delivers small and large messages and recovers from panics of their handler", func() {
		s, c := pair(peer.Config{}, peer.Config{})
		got := make(chan int, 8)
		s.HandleMessage("m", func(_ context.Context, from peer.Identity, body []byte) {
			Expect(from.ID).To(Equal("client"))
			got <- len(body)
			panic("broken")
		})
		for _, size := range []int{10, 1000, 100_000} {
			Expect(c.Send(ctx, s.Addr(), "m", make([]byte, size))).To(Succeed())
			Eventually(got, 10*time.Second).Should(Receive(Equal(size)))
		}
		Expect(errors.Is(c.Send(ctx, s.Addr(), "m", make([]byte, 9<<20)), peer.ErrNotSent)).To(BeTrue())
	})

	It("reads credentials from files and owns only its host ids", func() {
		dir := GinkgoT().TempDir()
		Expect(testcerts.WriteDir(dir, "d1")).To(Succeed())
		n := listen(peer.Config{Credentials: peer.Credentials{CA: []string{dir + "/ca.pem"}, Cert: dir + "/d1.pem", Key: dir + "/d1-key.pem"}})
		Expect(n.ID()).To(Equal("d1"))
		Expect(os.ReadDir(dir)).To(HaveLen(3))
		for id, owned := range map[string]bool{"d1": true, "d1#17": true, "d12": false, "d2": false, "#1": false, "": false} {
			Expect(peer.Identity{ID: "d1"}.Owns(id)).To(Equal(owned), id)
		}
		Expect(peer.Identity{}.Owns("#1")).To(BeFalse())
	})
})
