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

// shortWrites is a listener whose connections shorten write deadlines to shortWriteTime.
type shortWrites struct{ net.Listener }

type shortWriteConn struct{ net.Conn }

const shortWriteTime = 300 * time.Millisecond

func (l shortWrites) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return shortWriteConn{c}, nil
}

func (c shortWriteConn) SetWriteDeadline(time.Time) error {
	return c.Conn.SetWriteDeadline(time.Now().Add(shortWriteTime))
}

var _ = Describe("Server with Expect: 100-continue", func() {
	// Guards against a request that is refused as late because the time to write the previous answer
	// of its connection is over.
	It("sends 100 Continue when the previous answer is longer ago than the write timeout", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		limits := ingress.Limits{Connections: 8, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 64, RequestArrival: 20 * time.Second, Idle: 20 * time.Second}
		server := ingress.New(shortWrites{ln}, func() ingress.Limits { return limits }, func(_ context.Context, r *ingress.Request, resp *protocol.Response) {
			resp.SetBodyString("got " + string(r.Body()))
		}, zerolog.Nop())
		go func() { _ = server.Run() }()
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			// It returns an error if connections of the test are still open.
			_ = server.Shutdown(ctx)
		})
		c := dial(ln.Addr().String())
		c.send(get, "1")
		_, _ = c.answer()
		time.Sleep(2 * shortWriteTime)
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
		c.expectContinue()
		c.send("abc")
		_, body := c.answer()
		Expect(body).To(Equal("got abc"))
	})
})
