package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/listener"
	"shallotglade/pkg/verdict"
)

func TestListener(t *testing.T) {
	hlog.SetOutput(io.Discard)
	testkit.RunSpecs(t, "listener")
}

// patience bounds what must happen at some time; no spec passes by it.
const patience = 10 * time.Second

var _ = Describe("Listener", func() {
	var (
		l       *listener.Listener
		started chan struct{}
		finish  chan struct{}
	)
	// serve runs an HTTP server whose handler reports its start and, for /slow,
	// waits for finish.
	serve := func(limits listener.Limits) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l, started, finish = listener.New(ln, limits), make(chan struct{}, 100), make(chan struct{})
		h := server.New(server.WithListener(l), server.WithTransport(standard.NewTransporter), server.WithOnAccept(listener.ContextFor),
			server.WithReadTimeout(patience), server.WithIdleTimeout(patience), server.WithDisablePrintRoute(true))
		started, finish := started, finish
		h.NoRoute(func(ctx context.Context, c *app.RequestContext) {
			listener.Begin(ctx)
			started <- struct{}{}
			if string(c.Path()) == "/slow" {
				<-finish
			}
			c.String(200, "body of %s", c.Request.Body())
			if listener.Ending(ctx) {
				c.SetConnectionClose()
			}
		})
		done := make(chan error, 1)
		go func() { done <- h.Run() }()
		DeferCleanup(func() {
			l.Drain()
			Expect(h.Shutdown(context.Background())).To(Succeed())
			Eventually(done, patience).Should(Receive())
		})
	}
	dial := func() (net.Conn, *bufio.Reader) {
		GinkgoHelper()
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		Expect(c.SetDeadline(time.Now().Add(patience))).To(Succeed())
		return c, bufio.NewReader(c)
	}
	send := func(c net.Conn, text string) {
		GinkgoHelper()
		_, err := io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
	}
	receive := func(r *bufio.Reader) (*http.Response, string) {
		GinkgoHelper()
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, string(body)
	}
	wide := listener.Limits{RequestArrival: patience, Connections: 100}
	const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

	// Guards against more connections than the host can hold, and against a
	// closed connection that still counts.
	It("closes connections beyond the limit and takes new ones when others end", func() {
		serve(listener.Limits{RequestArrival: patience, Connections: 2})
		a, ra := dial()
		_, _ = dial()
		Eventually(l.Open, patience).Should(Equal(2))
		_, rc := dial()
		_, err := rc.ReadByte()
		Expect(err).To(HaveOccurred())
		send(a, get)
		_, _ = receive(ra)
		a.Close()
		Eventually(l.Open, patience).Should(Equal(1))
		d, rd := dial()
		send(d, get)
		resp, _ := receive(rd)
		Expect(resp.StatusCode).To(Equal(200))
	})

	// Guards against a sender that holds a connection by sending a byte now and
	// then, and against a connection that is cut because it waits between
	// requests.
	It("bounds the arrival of a request and not the time between requests", func() {
		serve(listener.Limits{RequestArrival: 50 * time.Millisecond, Connections: 10})
		c, r := dial()
		send(c, get)
		_, _ = receive(r)
		time.Sleep(100 * time.Millisecond) // longer than RequestArrival
		send(c, get)
		resp, _ := receive(r)
		Expect(resp.StatusCode).To(Equal(200))
		send(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
		var err error
		for end := time.Now().Add(patience); err == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
			_, err = io.WriteString(c, "a")
		}
		Expect(err).To(HaveOccurred())
		Expect(started).To(HaveLen(2))
	})

	// Guards against a daemon that cuts a request when it leaves, and against
	// one that never leaves because a connection stays open.
	It("ends idle connections at once and others after their request", func() {
		serve(wide)
		idle, idleReader := dial()
		send(idle, get)
		_, _ = receive(idleReader)
		running, runningReader := dial()
		send(running, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		arriving, arrivingReader := dial()
		send(arriving, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
		Eventually(started, patience).Should(HaveLen(2))
		Eventually(l.Arriving, patience).Should(Equal(1))
		l.Drain()
		_, err := idleReader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		send(arriving, "cd")
		resp, body := receive(arrivingReader)
		Expect(body).To(Equal("body of abcd"))
		Expect(resp.Close).To(BeTrue())
		close(finish)
		resp, _ = receive(runningReader)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(resp.Close).To(BeTrue())
		Eventually(l.Open, patience).Should(BeZero())
	})

	// Guards against a caller that asks before it sends its body and is cut
	// by a drain in between, although its request has begun.
	It("takes the body of a request that was told to continue before the drain", func() {
		serve(wide)
		c, r := dial()
		send(c, "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(HavePrefix("HTTP/1.1 100"))
		_, err = r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		l.Drain()
		send(c, "abcd")
		_, body := receive(r)
		Expect(body).To(Equal("body of abcd"))
	})

	// Guards against a refusal by the HTTP library that a caller must take for
	// "may have run".
	DescribeTable("marks refusals of the HTTP library as not run", func(text string) {
		serve(wide)
		c, r := dial()
		send(c, get)
		resp, _ := receive(r)
		Expect(resp.Header.Values(verdict.Header)).To(BeEmpty())
		send(c, text)
		resp, _ = receive(r)
		Expect(resp.StatusCode).To(BeNumerically(">=", 400))
		Expect(resp.Header.Values(verdict.Header)).To(Equal([]string{"not-run"}))
		Expect(started).To(HaveLen(1))
	},
		Entry("of a wrong length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ten\r\n\r\n"),
		Entry("of what is no HTTP", "hello there\r\n\r\n"))

	// Guards against a mark inside a body: an answer that looks like a status
	// line must arrive as the handler wrote it, also in several pieces.
	It("leaves the answers of handlers as they are", func() {
		serve(wide)
		c, r := dial()
		text := strings.Repeat("HTTP/1.1 400 Bad Request\r\n\r\n", 10_000)
		send(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
		resp, body := receive(r)
		Expect(resp.Header.Values(verdict.Header)).To(BeEmpty())
		Expect(body == "body of "+text).To(BeTrue())
	})
})
