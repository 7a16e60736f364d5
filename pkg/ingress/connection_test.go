package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/ingress"
	"shallotglade/pkg/verdict"
)

// eventTimeout limits the wait for expected events. No spec passes by reaching it.
const eventTimeout = 10 * time.Second

var _ = Describe("Connections", func() {
	var (
		l       *ingress.Server
		address string
		started chan struct{}
		finish  chan struct{}
	)
	// serve runs a server. Its handler sends to started and, for /slow, waits for finish.
	serve := func(limits ingress.Limits) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address, started, finish = ln.Addr().String(), make(chan struct{}, 100), make(chan struct{})
		started, finish := started, finish
		limits.MaxHeaderBytes, limits.MaxBodyBytes, limits.Idle = 1<<10, 1<<20, eventTimeout
		l = ingress.New(ln, func() ingress.Limits { return limits }, func(_ context.Context, r *ingress.Request, answer *protocol.Response) {
			started <- struct{}{}
			if string(r.Header.RequestURI()) == "/slow" {
				<-finish
			}
			answer.SetBodyString("body of " + string(r.Body()))
		}, zerolog.Nop())
		l.OnRefusal = func(answer *protocol.Response) { answer.Header.Set(verdict.Header, verdict.NotRun.String()) }
		done := make(chan error, 1)
		go func() { done <- l.Run() }()
		DeferCleanup(func() {
			l.Drain()
			Expect(l.Shutdown(context.Background())).To(Succeed())
			Eventually(done, eventTimeout).Should(Receive())
		})
	}
	dial := func() (net.Conn, *bufio.Reader) {
		GinkgoHelper()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		Expect(c.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
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
	defaultLimits := ingress.Limits{RequestArrival: eventTimeout, Connections: 100}
	const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

	// Guards against more connections than the host can handle, and against
	// closed connections that still count towards the limit.
	It("closes connections beyond the limit and accepts new ones when others close", func() {
		serve(ingress.Limits{RequestArrival: eventTimeout, Connections: 2})
		a, ra := dial()
		_, _ = dial()
		Eventually(l.Open, eventTimeout).Should(Equal(2))
		_, rc := dial()
		_, err := rc.ReadByte()
		Expect(err).To(HaveOccurred())
		send(a, get)
		_, _ = receive(ra)
		a.Close()
		Eventually(l.Open, eventTimeout).Should(Equal(1))
		d, rd := dial()
		send(d, get)
		resp, _ := receive(rd)
		Expect(resp.StatusCode).To(Equal(200))
	})

	// Guards against a client that occupies a connection by sending a byte from
	// time to time, and against a connection that is closed while it is idle
	// between requests.
	It("limits the arrival time of a request but not the time between requests", func() {
		serve(ingress.Limits{RequestArrival: 50 * time.Millisecond, Connections: 10})
		c, r := dial()
		send(c, get)
		_, _ = receive(r)
		time.Sleep(100 * time.Millisecond) // longer than RequestArrival
		send(c, get)
		resp, _ := receive(r)
		Expect(resp.StatusCode).To(Equal(200))
		send(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
		var err error
		for end := time.Now().Add(eventTimeout); err == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
			_, err = io.WriteString(c, "a")
		}
		Expect(err).To(HaveOccurred())
		Expect(started).To(HaveLen(2))
	})

	// Guards against a draining daemon that aborts a request, and against one that
	// never stops because a connection stays open.
	It("closes idle connections at once and others after their request", func() {
		serve(defaultLimits)
		idle, idleReader := dial()
		send(idle, get)
		_, _ = receive(idleReader)
		running, runningReader := dial()
		send(running, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		arriving, arrivingReader := dial()
		send(arriving, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
		Eventually(started, eventTimeout).Should(HaveLen(2))
		Eventually(l.Arriving, eventTimeout).Should(Equal(1))
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
		Eventually(l.Open, eventTimeout).Should(BeZero())
	})

	// Guards against a drain that aborts a request between 100 Continue and its
	// body.
	It("reads the body of a request that received 100 Continue before the drain", func() {
		serve(defaultLimits)
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

	// Guards against a refusal by the HTTP library without a verdict, which a
	// caller must treat as "may-have-run".
	DescribeTable("marks refusals of the HTTP library as not run", func(text string) {
		serve(defaultLimits)
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
		Entry("of an invalid Content-Length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ten\r\n\r\n"),
		Entry("of bytes that are not HTTP", "hello there\r\n\r\n"))

	// Guards against a verdict that is inserted into a body. A body that looks
	// like a status line must arrive unchanged, even if written in several parts.
	It("does not change the answers of handlers", func() {
		serve(defaultLimits)
		c, r := dial()
		text := strings.Repeat("HTTP/1.1 400 Bad Request\r\n\r\n", 10_000)
		send(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
		resp, body := receive(r)
		Expect(resp.Header.Values(verdict.Header)).To(BeEmpty())
		Expect(body == "body of "+text).To(BeTrue())
	})
})
