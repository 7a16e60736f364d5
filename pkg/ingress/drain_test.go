package ingress_test

import (
	"context"
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

var _ = Describe("Server on a slow host", func() {
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
