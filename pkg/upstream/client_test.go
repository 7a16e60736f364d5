package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

func TestUpstream(t *testing.T) { testkit.RunSpecs(t, "upstream") }

// serve starts a server that answers each request with the text that script returns.
// An empty text closes the connection, and so does a text that ends with CUT, after it
// was sent. n counts the requests of all connections.
func serve(script func(n int, r *http.Request) string) upstream.Target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	counter := make(chan int, 1)
	counter <- 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					n := <-counter
					counter <- n + 1
					text := script(n, r)
					if text == "" {
						return
					}
					fmt.Fprint(c, text)
					if strings.HasSuffix(text, "CUT") {
						return
					}
				}
			}()
		}
	}()
	return upstream.Target{Address: ln.Addr().String(), MaxConnections: 2, ConnectTimeout: time.Second}
}

// serveOnce starts an upstream that sends the text after the head of a request and closes
// the connection.
func serveOnce(text string) upstream.Target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		defer ln.Close()
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			fmt.Fprint(c, text)
		}
	}()
	return upstream.Target{Address: ln.Addr().String(), MaxConnections: 2, ConnectTimeout: time.Second}
}

func completeResponse(body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", strings.Join(headers, ""), len(body), body)
}

var _ = Describe("Client", func() {
	var client *upstream.Client
	BeforeEach(func() {
		client = upstream.NewClient(dialect.Native())
		DeferCleanup(client.Close)
	})
	do := func(t upstream.Target, timeout time.Duration, change ...func(*upstream.Request)) upstream.Result {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		r := &upstream.Request{ID: "r1", Method: "GET", URI: "/a//b/%2e?x=1%20"}
		for _, c := range change {
			c(r)
		}
		return client.Do(ctx, t, r)
	}

	It("forwards path, query, headers and body unchanged", func() {
		t := serve(func(_ int, r *http.Request) string {
			return completeResponse(fmt.Sprintf("%s %s %s %s %s", r.Method, r.RequestURI, r.Host, r.Header.Get("X-A"), r.Header.Get(dialect.HeaderRequestID)))
		})
		got := do(t, time.Second, func(r *upstream.Request) {
			r.Method, r.Body, r.Host = "POST", []byte("body"), "stones.example"
			r.Headers = []upstream.Header{{Name: "X-A", Value: "1"}}
		})
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(string(got.Response.Body)).To(Equal("POST /a//b/%2e?x=1%20 stones.example 1 r1"))
		Expect(got.Verdict).To(Equal(verdict.Ran))
	})

	DescribeTable("classifies the outcome of an attempt",
		func(answer string, kind upstream.Kind, v verdict.Verdict, hasResponse bool) {
			got := do(serve(func(int, *http.Request) string { return answer }), time.Second)
			Expect(got.Kind.String()).To(Equal(kind.String()))
			Expect(got.Verdict).To(Equal(v))
			Expect(got.Response != nil).To(Equal(hasResponse))
		},
		Entry("complete response", completeResponse("x"), upstream.Success, verdict.Ran, true),
		Entry("status 500", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", upstream.Failure, verdict.Ran, true),
		Entry("503 that states that the request did not run", "HTTP/1.1 503 E\r\nShallotglade-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", upstream.Shed, verdict.NotRun, true),
		Entry("plain 503", "HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", upstream.Failure, verdict.Ran, true),
		Entry("truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalfCUT", upstream.Truncated, verdict.MayHaveRun, false),
		Entry("connection closed between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nCUT", upstream.Truncated, verdict.MayHaveRun, false),
		Entry("body delimited only by the end of the connection", "HTTP/1.1 200 OK\r\n\r\nno delimiter CUT", upstream.Truncated, verdict.MayHaveRun, false),
		Entry("connection closed without a response", "", upstream.Lost, verdict.MayHaveRun, false),
		Entry("response to another request", completeResponse("x", "Shallotglade-Request-Id: r2\r\n"), upstream.Failure, verdict.MayHaveRun, false),
		// Guards against answers that are none and reach the caller: the HTTP library reports the status 000 as 200, and what
		// follows a status below 200 is read as the next head.
		Entry("status 000", "HTTP/1.1 000 E\r\nContent-Length: 0\r\n\r\n", upstream.Failure, verdict.MayHaveRun, false),
		Entry("status 000 whose body looks like a response", "HTTP/1.1 000 E\r\n\r\n"+completeResponse("x"), upstream.Failure, verdict.MayHaveRun, false),
		Entry("status 099 whose body looks like a response", "HTTP/1.1 099 E\r\n\r\n"+completeResponse("x"), upstream.Failure, verdict.MayHaveRun, false),
		Entry("status 600", "HTTP/1.1 600 E\r\nContent-Length: 0\r\n\r\n", upstream.Failure, verdict.MayHaveRun, false),
		Entry("carriage return in a field", completeResponse("x", "X-A: a\rX-B: b\r\n"), upstream.Failure, verdict.MayHaveRun, false),
		// Guards against bodies of which two readers would take different lengths.
		Entry("a length beside a transfer coding", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", upstream.Failure, verdict.MayHaveRun, false),
		Entry("a transfer coding that is not chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n1\r\nx\r\n0\r\n\r\n", upstream.Failure, verdict.MayHaveRun, false),
		Entry("a transfer coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", upstream.Failure, verdict.MayHaveRun, false),
		// Guards against answers on which the HTTP library panics, which ended the process.
		Entry("empty elements in the Trailer field", "HTTP/1.1 200 OK\r\nTrailer: ,,,,\r\n\r\n", upstream.Failure, verdict.MayHaveRun, false),
		Entry("an empty element in the middle of the Trailer field", completeResponse("x", "tRAILER: X-A, , X-B\r\n"), upstream.Failure, verdict.MayHaveRun, false),
		Entry("empty elements in a folded Trailer field", completeResponse("x", "Trailer: X-A\r\n ,,\r\n"), upstream.Failure, verdict.MayHaveRun, false),
		Entry("empty elements in the Trailer field of an interim response", "HTTP/1.1 103 E\r\nTrailer: ,,\r\n\r\n"+completeResponse("x"), upstream.Failure, verdict.MayHaveRun, false),
		Entry("a Trailer field with names", completeResponse("x", "Trailer: X-A , X-B\r\nTrailer:\r\n"), upstream.Success, verdict.Ran, true),
		Entry("zero byte in a field", completeResponse("x", "X-A: a\x00b\r\n"), upstream.Failure, verdict.MayHaveRun, false),
	)

	// Guards against a body that the caller cannot decode, because it does not learn all of its codings.
	DescribeTable("joins the codings of a response", func(lines, codings string) {
		got := do(serve(func(int, *http.Request) string { return completeResponse("x", lines) }), time.Second)
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(got.Response.Headers).To(ContainElement(upstream.Header{Name: "Content-Encoding", Value: codings}))
	},
		Entry("of one field", "Content-Encoding: gzip, br\r\n", "gzip, br"),
		Entry("of several fields", "Content-Encoding: gzip\r\ncontent-encoding: br\r\n", "gzip, br"),
		Entry("of a field that is repeated", "Content-Encoding: gzip\r\nContent-Encoding: gzip\r\n", "gzip"),
		Entry("of fields without a value", "Content-Encoding:\r\nContent-Encoding: gzip\r\nContent-Encoding: \r\n", "gzip"),
	)

	// Guards against a response that was broken off and reaches the caller as a complete one.
	It("returns no response that the upstream broke off, wherever it did", func() {
		native := dialect.Native()
		native.AllowUnframed = true
		unframed := upstream.NewClient(native)
		DeferCleanup(unframed.Close)
		for _, whole := range []string{
			completeResponse("0123456789", "X-A: s\r\n"),
			"HTTP/1.1 100 Continue\r\n\r\n" + completeResponse("0123456789"),
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n",
			"HTTP/1.1 200 OK\r\nX-A: s\r\n\r\n",
		} {
			for n := range len(whole) {
				got := unframed.Do(context.Background(), serveOnce(whole[:n]), &upstream.Request{ID: "r1", Method: "GET", URI: "/"})
				Expect(got.Response).To(BeNil(), "after %q", whole[:n])
				Expect(got.Verdict).To(Equal(verdict.MayHaveRun), "after %q", whole[:n])
			}
		}
	})

	It("reports a refused connection as unreachable and not run", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ln.Close()
		got := do(upstream.Target{Address: ln.Addr().String(), MaxConnections: 1, ConnectTimeout: time.Second}, time.Second)
		Expect(got.Kind).To(Equal(upstream.Unreachable))
		Expect(got.Verdict).To(Equal(verdict.NotRun))
	})

	// Guards against a late response being delivered to the next request on the same
	// connection.
	It("closes a connection after a late response or unread bytes", func() {
		release := make(chan struct{})
		t := serve(func(n int, r *http.Request) string {
			switch n {
			case 0:
				<-release
				return completeResponse("late")
			case 1:
				return completeResponse("second") + completeResponse("unsolicited")
			default:
				return completeResponse("third")
			}
		})
		Expect(do(t, 50*time.Millisecond).Kind).To(Equal(upstream.Timeout))
		close(release)
		Expect(string(do(t, time.Second).Response.Body)).To(Equal("second"))
		Expect(string(do(t, time.Second).Response.Body)).To(Equal("third"))
	})

	// Guards against a copy of an earlier refusal that is taken for the answer to another
	// attempt of the same request, which runs: its caller would be told that it did not.
	It("does not send a request again on a connection on which it was refused", func() {
		refusal := "HTTP/1.1 503 E\r\nShallotglade-Verdict: not-run\r\nShallotglade-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
		other := completeResponse("other", "Shallotglade-Request-Id: r2\r\n")
		answer := completeResponse("ran", "Shallotglade-Request-Id: r1\r\n")
		script := []string{refusal, other, answer}
		target := serve(func(n int, _ *http.Request) string { return script[n] })
		Expect(do(target, time.Second).Kind).To(Equal(upstream.Shed))
		Expect(do(target, time.Second, func(r *upstream.Request) { r.ID = "r2" }).Reused).To(BeTrue())
		again := do(target, time.Second)
		Expect(again.Reused).To(BeFalse())
		Expect(again.Verdict).To(Equal(verdict.Ran))
	})

	// Guards against the HTTP library resending a request when a reused connection
	// closes: the request would run twice.
	It("sends each attempt at most once even if a reused connection closes", func() {
		seen := make(chan int, 10)
		t := serve(func(n int, _ *http.Request) string {
			seen <- n
			if n == 1 {
				return ""
			}
			return completeResponse("x")
		})
		Expect(do(t, time.Second).Kind).To(Equal(upstream.Success))
		Expect(do(t, time.Second).Kind).To(Equal(upstream.Lost))
		Expect(seen).To(HaveLen(2))
	})

	It("refuses an attempt without sending it when the connection limit is reached", func() {
		block, entered := make(chan struct{}), make(chan struct{}, 2)
		t := serve(func(int, *http.Request) string { entered <- struct{}{}; <-block; return completeResponse("x") })
		results := make(chan upstream.Result, 2)
		for range 2 {
			go func() { results <- do(t, 5*time.Second) }()
		}
		<-entered
		<-entered
		third := do(t, time.Second)
		close(block)
		Expect(third.Kind).To(Equal(upstream.Refused))
		Expect(third.Verdict).To(Equal(verdict.NotRun))
		Expect((<-results).Kind).To(Equal(upstream.Success))
		Expect((<-results).Kind).To(Equal(upstream.Success))
	})

	It("closes the connection when the caller disconnects", func() {
		release := make(chan struct{})
		t := serve(func(_ int, r *http.Request) string {
			<-release
			return completeResponse("x")
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan upstream.Result, 1)
		go func() { done <- client.Do(ctx, t, &upstream.Request{ID: "r", Method: "GET", URI: "/"}) }()
		time.Sleep(20 * time.Millisecond)
		cancel()
		got := <-done
		close(release)
		Expect(got.Kind).To(Equal(upstream.Canceled))
		Expect(got.Verdict).To(Equal(verdict.MayHaveRun))
	})

	// Guards against a goroutine leak: the HTTP library kept one goroutine for an hour
	// after each connection, 48,000 of them after 48,000 orders.
	It("leaks no goroutines after fresh connections", func() {
		t := serve(func(int, *http.Request) string { return completeResponse("x") })
		before := runtime.NumGoroutine()
		for range 200 {
			got := client.Do(context.Background(), t, &upstream.Request{ID: "r", Method: "POST", URI: "/", FreshConnection: true})
			Expect(got.Kind).To(Equal(upstream.Success))
		}
		Eventually(runtime.NumGoroutine, 20*time.Second, 50*time.Millisecond).Should(BeNumerically("<", before+50))
	})
})
