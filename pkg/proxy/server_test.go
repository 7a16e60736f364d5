package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// slowSender echoes the body after a delay that depends on its length, so that
// requests finish out of order. For a request with the body heldBody, it closes begun
// and waits for release.
type slowSender struct {
	scriptedSender
	begun, release chan struct{}
}

const heldBody = "held"

func (s *slowSender) Do(ctx context.Context, t upstream.Target, r *upstream.Request) upstream.Result {
	if string(r.Body) == heldBody {
		close(s.begun)
		<-s.release
		return s.scriptedSender.Do(ctx, t, r)
	}
	select {
	case <-time.After(time.Duration(len(r.Body)%7) * 5 * time.Millisecond):
	case <-ctx.Done():
		return upstream.Result{Kind: upstream.Timeout, Verdict: verdict.MayHaveRun, Err: ctx.Err()}
	}
	return s.scriptedSender.Do(ctx, t, r)
}

var _ = Describe("Server", func() {
	var address string
	var server *proxy.Server
	var board *blackboard.Board
	var sender *slowSender
	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		sender = &slowSender{scriptedSender: scriptedSender{runs: map[string]int{}}, begun: make(chan struct{}), release: make(chan struct{})}
		p := newProxy("home-1", ordersDocument+"requests: {key: optional}\ntimeouts: {request: 200ms}\n", memstore.New(), sender, &directory{})
		board = p.Board
		server = proxy.NewServer(ln, func() settings.Callers {
			return settings.Callers{
				MaxConnections: 200, MaxHeaderBytes: 4096, MaxBodyBytes: 1000, RequestArrival: 200 * time.Millisecond, Idle: time.Second,
			}
		}, p, func(dialect.AddressQuery) (dialect.AddressAnswer, *verdict.Error) {
			return dialect.AddressAnswer{Service: "orders", Addresses: []string{"127.0.0.1:1"}, Lifetime: time.Second}, nil
		})
		go func() { _ = server.Run() }()
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = server.Shutdown(ctx)
		})
	})
	// sendRaw sends raw bytes and returns the first response.
	sendRaw := func(text string) *http.Response {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	DescribeTable("answers bad input with a 4xx and the verdict not-run",
		func(text string, status int) {
			r := sendRaw(text)
			Expect(r.StatusCode).To(Equal(status))
			Expect(r.Header.Values(verdict.Header)).To(Equal([]string{"not-run"}))
		},
		Entry("not HTTP", "hello there\r\n\r\n", 400),
		Entry("a header without a colon, for which the HTTP library would read until the timeout", "GET / HTTP/1.1\r\nHost: x\r\nbroken\r\n\r\n", 400),
		Entry("a non-numeric content length", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: ten\r\n\r\n", 400),
		Entry("a large header", "GET / HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("a", 8000)+"\r\n\r\n", 431),
		Entry("a large body", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("a", 2000), 413),
		Entry("an unknown service", "GET / HTTP/1.1\r\nHost: x\r\nShallotglade-Service: nobody\r\n\r\n", 404),
		Entry("a bad deadline", "GET / HTTP/1.1\r\nHost: x\r\nShallotglade-Service: orders\r\nShallotglade-Deadline-Ms: soon\r\n\r\n", 400),
		Entry("an invalid host", "GET / HTTP/1.1\r\nHost: a/b@c\r\nShallotglade-Service: orders\r\n\r\n", 400),
	)

	// Guards against serving a request whose body was dropped because it had no route yet.
	It("does not serve a request without its body when its route appears meanwhile", func() {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: x\r\nShallotglade-Service: late\r\nContent-Length: 4\r\n\r\nab")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		doc, problems := document.Parse("d", []byte("service: late\nrequests: {key: none}\n"))
		Expect(problems).To(BeEmpty())
		Expect(board.PutDocument(doc, 2, nil)).To(BeTrue())
		_, err = io.WriteString(c, "cd")
		Expect(err).NotTo(HaveOccurred())
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(503))
		Expect(r.Header.Get(verdict.Header)).To(Equal("not-run"))
	})

	// Guards against a slow client that keeps its connection open forever.
	It("closes the connection of a request that arrives too slowly", func() {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n")
		start := time.Now()
		for time.Since(start) < 5*time.Second {
			if _, err = io.WriteString(c, "a"); err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		Expect(err).To(HaveOccurred())
	})

	// Guards against reused buffers of the HTTP library that leak one caller's answer
	// to another, even when requests time out.
	It("returns each caller its own answer while others time out or disconnect", func() {
		var wg sync.WaitGroup
		for worker := range 20 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for i := range 30 {
					body := strings.Repeat(fmt.Sprintf("%d-%d.", worker, i), 1+(worker+i)%9)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+i)*time.Millisecond)
					r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/x", strings.NewReader(body))
					r.Header.Set(proxy.HeaderService, "orders")
					r.Header.Set(dialect.HeaderDeadlineMs, fmt.Sprint(3+i))
					answer, err := client.Do(r)
					if err == nil {
						got, err := io.ReadAll(answer.Body)
						answer.Body.Close()
						if err == nil && answer.StatusCode == 200 {
							Expect(string(got)).To(Equal(body))
						}
					}
					cancel()
				}
			}()
		}
		wg.Wait()
	})

	It("answers address queries", func() {
		r := sendRaw("GET " + dialect.AddressesPath + "?service=orders HTTP/1.1\r\nHost: x\r\n\r\n")
		body, _ := io.ReadAll(r.Body)
		Expect(string(body)).To(MatchJSON(`{"service":"orders","addresses":["127.0.0.1:1"],"lifetimeMs":1000}`))
	})

	// Guards against a daemon that closes a connection with a request in flight when
	// it leaves the fleet.
	It("closes a connection with its next answer after EndAfterAnswer", func() {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		server.EndAfterAnswer()
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: x\r\nShallotglade-Service: orders\r\nContent-Length: 1\r\n\r\na")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(200))
		Expect(r.Close).To(BeTrue())
	})

	// Guards against a drain that interrupts a request, or that leaves idle connections
	// open.
	It("closes idle connections when it drains, and busy ones after the answer", func() {
		idle, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer idle.Close()
		busy, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer busy.Close()
		_, _ = fmt.Fprintf(busy, "POST /x HTTP/1.1\r\nHost: x\r\nShallotglade-Service: orders\r\nContent-Length: %d\r\n\r\n%s", len(heldBody), heldBody)
		Eventually(sender.begun, 5*time.Second).Should(BeClosed())
		server.Drain()
		close(sender.release)
		r, err := http.ReadResponse(bufio.NewReader(busy), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(200))
		Expect(r.Close).To(BeTrue())
		Expect(idle.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = idle.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Eventually(server.Open, 5*time.Second).Should(BeZero())
	})
})
