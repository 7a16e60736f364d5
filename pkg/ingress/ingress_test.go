package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/ingress"
)

func TestIngress(t *testing.T) { testkit.RunSpecs(t, "ingress") }

// caller is the client side of a connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) *caller {
	GinkgoHelper()
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	// A test may have closed it already.
	DeferCleanup(func() { _ = c.Close() })
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

func (c *caller) send(format string, args ...any) {
	GinkgoHelper()
	_, err := fmt.Fprintf(c, format, args...)
	Expect(err).NotTo(HaveOccurred())
}

// answer reads an answer and its body.
func (c *caller) answer() (*http.Response, string) {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	r, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	return r, string(body)
}

// expectContinue reads the interim answer with status 100.
func (c *caller) expectContinue() {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	line, err := c.reader.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	Expect(line).To(HavePrefix("HTTP/1.1 100 "))
	_, err = c.reader.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
}

// ended waits until the server closes the connection and returns what it sent
// before.
func (c *caller) ended() string {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	rest, err := io.ReadAll(c.reader)
	Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the connection stays open")
	return string(rest)
}

// logged returns what a server logs while f sends requests to it.
func logged(f func(address string)) string {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var log bytes.Buffer
	limits := ingress.Limits{Connections: 8, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 64, RequestArrival: 20 * time.Second, Idle: 20 * time.Second}
	server := ingress.New(ln, func() ingress.Limits { return limits }, func(context.Context, *ingress.Request, *protocol.Response) {}, zerolog.New(&log))
	go func() { _ = server.Run() }()
	f(ln.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	// It returns an error if connections of the test are still open.
	_ = server.Shutdown(ctx)
	Eventually(server.Open).Should(BeZero())
	return log.String()
}

// hidden is a request that stands in the body of another one.
const hidden = "POST /hidden HTTP/1.1\r\nHost: hidden\r\n\r\n"

const get = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"

var _ = Describe("Server", func() {
	var (
		server  *ingress.Server
		address string
		limits  ingress.Limits
		handler ingress.Handler

		mu    sync.Mutex
		begun []string
		// screened are the paths of the requests whose header was read.
		screened []string
		release  map[string]chan struct{}
	)
	// releaseChannel returns the channel that a request for the path waits on.
	releaseChannel := func(path string) chan struct{} {
		mu.Lock()
		defer mu.Unlock()
		if release[path] == nil {
			release[path] = make(chan struct{})
		}
		return release[path]
	}
	setHandler := func(h ingress.Handler) {
		mu.Lock()
		defer mu.Unlock()
		handler = h
	}
	headersRead := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), screened...)
	}
	started := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), begun...)
	}
	BeforeEach(func() {
		limits = ingress.Limits{
			Connections: 8, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 64, RequestArrival: 300 * time.Millisecond, Idle: 5 * time.Second,
		}
		begun, screened, release = nil, nil, map[string]chan struct{}{}
		// Requests for /wait/... wait for their release channel. All requests are
		// answered with their path and body.
		handler = func(ctx context.Context, r *ingress.Request, resp *protocol.Response) {
			path := string(r.Path())
			mu.Lock()
			begun = append(begun, path)
			mu.Unlock()
			if strings.HasPrefix(path, "/wait/") {
				select {
				case <-releaseChannel(path):
				case <-ctx.Done():
				}
			}
			resp.SetBodyString(path + string(r.Body()))
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		server = ingress.New(ln, func() ingress.Limits { mu.Lock(); defer mu.Unlock(); return limits }, func(ctx context.Context, r *ingress.Request, resp *protocol.Response) {
			mu.Lock()
			h := handler
			mu.Unlock()
			h(ctx, r, resp)
		}, zerolog.Nop())
		server.Screen = func(r *ingress.Request) *ingress.Refusal {
			mu.Lock()
			defer mu.Unlock()
			screened = append(screened, string(r.Path()))
			return nil
		}
		runResult := make(chan error, 1)
		go func() { runResult <- server.Run() }()
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			// It returns an error if connections of the test are still open.
			_ = server.Shutdown(ctx)
			Eventually(runResult).Should(Receive(BeNil()))
		})
	})

	// Guards against pipelined requests that are handled one after the other, so
	// that the last answer takes as long as all requests together.
	It("handles pipelined requests concurrently and answers them in order", func() {
		c := dial(address)
		c.send(get+get+get, "wait/1", "2", "wait/3")
		Eventually(started).Should(ConsistOf("/wait/1", "/2", "/wait/3"))
		close(releaseChannel("/wait/3"))
		Consistently(func() int { return c.reader.Buffered() }, 50*time.Millisecond).Should(BeZero())
		close(releaseChannel("/wait/1"))
		for _, want := range []string{"/wait/1", "/2", "/wait/3"} {
			_, body := c.answer()
			Expect(body).To(Equal(want))
		}
	})

	// Guards against a request that runs although the previous answer closes the
	// connection. Its caller would send it again.
	It("waits for earlier answers and fails when one of them closes the connection", func() {
		turns := make(chan error, 2)
		defaultHandler := handler
		setHandler(func(ctx context.Context, r *ingress.Request, resp *protocol.Response) {
			defaultHandler(ctx, r, resp)
			if string(r.Path()) == "/second" {
				turns <- r.WaitForEarlierAnswers(ctx)
			}
		})
		c := dial(address)
		c.send("GET /wait/first HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get, "second")
		Eventually(started).Should(ContainElement("/second"))
		Consistently(turns, 50*time.Millisecond).ShouldNot(Receive())
		close(releaseChannel("/wait/first"))
		Eventually(turns).Should(Receive(HaveOccurred()))
		_, body := c.answer()
		Expect(body).To(Equal("/wait/first"))
		Expect(c.ended()).To(BeEmpty())
	})

	// Guards against work for callers that have disconnected.
	It("cancels the context of a request when its caller disconnects", func() {
		causes := make(chan error, 1)
		setHandler(func(ctx context.Context, _ *ingress.Request, _ *protocol.Response) {
			<-ctx.Done()
			causes <- context.Cause(ctx)
		})
		c := dial(address)
		c.send(get, "x")
		Expect(c.Close()).To(Succeed())
		Eventually(causes).Should(Receive(MatchError(ingress.ErrCallerGone)))
	})

	// Guards against losing bodies that arrive in chunks or after 100 Continue.
	It("reads bodies with a length, in chunks and after 100 Continue", func() {
		c := dial(address)
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
		_, body := c.answer()
		Expect(body).To(Equal("/aabc"))
		c.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
		_, body = c.answer()
		Expect(body).To(Equal("/babc"))
		c.send("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
		c.expectContinue()
		c.send("abc")
		_, body = c.answer()
		Expect(body).To(Equal("/cabc"))
	})

	// Guards against a check of heads that refuses valid requests.
	DescribeTable("serves", func(request, path string) {
		c := dial(address)
		c.send("%s", request)
		r, body := c.answer()
		Expect(r.StatusCode).To(Equal(200))
		Expect(body).To(Equal(path))
	},
		Entry("a URL as the target", "GET http://h:80/x HTTP/1.1\r\nHost: h\r\n\r\n", "/x"),
		Entry("a URL without a path", "GET HTTP://h HTTP/1.1\r\nHost: h\r\n\r\n", "/"),
		Entry("all resources as the target", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "/*"),
		Entry("an empty Host field", "GET /x HTTP/1.1\r\nHost:\r\n\r\n", "/x"),
		Entry("no Host field in HTTP/1.0", "GET /x HTTP/1.0\r\n\r\n", "/x"),
		Entry("a repeated length", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\ny", "/xy"),
		Entry("a chunked body with extensions and trailers", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: CHUNKED\r\nTrailer: X-A\r\n\r\n1;a=b\r\ny\r\n0\r\nX-A: b\r\n\r\n", "/xy"),
		Entry("names of fields in lower case", "POST /x HTTP/1.1\r\nhost: [::1]:80\r\ncontent-length: 1\r\n\r\ny", "/xy"),
		Entry("a method that is not known", "X-METHOD /x?y=://z HTTP/1.1\r\nHost: h\r\n\r\n", "/x"),
		Entry("bytes that are not ASCII", "GET /\xe9 HTTP/1.1\r\nHost: h\r\nX: \xe9\t\r\n\r\n", "/\xe9"),
	)

	// Guards against connections that occupy memory because their request arrives
	// slowly or never ends, and against refusals without a fitting status.
	DescribeTable("refuses", func(request string, status int) {
		c := dial(address)
		c.send("%s", request)
		r, _ := c.answer()
		Expect(r.StatusCode).To(Equal(status))
		Expect(r.Close).To(BeTrue())
		Expect(c.ended()).To(BeEmpty())
		Expect(started()).To(BeEmpty())
	},
		Entry("a request that does not arrive in time", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na", 408),
		Entry("a large header", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2<<10)+"\r\n\r\n", 431),
		Entry("a large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"+strings.Repeat("x", 65), 413),
		Entry("a large chunked body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n"+strings.Repeat("x", 32)+"\r\n21\r\n", 413),
		Entry("a malformed chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400),
		Entry("bytes that are not HTTP", "hello\r\n\r\n", 400),
		// Guards against requests on which the HTTP library panics, which ended the process.
		Entry("empty elements in the Trailer field", "GET / HTTP/1.1\r\nHost: h\r\nTrailer: X-Checksum, , X-Count\r\n\r\n", 400),
		Entry("empty elements in a folded Trailer field", "GET / HTTP/1.1\r\nHost: h\r\ntRAILER: X-Checksum\r\n\t,,\r\n\r\n", 400),
		// Guards against requests hidden in the body of another one: the HTTP library and another reader would
		// take different lengths for its body.
		Entry("two different lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nContent-Length: 0\r\n\r\n"+hidden, 400),
		Entry("a list of lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 40\r\n\r\n"+hidden, 400),
		Entry("a length with a sign", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n"+hidden, 400),
		Entry("a length before a transfer coding", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden, 400),
		Entry("a length behind a transfer coding", "POST / HTTP/1.1\r\nHost: h\r\ntransfer-ENCODING: Chunked\r\ncontent-length: 40\r\n\r\n0\r\n\r\n"+hidden, 400),
		Entry("a coding that is not chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n"+hidden, 400),
		Entry("codings that do not end in chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"+hidden, 400),
		Entry("a coding that is not known before chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"+hidden, 501),
		Entry("two transfer codings", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden, 400),
		Entry("a coding that looks like chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"+hidden, 400),
		Entry("a transfer coding in HTTP/1.0", "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden, 400),
		Entry("a space before the colon", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 40\r\n\r\n"+hidden, 400),
		Entry("a length on a folded line", "POST / HTTP/1.1\r\nHost: h\r\nX: y\r\n Content-Length: 40\r\n\r\n"+hidden, 400),
		Entry("a bare line feed in the head", "POST / HTTP/1.1\r\nHost: h\nContent-Length: 40\r\n\r\n"+hidden, 400),
		Entry("a bare line feed at the end of the head", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\n"+hidden, 400),
		Entry("a bare carriage return in the head", "POST / HTTP/1.1\r\nHost: h\r\nX: y\rContent-Length: 40\r\n\r\n"+hidden, 400),
		Entry("a bare line feed behind the size of a chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;\nxx\r\n0\r\n\r\n"+hidden, 400),
		Entry("a bare carriage return in a chunk extension", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;a\rb\r\nxx\r\n0\r\n\r\n"+hidden, 400),
		Entry("a bare line feed behind a chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\n0\r\n\r\n"+hidden, 400),
		Entry("a bare line feed behind the trailers", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: b\n\n"+hidden, 400),
		// Guards against targets on which the HTTP library panics, which ended the process.
		Entry("a target without a path or a host", "GET a: HTTP/1.0\r\n\r\n", 400),
		Entry("the same with a Host field", "GET a: HTTP/1.1\r\nHost: h\r\n\r\n", 400),
		Entry("a target that is a host and a port", "CONNECT h:8 HTTP/1.1\r\nHost: h:8\r\n\r\n", 400),
		Entry("a target of another scheme", "GET a:1://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400),
		Entry("a URL with another host than the field", "GET http://h/x HTTP/1.1\r\nHost: other\r\n\r\n", 400),
		Entry("a URL with another host and a scheme in capitals", "GET HTTP://h/x HTTP/1.1\r\nHost: [::1]\r\n\r\n", 400),
		Entry("a URL without a host", "GET http:///x HTTP/1.1\r\nHost: h\r\n\r\n", 400),
		Entry("a target with a fragment", "GET /x#y HTTP/1.1\r\nHost: h\r\n\r\n", 400),
		Entry("a target for all resources of a method other than OPTIONS", "GET * HTTP/1.1\r\nHost: h\r\n\r\n", 400),
		Entry("no Host field", "GET / HTTP/1.1\r\n\r\n", 400),
		Entry("two Host fields", "GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400),
		Entry("a Host field behind a tab, which the HTTP library would keep", "GET / HTTP/1.1\r\nHost:\th\r\n\r\n", 400),
		Entry("a Host field with a path", "GET / HTTP/1.1\r\nHost: h/x\r\n\r\n", 400),
		Entry("a protocol version that is not known", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505),
	)

	// Guards against a part of a key in the log: the caller may have sent a malformed trailer with it.
	It("does not log what a malformed trailer contains", func() {
		Expect(logged(func(address string) {
			c := dial(address)
			c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBearer 4f1c-secret\r\n\r\n")
			r, _ := c.answer()
			Expect(r.StatusCode).To(Equal(400))
		})).To(And(ContainSubstring("request refused"), Not(ContainSubstring("4f1c"))))
	})

	// Guards against request bodies that together exceed the memory of the smallest host.
	DescribeTable("serves more large bodies than fit into memory at once", func(head, tail string) {
		const smallestHostBytes, bodyBytes, callers = 184 << 20, 25 << 20, 7
		mu.Lock()
		limits.MaxBodyBytes, limits.RequestArrival = 64<<20, 5*time.Second
		mu.Unlock()
		setHandler(func(_ context.Context, r *ingress.Request, resp *protocol.Response) {
			time.Sleep(50 * time.Millisecond)
			resp.SetBodyString(fmt.Sprint(len(r.Body())))
		})
		body := bytes.Repeat([]byte("x"), bodyBytes)
		small := dial(address)
		peak := testkit.PeakHeapGrowth(func() {
			var all sync.WaitGroup
			for range callers {
				all.Go(func() {
					defer GinkgoRecover()
					c := dial(address)
					c.send("POST / HTTP/1.1\r\nHost: h\r\n%s\r\n", head)
					_, err := c.Write(body)
					Expect(err).NotTo(HaveOccurred())
					c.send("%s", tail)
					_, got := c.answer()
					Expect(got).To(Equal(fmt.Sprint(bodyBytes)))
				})
			}
			time.Sleep(20 * time.Millisecond)
			start := time.Now()
			small.send(get, "small")
			_, _ = small.answer()
			Expect(time.Since(start)).To(BeNumerically("<", time.Second), "a small request waits for large ones")
			all.Wait()
		})
		GinkgoWriter.Printf("heap %d MiB\n", peak>>20)
		Expect(peak).To(BeNumerically("<", smallestHostBytes))
	},
		Entry("with a length", "Content-Length: 26214400\r\n", ""),
		Entry("in chunks", "Transfer-Encoding: chunked\r\n\r\n1900000", "\r\n0\r\n\r\n"),
	)

	// Guards against chunked bodies of moderate size that wait for each other.
	It("serves chunked bodies of moderate size at the same time", func() {
		mu.Lock()
		limits.MaxBodyBytes, limits.RequestArrival = 64<<20, 5*time.Second
		mu.Unlock()
		const callers, bodyBytes = 7, 200 << 10
		for i := range callers {
			c := dial(address)
			c.send("POST /wait/%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", i, bodyBytes, strings.Repeat("x", bodyBytes))
		}
		Eventually(started, time.Second).Should(HaveLen(callers))
	})

	// Guards against a body that waits for memory without end, and against blaming its caller.
	It("refuses a large body with 503 if other bodies keep the memory", func() {
		mu.Lock()
		limits.MaxBodyBytes, limits.RequestArrival = 64<<20, 20*time.Second
		mu.Unlock()
		first, second := dial(address), dial(address)
		body := strings.Repeat("x", 40<<20)
		head := fmt.Sprintf("HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
		first.send("POST /wait/1 %s", head)
		first.send("%s", body)
		Eventually(started, 20*time.Second).Should(ConsistOf("/wait/1"))
		// The second body waits for memory for longer than a request may take to arrive.
		mu.Lock()
		limits.RequestArrival = 2 * time.Second
		mu.Unlock()
		second.send("POST /2 %s", head)
		Expect(second.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		r, err := http.ReadResponse(second.reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(503))
		Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
		close(releaseChannel("/wait/1"))
		answer, _ := first.answer()
		Expect(answer.StatusCode).To(Equal(200))
	})

	// Guards against an error answer to a malformed request that is sent before
	// the answers to earlier requests.
	It("answers earlier requests before it refuses a malformed one", func() {
		c := dial(address)
		c.send(get+"nonsense\r\n\r\n", "wait/1")
		Eventually(started).Should(ConsistOf("/wait/1"))
		close(releaseChannel("/wait/1"))
		_, body := c.answer()
		Expect(body).To(Equal("/wait/1"))
		r, _ := c.answer()
		Expect(r.StatusCode).To(Equal(400))
	})

	// Guards against an answer to HEAD with a body, which the caller would read as
	// the next answer.
	It("answers HEAD without a body", func() {
		c := dial(address)
		c.send("HEAD /abc HTTP/1.1\r\nHost: h\r\n\r\n"+get, "next")
		r, err := http.ReadResponse(c.reader, &http.Request{Method: "HEAD"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.ContentLength).To(BeEquivalentTo(4))
		_, body := c.answer()
		Expect(body).To(Equal("/next"))
	})

	Describe("while draining", func() {
		// Guards against requests that are aborted by a restart. A connection may close
		// only after an answer or between two requests.
		It("closes idle connections at once and others after their answer, and waits for them", func() {
			busy, idle := dial(address), dial(address)
			busy.send(get, "wait/1")
			idle.send(get, "1")
			_, _ = idle.answer()
			Eventually(started).Should(ContainElement("/wait/1"))
			server.EndAfterAnswer()
			server.Drain()
			Expect(idle.ended()).To(BeEmpty())
			shutdownResult := make(chan error, 1)
			go func() { shutdownResult <- server.Shutdown(context.Background()) }()
			Consistently(shutdownResult, 100*time.Millisecond).ShouldNot(Receive())
			close(releaseChannel("/wait/1"))
			r, body := busy.answer()
			Expect(body).To(Equal("/wait/1"))
			Expect(r.Close).To(BeTrue())
			Expect(busy.Close()).To(Succeed())
			Eventually(shutdownResult).Should(Receive(BeNil()))
			_, err := net.Dial("tcp", address)
			Expect(err).To(HaveOccurred())
		})

		// Guards against requests at work that are dropped because an earlier answer closes the connection.
		It("answers all requests that it handles, and none that arrive behind them", func() {
			c := dial(address)
			for _, path := range []string{"wait/1", "wait/2", "wait/3"} {
				c.send(get, path)
			}
			Eventually(started).Should(HaveLen(3))
			server.EndAfterAnswer()
			c.send(get, "4")
			for n := 1; n <= 3; n++ {
				path := fmt.Sprintf("/wait/%d", n)
				close(releaseChannel(path))
				r, body := c.answer()
				Expect(body).To(Equal(path))
				Expect(r.Close).To(Equal(n == 3))
			}
			Expect(c.ended()).To(BeEmpty())
			Expect(started()).To(HaveLen(3))
			Expect(server.Unanswered()).To(BeZero())
		})

		// Guards against a caller that waits for the answer to a request dropped at the start of the stop.
		It("closes a connection on which it drops a request while it writes an answer that keeps the connection", func() {
			mu.Lock()
			limits.Idle = time.Minute
			mu.Unlock()
			setHandler(func(_ context.Context, _ *ingress.Request, resp *protocol.Response) {
				resp.SetBodyRaw(make([]byte, 32<<20)) // more than the socket buffers hold
			})
			c := dial(address)
			c.send(get, "1")
			// Once a byte has arrived, the answer states that the connection stays open.
			Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, err := c.reader.Peek(1)
			Expect(err).NotTo(HaveOccurred())
			server.EndAfterAnswer()
			// When the header of the third request has been read, the second one has been dropped.
			c.send(get+get, "2", "3")
			Eventually(headersRead, 5*time.Second).Should(ContainElement("/3"))
			r, body := c.answer()
			Expect(r.Close).To(BeFalse())
			Expect(body).To(HaveLen(32 << 20))
			Expect(c.ended()).To(BeEmpty())
		})

		// Guards against dropping the request of a caller that connected just before the drain.
		It("answers the first request of a connection that was opened before", func() {
			c := dial(address)
			Eventually(server.Open).Should(Equal(1))
			server.Drain()
			time.Sleep(20 * time.Millisecond)
			c.send(get, "1")
			r, body := c.answer()
			Expect(body).To(Equal("/1"))
			Expect(r.Close).To(BeTrue())
		})

		// Guards against resetting complete connections that are not accepted yet.
		It("answers requests on connections that are not accepted yet", func() {
			mu.Lock() // holds the accepting goroutine in limits
			callers := make([]*caller, limits.Connections)
			for i := range callers {
				callers[i] = dial(address)
				callers[i].send(get, "1")
			}
			shutdownResult := make(chan error, 1)
			go func() {
				server.Drain()
				shutdownResult <- server.Shutdown(context.Background())
			}()
			time.Sleep(20 * time.Millisecond)
			mu.Unlock()
			for _, c := range callers {
				_, body := c.answer()
				Expect(body).To(Equal("/1"))
				Expect(c.Close()).To(Succeed())
			}
			Eventually(shutdownResult).Should(Receive(BeNil()))
		})

		// Guards against a stop that waits for a connection on which no request comes.
		It("closes a connection without any request soon", func() {
			c := dial(address)
			Eventually(server.Open).Should(Equal(1))
			server.Drain()
			Expect(c.ended()).To(BeEmpty())
			Expect(server.Shutdown(context.Background())).To(Succeed())
		})

		// Guards against a daemon that is stopped before it serves callers and does not exit.
		It("ends at once if it has not run", func() {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			idle := ingress.New(ln, func() ingress.Limits { return limits }, nil, zerolog.Nop())
			idle.Drain()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			Expect(idle.Shutdown(ctx)).To(Succeed())
			Expect(ctx.Err()).NotTo(HaveOccurred())
			Expect(idle.Run()).To(Succeed())
		})

		// Guards against a caller that keeps using a draining daemon. The answer
		// must close the connection, so that the caller connects elsewhere.
		It("closes a connection after the next answer", func() {
			c := dial(address)
			server.EndAfterAnswer()
			c.send(get, "1")
			r, _ := c.answer()
			Expect(r.Close).To(BeTrue())
			Expect(c.ended()).To(BeEmpty())
		})

		// Guards against a shutdown that hangs because of a request that never ends.
		It("aborts the remaining requests at the time limit", func() {
			c := dial(address)
			c.send(get, "wait/1")
			Eventually(started).Should(ContainElement("/wait/1"))
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			Expect(server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
			Expect(c.ended()).To(BeEmpty())
		})
	})

	// Guards against a host that runs out of file descriptors.
	It("closes connections beyond the limit", func() {
		for range limits.Connections {
			c := dial(address)
			c.send(get, "x")
			_, _ = c.answer()
		}
		Expect(dial(address).ended()).To(BeEmpty())
		Expect(server.Open()).To(Equal(limits.Connections))
	})

	// Guards against connections that stay open although their callers send nothing more.
	It("closes a connection that is idle for too long", func() {
		mu.Lock()
		limits.Idle = 50 * time.Millisecond
		mu.Unlock()
		Expect(dial(address).ended()).To(BeEmpty())
	})
})
