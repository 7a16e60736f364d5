package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

const (
	// smallestHostBytes is the memory of the smallest host, which limits the whole
	// daemon.
	smallestHostBytes = 184 << 20
	// detectionLimit is far more than a daemon needs to reject a malformed response,
	// and far less than longTimeout.
	detectionLimit = 3 * time.Second
	// longTimeout is the timeout of attempts that must end long before it.
	longTimeout = 10 * time.Second
	// shortTimeout is the timeout of attempts that are expected to time out.
	shortTimeout = 300 * time.Millisecond
	// shortTimeoutLimit is the longest duration of an attempt with shortTimeout.
	shortTimeoutLimit = shortTimeout + time.Second
	// idleCheckInterval is the interval at which a daemon checks idle connections.
	idleCheckInterval = 4 * time.Second
	// tricklePause is the pause between the writes of a slow sender.
	tricklePause = 50 * time.Millisecond
)

func targetOf(s *testkit.EndlessServer) upstream.Target {
	return upstream.Target{Address: s.Address, MaxConnections: 64, ConnectTimeout: time.Second}
}

const (
	okHead      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	// largeBodyBytes is the size of a body that a daemon on the smallest host can
	// buffer.
	largeBodyBytes = 32 << 20
)

// Guards against an upstream that sends an endless response and thereby occupies a
// connection, memory and a caller for as long as the daemon reads it.
var _ = Describe("Endless responses", func() {
	var client *upstream.Client
	var native *dialect.Dialect
	BeforeEach(func() {
		native = dialect.Native()
		native.AllowUnframed = true
		client = upstream.NewClient(native)
		DeferCleanup(func() { client.Close() })
	})
	attemptAt := func(target upstream.Target, limit time.Duration) upstream.Result {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return client.Do(ctx, target, &upstream.Request{ID: "r1", Method: "GET", URI: "/"})
	}
	attempt := func(e *testkit.EndlessServer, limit time.Duration) upstream.Result {
		return attemptAt(targetOf(e), limit)
	}
	expectAborted := func(e *testkit.EndlessServer, got upstream.Result) {
		GinkgoHelper()
		Expect(got.Response).To(BeNil())
		Expect(got.Verdict).To(Equal(verdict.MayHaveRun))
		Expect(len(fmt.Sprint(got.Err))).To(BeNumerically("<", 1<<10), "the error must not quote the response")
		// The upstream sees the closed connection and can cancel its work.
		Eventually(e.Open.Load, detectionLimit, time.Millisecond).Should(BeZero())
	}

	DescribeTable("abort the attempt early if they are malformed, fast or slow",
		func(head, unit string, kind upstream.Kind) {
			for _, pause := range []time.Duration{0, tricklePause} {
				e := testkit.NewEndlessServer(head, unit, pause)
				var got upstream.Result
				peak := testkit.PeakHeapGrowth(func() { got = attempt(e, longTimeout) })
				GinkgoWriter.Printf("pause %v: %v after %v, heap %d KiB, err %.200v\n", pause, got.Kind, got.Latency, peak>>10, got.Err)
				Expect(got.Kind.String()).To(Equal(kind.String()))
				Expect(got.Latency).To(BeNumerically("<", detectionLimit))
				Expect(peak).To(BeNumerically("<", smallestHostBytes/2))
				expectAborted(e, got)
			}
		},
		Entry("bytes without a line end", "", "noise", upstream.Failure),
		Entry("lines that are not HTTP", "", "noise noise\n", upstream.Failure),
		Entry("empty lines", "", "\r\n", upstream.Failure),
		Entry("a first line that resembles a status line", "NOISE 200 OK\r\n", "A: b\r\n", upstream.Failure),
		Entry("a non-numeric status", "HTTP/1.1 2", "x", upstream.Failure),
		Entry("lines that are not header fields", okHead, "noise\r\n", upstream.Failure),
		Entry("header fields with an invalid name", okHead, "noise noise: noise\r\n", upstream.Failure),
		Entry("a Content-Length out of range", okHead+"Content-Length: 99999999999999999999\r\n\r\n", "x", upstream.Failure),
		Entry("a protocol switch", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "x", upstream.Failure),
		Entry("a non-numeric chunk size", chunkedHead, "x", upstream.Truncated),
	)

	// Endless responses that are well-formed so far, and the expected outcome.
	unfinished := []struct {
		name, head, unit string
		kind             upstream.Kind
	}{
		{"header fields", okHead, "A: b\r\n", upstream.Failure},
		{"one header field", okHead + "A: ", "b", upstream.Failure},
		{"one header name", okHead, "a", upstream.Failure},
		{"a reason in the status line", "HTTP/1.1 200 ", "O", upstream.Failure},
		{"a folded header field", okHead + "A: b\r\n", " c\r\n", upstream.Failure},
		{"100 Continue", "", "HTTP/1.1 100 Continue\r\n\r\n", upstream.Failure},
		{"102 Processing", "", "HTTP/1.1 102 Processing\r\n\r\n", upstream.Failure},
		{"103 Early Hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", upstream.Failure},
		{"chunks", chunkedHead, "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", upstream.Truncated},
		{"a chunk size", chunkedHead, "0", upstream.Truncated},
		{"blanks after a chunk size", chunkedHead + "3", " ", upstream.Truncated},
		{"a chunk extension", chunkedHead + "3;a=", "b", upstream.Truncated},
		{"one large chunk", chunkedHead + "1500000\r\n", strings.Repeat("x", 32) + "\r\n", upstream.Truncated},
		{"chunks with long extensions", chunkedHead, "1;a=" + strings.Repeat("b", 1000) + "\r\nx\r\n", upstream.Truncated},
		{"trailers", chunkedHead + "3\r\nabc\r\n0\r\n", "A: b\r\n", upstream.Truncated},
		{"one trailer", chunkedHead + "3\r\nabc\r\n0\r\nA: ", "b", upstream.Truncated},
		{"a body that ends with the connection", okHead + "\r\n", "x", upstream.Truncated},
	}

	for _, c := range unfinished {
		It("abort the attempt at a memory limit if they are well-formed and fast: "+c.name, func() {
			e := testkit.NewEndlessServer(c.head, c.unit, 0)
			var got upstream.Result
			peak := testkit.PeakHeapGrowth(func() { got = attempt(e, longTimeout) })
			GinkgoWriter.Printf("%v after %v, heap %d KiB, err %.200v\n", got.Kind, got.Latency, peak>>10, got.Err)
			Expect(got.Kind.String()).To(Equal(c.kind.String()))
			Expect(got.Latency).To(BeNumerically("<", longTimeout/2))
			Expect(peak).To(BeNumerically("<", smallestHostBytes))
			expectAborted(e, got)
		})
	}

	It("abort the attempt at its timeout if they are well-formed and slow", func() {
		senders, results := make([]*testkit.EndlessServer, len(unfinished)), make([]upstream.Result, len(unfinished))
		peak := testkit.PeakHeapGrowth(func() {
			var wg sync.WaitGroup
			for i, c := range unfinished {
				senders[i] = testkit.NewEndlessServer(c.head, c.unit, tricklePause)
				wg.Go(func() { results[i] = attempt(senders[i], shortTimeout) })
			}
			wg.Wait()
		})
		Expect(peak).To(BeNumerically("<", 16<<20), "few bytes have arrived")
		for i, got := range results {
			Expect(got.Kind.String()).To(Equal(upstream.Timeout.String()), unfinished[i].name)
			Expect(got.Latency).To(BeNumerically("<", shortTimeoutLimit), unfinished[i].name)
			expectAborted(senders[i], got)
		}
	})

	// Guards against limits that reject valid responses.
	DescribeTable("are distinguished from a long head and from interim responses", func(text string, headers int) {
		got := attemptAt(serve(func(int, *http.Request) string { return text }), longTimeout)
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(got.Kind).To(Equal(upstream.Success))
		Expect(got.Response.Status).To(Equal(200))
		Expect(string(got.Response.Body)).To(Equal("0123456789"))
		named := slices.DeleteFunc(got.Response.Headers, func(h upstream.Header) bool { return h.Name != "A" })
		Expect(named).To(HaveLen(headers))
	},
		Entry("many header fields", completeResponse("0123456789", strings.Repeat("A: b\r\n", 5000)), 5000),
		Entry("a long header field", completeResponse("0123456789", "A: "+strings.Repeat("b", 50<<10)+"\r\n"), 1),
		Entry("a folded header field", completeResponse("0123456789", "A: b\r\n c\r\n\td\r\n"), 1),
		Entry("a repeated Content-Length", completeResponse("0123456789", "content-length: 10\r\n"), 0),
		Entry("interim responses", "HTTP/1.1 100 Continue\r\n\r\n"+strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 20)+completeResponse("0123456789"), 0),
		Entry("HTTP/1.0", "HTTP/1.0 200\nContent-Length: 10\n\n0123456789", 0),
	)

	// Guards against limits that reject a large valid response, and against a truncated
	// response that is mistaken for a complete one.
	DescribeTable("are distinguished from a large body", func(text func() string, size int, kind upstream.Kind) {
		got := attemptAt(serve(func(int, *http.Request) string { return text() }), longTimeout)
		Expect(got.Kind.String()).To(Equal(kind.String()))
		if kind != upstream.Success {
			Expect(got.Response).To(BeNil())
			Expect(got.Verdict).To(Equal(verdict.MayHaveRun))
			return
		}
		Expect(got.Response.Body).To(HaveLen(size))
		Expect(strings.Trim(string(got.Response.Body), "x")).To(BeElementOf("", "CUT"))
	},
		Entry("with a Content-Length", func() string { return completeResponse(strings.Repeat("x", largeBodyBytes)) }, largeBodyBytes, upstream.Success),
		Entry("in one chunk", func() string {
			return chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", largeBodyBytes, strings.Repeat("x", largeBodyBytes))
		}, largeBodyBytes, upstream.Success),
		Entry("in chunks with extensions and a trailer", func() string { return chunkedHead + strings.Repeat("3;a=b\r\nxxx\r\n", 1000) + "0\r\nA: b\r\n\r\n" }, 3000, upstream.Success),
		Entry("in chunks, with the connection closed after the last", func() string { return chunkedHead + "1 \r\nx\r\n0\r\nCUT" }, 1, upstream.Success),
		Entry("in chunks with a malformed end", func() string { return chunkedHead + "3\r\nxxxx\r\n0\r\n\r\n" }, 3, upstream.Truncated),
		Entry("in chunks with a sign before a size", func() string { return chunkedHead + "+3\r\nxxx\r\n0\r\n\r\n" }, 3, upstream.Truncated),
		Entry("that ends with the connection", func() string {
			return okHead + "Connection: close\r\n\r\n" + strings.Repeat("x", largeBodyBytes) + "CUT"
		}, largeBodyBytes+3, upstream.Success),
		Entry("with a Content-Length, truncated", func() string { return okHead + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 90) + "CUT" }, 100, upstream.Truncated),
	)

	It("are aborted at once if they are delimited by the connection and the dialect does not allow it", func() {
		native.AllowUnframed = false
		e := testkit.NewEndlessServer(okHead+"\r\n", "x", tricklePause)
		got := attempt(e, longTimeout)
		Expect(got.Kind).To(Equal(upstream.Truncated))
		Expect(got.Latency).To(BeNumerically("<", detectionLimit))
		expectAborted(e, got)
	})

	It("are aborted at once if the stated length exceeds the buffer limit", func() {
		for _, length := range []string{
			"Content-Length: 1000000000000\r\n\r\n", "Content-Length: 922337203685477580\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n100000000\r\n", "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		} {
			e := testkit.NewEndlessServer(okHead+length, "x", tricklePause)
			got := attempt(e, longTimeout)
			Expect(got.Kind).To(Equal(upstream.Truncated))
			Expect(got.Latency).To(BeNumerically("<", detectionLimit))
			expectAborted(e, got)
		}
	})

	// Guards against running out of memory: a host can buffer a few responses of tens of
	// megabytes at a time, but not one on each of its connections.
	It("share one memory limit, at which the largest response is aborted first", func() {
		bodies := []string{okHead + "\r\n", chunkedHead + "1500000\r\n", okHead + "Content-Length: 20000000\r\n\r\n"}
		const attemptsPerServer = 6
		var wrong atomic.Int32
		small := make(chan upstream.Result, 1)
		peak := testkit.PeakHeapGrowth(func() {
			var wg sync.WaitGroup
			for _, head := range bodies {
				e := testkit.NewEndlessServer(head, "x", 0)
				for range attemptsPerServer {
					wg.Go(func() {
						got := attempt(e, longTimeout)
						valid := got.Response == nil && got.Verdict == verdict.MayHaveRun || got.Response != nil && len(got.Response.Body) == 20000000
						if !valid || got.Latency > longTimeout/2 {
							wrong.Add(1)
						}
					})
				}
			}
			t := serve(func(_ int, r *http.Request) string {
				time.Sleep(tricklePause)
				return completeResponse(strings.Repeat("y", 100<<10))
			})
			wg.Go(func() {
				small <- client.Do(context.Background(), t, &upstream.Request{ID: "r1", Method: "GET", URI: "/"})
			})
			wg.Wait()
		})
		GinkgoWriter.Printf("heap %d MiB\n", peak>>20)
		Expect(peak).To(BeNumerically("<", smallestHostBytes))
		Expect((<-small).Kind).To(Equal(upstream.Success))
		Expect(wrong.Load()).To(BeZero())
	})

	// Guards against bytes of one response being delivered to another caller.
	DescribeTable("after a complete response close the connection, which is not reused", func(unit string) {
		for _, pause := range []time.Duration{0, tricklePause} {
			e := testkit.NewEndlessServer(completeResponse("first"), unit, pause)
			for range 2 {
				before := e.SentBytes.Load()
				got := attempt(e, longTimeout)
				Expect(got.Kind).To(Equal(upstream.Success))
				Expect(got.Reused).To(BeFalse())
				Expect(string(got.Response.Body)).To(Equal("first"))
				if pause > 0 {
					Eventually(e.SentBytes.Load, detectionLimit, time.Millisecond).Should(BeNumerically(">", before))
				}
			}
			Expect(e.Opened.Load()).To(BeEquivalentTo(2))
		}
	},
		Entry("noise", "noise"),
		Entry("further responses", completeResponse("another")),
		Entry("empty lines", "\r\n"),
	)

	// Guards against an upstream that states a long Keep-Alive timeout and keeps sending:
	// without another request, it occupied a connection and the host's receive buffer for
	// half a minute.
	It("after a complete response close the connection even if no request follows", func() {
		e := testkit.NewEndlessServer(completeResponse("first", "Keep-Alive: timeout=30\r\n"), "noise", tricklePause)
		Expect(attempt(e, longTimeout).Kind).To(Equal(upstream.Success))
		Eventually(e.Open.Load, idleCheckInterval+detectionLimit, tricklePause).Should(BeZero())
	})
})
