package ingress_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/ingress"
)

// slowListener delays the first accept, as a host without processor time does.
type slowListener struct {
	*net.TCPListener
	delayed bool
}

func (l *slowListener) Accept() (net.Conn, error) {
	if !l.delayed {
		l.delayed = true
		time.Sleep(15 * time.Millisecond)
	}
	return l.TCPListener.Accept()
}

// starvedListener accepts connections whose reader runs once and then waits for its turn, as on a
// host without processor time.
type starvedListener struct {
	net.Listener
	turn chan struct{}
}

func (l *starvedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &starvedConn{TCPConn: c.(*net.TCPConn), turn: l.turn}, nil
}

type starvedConn struct {
	*net.TCPConn
	hasRun bool
	turn   <-chan struct{}
}

func (c *starvedConn) Read(p []byte) (int, error) {
	if c.hasRun {
		<-c.turn
	}
	c.hasRun = true
	return c.TCPConn.Read(p)
}

var _ = Describe("Server on a slow host", func() {
	requestBytes := len(fmt.Sprintf(get, "1"))
	startStarved := func(handler ingress.Handler) (server *ingress.Server, c *caller, turn chan struct{}) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		turn = make(chan struct{})
		limits := ingress.Limits{Connections: 8, MaxHeaderBytes: 1 << 10, RequestArrival: 20 * time.Second, Idle: 20 * time.Second}
		server = ingress.New(&starvedListener{ln, turn}, func() ingress.Limits { return limits }, handler, zerolog.Nop())
		go func() { _ = server.Run() }()
		c = dial(ln.Addr().String())
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			// It returns an error if connections of the test are still open.
			_ = server.Shutdown(ctx)
		})
		return server, c, turn
	}

	// Guards against dropping requests that arrived behind others before the stop, and were not read
	// in time.
	It("answers requests that have arrived behind others and are not read when it stops", func() {
		begun, release := make(chan string, 8), make(chan struct{})
		server, c, turn := startStarved(func(_ context.Context, r *ingress.Request, resp *protocol.Response) {
			begun <- string(r.Path())
			<-release
			resp.SetBody(r.Path())
		})
		c.send(get, "1")
		Eventually(begun).Should(Receive(Equal("/1")))
		c.send(get+get, "2", "3")
		Eventually(server.ArrivedBytes).Should(BeEquivalentTo(3 * requestBytes))
		server.EndAfterAnswer()
		c.send(get, "4")
		close(turn)
		Eventually(begun).Should(HaveLen(2))
		close(release)
		for _, path := range []string{"/1", "/2", "/3"} {
			r, body := c.answer()
			Expect(body).To(Equal(path))
			Expect(r.Close).To(Equal(path == "/3"))
		}
		Expect(c.ended()).To(BeEmpty())
		Expect(begun).To(HaveLen(2))
	})

	// Guards against resetting an idle connection whose next request has arrived.
	It("answers a request that has arrived on an idle connection and is not read when it drains", func() {
		server, c, turn := startStarved(func(_ context.Context, r *ingress.Request, resp *protocol.Response) { resp.SetBody(r.Path()) })
		c.send(get, "1")
		_, body := c.answer()
		Expect(body).To(Equal("/1"))
		c.send(get, "2")
		Eventually(server.ArrivedBytes).Should(BeEquivalentTo(2 * requestBytes))
		server.Drain()
		time.Sleep(20 * time.Millisecond)
		close(turn)
		r, body := c.answer()
		Expect(body).To(Equal("/2"))
		Expect(r.Close).To(BeTrue())
	})

	// Guards against resetting a complete connection at the drain because the time to wait for the
	// next one was over before the server could look for it.
	It("answers the request of a connection that is not accepted when it drains", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		limits := ingress.Limits{Connections: 8, MaxHeaderBytes: 1 << 10, RequestArrival: 20 * time.Second, Idle: 20 * time.Second}
		server := ingress.New(&slowListener{TCPListener: ln.(*net.TCPListener)}, func() ingress.Limits { return limits }, func(_ context.Context, _ *ingress.Request, resp *protocol.Response) {
			resp.SetBodyString("served")
		}, zerolog.Nop())
		c := dial(ln.Addr().String())
		c.send(get, "1")
		ran := make(chan error, 1)
		server.Drain()
		go func() { ran <- server.Run() }()
		_, body := c.answer()
		Expect(body).To(Equal("served"))
		Expect(c.Close()).To(Succeed())
		Expect(server.Shutdown(context.Background())).To(Succeed())
		Eventually(ran).Should(Receive(BeNil()))
	})
})
