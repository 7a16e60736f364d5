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
	// smallestHost is the memory of the smallest host in bytes, which holds
	// everything that a daemon does.
	smallestHost = 184 << 20
	// soon is far more than a daemon needs to see that bytes are no answer, and
	// far less than patient.
	soon = 3 * time.Second
	// patient is the time limit of attempts that must end long before it.
	patient = 10 * time.Second
	// short is the time limit of attempts that last until it.
	short = 300 * time.Millisecond
	// late is by when an attempt with the limit short must have ended.
	late = short + time.Second
	// idleCheck is how often a daemon looks at connections that carry no request.
	idleCheck = 4 * time.Second
	// trickle is the pause of a slow sender, of which each read makes progress.
	trickle = 50 * time.Millisecond
)

func targetOf(s *testkit.EndlessServer) upstream.Target {
	return upstream.Target{Address: s.Address, MaxConnections: 64, ConnectTimeout: time.Second}
}

const (
	okHead      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	// large is the size in bytes of an answer that a daemon of the smallest host can
	// hold.
	large = 32 << 20
)

// An upstream that sends bytes without end holds a connection, memory and a
// caller for as long as the daemon reads them.
var _ = Describe("Bytes without end", func() {
	var client *upstream.Client
	var native *dialect.Dialect
	BeforeEach(func() {
		native = dialect.Native()
		native.Unframed = true
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
	ends := func(e *testkit.EndlessServer, got upstream.Result) {
		GinkgoHelper()
		Expect(got.Response).To(BeNil())
		Expect(got.Verdict).To(Equal(verdict.MayHaveRun))
		Expect(len(fmt.Sprint(got.Err))).To(BeNumerically("<", 1<<10), "the error quotes the bytes")
		// The upstream sees the end, which is what cancels its work.
		Eventually(e.Open.Load, soon, time.Millisecond).Should(BeZero())
	}

	DescribeTable("that can be no answer end the attempt as soon as that is certain, fast and slow",
		func(head, unit string, kind upstream.Kind) {
			for _, pause := range []time.Duration{0, trickle} {
				e := testkit.NewEndlessServer(head, unit, pause)
				var got upstream.Result
				peak := testkit.HeapPeak(func() { got = attempt(e, patient) })
				GinkgoWriter.Printf("pause %v: %v after %v, heap %d KiB, err %.200v\n", pause, got.Kind, got.Latency, peak>>10, got.Err)
				Expect(got.Kind.String()).To(Equal(kind.String()))
				Expect(got.Latency).To(BeNumerically("<", soon))
				Expect(peak).To(BeNumerically("<", smallestHost/2))
				ends(e, got)
			}
		},
		Entry("no line", "", "noise", upstream.Failure),
		Entry("lines", "", "noise noise\n", upstream.Failure),
		Entry("empty lines", "", "\r\n", upstream.Failure),
		Entry("a first line that only looks like a status line", "NOISE 200 OK\r\n", "A: b\r\n", upstream.Failure),
		Entry("a status that is no number", "HTTP/1.1 2", "x", upstream.Failure),
		Entry("lines that are no header fields", okHead, "noise\r\n", upstream.Failure),
		Entry("lines with a name that is none", okHead, "noise noise: noise\r\n", upstream.Failure),
		Entry("a length that is no number", okHead+"Content-Length: 99999999999999999999\r\n\r\n", "x", upstream.Failure),
		Entry("a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "x", upstream.Failure),
		Entry("a chunk size that is no number", chunkedHead, "x", upstream.Truncated),
	)

	// What could still become an answer, without end, and how the attempt ends.
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
		It("that could still become an answer end the attempt at a bound of memory when fast: "+c.name, func() {
			e := testkit.NewEndlessServer(c.head, c.unit, 0)
			var got upstream.Result
			peak := testkit.HeapPeak(func() { got = attempt(e, patient) })
			GinkgoWriter.Printf("%v after %v, heap %d KiB, err %.200v\n", got.Kind, got.Latency, peak>>10, got.Err)
			Expect(got.Kind.String()).To(Equal(c.kind.String()))
			Expect(got.Latency).To(BeNumerically("<", patient/2))
			Expect(peak).To(BeNumerically("<", smallestHost))
			ends(e, got)
		})
	}

	It("that could still become an answer end the attempt by its time limit when slow", func() {
		senders, results := make([]*testkit.EndlessServer, len(unfinished)), make([]upstream.Result, len(unfinished))
		peak := testkit.HeapPeak(func() {
			var wg sync.WaitGroup
			for i, c := range unfinished {
				senders[i] = testkit.NewEndlessServer(c.head, c.unit, trickle)
				wg.Go(func() { results[i] = attempt(senders[i], short) })
			}
			wg.Wait()
		})
		Expect(peak).To(BeNumerically("<", 16<<20), "little has arrived")
		for i, got := range results {
			Expect(got.Kind.String()).To(Equal(upstream.Timeout.String()), unfinished[i].name)
			Expect(got.Latency).To(BeNumerically("<", late), unfinished[i].name)
			ends(senders[i], got)
		}
	})

	// Guards against limits that cut what an upstream may send.
	DescribeTable("are told from a long head and from interim answers", func(text string, headers int) {
		got := attemptAt(serve(func(int, *http.Request) string { return text }), patient)
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(got.Kind).To(Equal(upstream.Success))
		Expect(got.Response.Status).To(Equal(200))
		Expect(string(got.Response.Body)).To(Equal("0123456789"))
		named := slices.DeleteFunc(got.Response.Headers, func(h upstream.Header) bool { return h.Name != "A" })
		Expect(named).To(HaveLen(headers))
	},
		Entry("many header fields", whole("0123456789", strings.Repeat("A: b\r\n", 5000)), 5000),
		Entry("a long header field", whole("0123456789", "A: "+strings.Repeat("b", 50<<10)+"\r\n"), 1),
		Entry("a folded header field", whole("0123456789", "A: b\r\n c\r\n\td\r\n"), 1),
		Entry("a length that is stated twice", whole("0123456789", "content-length: 10\r\n"), 0),
		Entry("interim answers", "HTTP/1.1 100 Continue\r\n\r\n"+strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 20)+whole("0123456789"), 0),
		Entry("the older version", "HTTP/1.0 200\nContent-Length: 10\n\n0123456789", 0),
	)

	// Guards against bounds that cut a large answer, and against one that ends early
	// and looks whole.
	DescribeTable("are told from a large body", func(text func() string, size int, kind upstream.Kind) {
		got := attemptAt(serve(func(int, *http.Request) string { return text() }), patient)
		Expect(got.Kind.String()).To(Equal(kind.String()))
		if kind != upstream.Success {
			Expect(got.Response).To(BeNil())
			Expect(got.Verdict).To(Equal(verdict.MayHaveRun))
			return
		}
		Expect(got.Response.Body).To(HaveLen(size))
		Expect(strings.Trim(string(got.Response.Body), "x")).To(BeElementOf("", "CUT"))
	},
		Entry("of a stated length", func() string { return whole(strings.Repeat("x", large)) }, large, upstream.Success),
		Entry("in one chunk", func() string {
			return chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", large, strings.Repeat("x", large))
		}, large, upstream.Success),
		Entry("in chunks with extensions and a trailer", func() string { return chunkedHead + strings.Repeat("3;a=b\r\nxxx\r\n", 1000) + "0\r\nA: b\r\n\r\n" }, 3000, upstream.Success),
		Entry("in chunks with a cut behind the last", func() string { return chunkedHead + "1 \r\nx\r\n0\r\nCUT" }, 1, upstream.Success),
		Entry("in chunks with a broken end", func() string { return chunkedHead + "3\r\nxxxx\r\n0\r\n\r\n" }, 3, upstream.Truncated),
		Entry("in chunks with a sign before a size", func() string { return chunkedHead + "+3\r\nxxx\r\n0\r\n\r\n" }, 3, upstream.Truncated),
		Entry("that ends with the connection", func() string {
			return okHead + "Connection: close\r\n\r\n" + strings.Repeat("x", large) + "CUT"
		}, large+3, upstream.Success),
		Entry("of a stated length and cut", func() string { return okHead + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 90) + "CUT" }, 100, upstream.Truncated),
	)

	It("that end with the connection end the attempt at once where nothing can tell whether they are whole", func() {
		native.Unframed = false
		e := testkit.NewEndlessServer(okHead+"\r\n", "x", trickle)
		got := attempt(e, patient)
		Expect(got.Kind).To(Equal(upstream.Truncated))
		Expect(got.Latency).To(BeNumerically("<", soon))
		ends(e, got)
	})

	It("a body of a stated length that no daemon can hold ends the attempt at once", func() {
		for _, length := range []string{
			"Content-Length: 1000000000000\r\n\r\n", "Content-Length: 922337203685477580\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n100000000\r\n", "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		} {
			e := testkit.NewEndlessServer(okHead+length, "x", trickle)
			got := attempt(e, patient)
			Expect(got.Kind).To(Equal(upstream.Truncated))
			Expect(got.Latency).To(BeNumerically("<", soon))
			ends(e, got)
		}
	})

	// A host has memory for a few answers of tens of megabytes at a time, not for
	// one at each of its connections.
	It("share one bound of memory, which the largest answer leaves first", func() {
		bodies := []string{okHead + "\r\n", chunkedHead + "1500000\r\n", okHead + "Content-Length: 20000000\r\n\r\n"}
		const each = 6
		var wrong atomic.Int32
		small := make(chan upstream.Result, 1)
		peak := testkit.HeapPeak(func() {
			var wg sync.WaitGroup
			for _, head := range bodies {
				e := testkit.NewEndlessServer(head, "x", 0)
				for range each {
					wg.Go(func() {
						got := attempt(e, patient)
						truthful := got.Response == nil && got.Verdict == verdict.MayHaveRun || got.Response != nil && len(got.Response.Body) == 20000000
						if !truthful || got.Latency > patient/2 {
							wrong.Add(1)
						}
					})
				}
			}
			t := serve(func(_ int, r *http.Request) string {
				time.Sleep(trickle)
				return whole(strings.Repeat("y", 100<<10))
			})
			wg.Go(func() {
				small <- client.Do(context.Background(), t, &upstream.Request{ID: "r1", Method: "GET", URI: "/"})
			})
			wg.Wait()
		})
		GinkgoWriter.Printf("heap %d MiB\n", peak>>20)
		Expect(peak).To(BeNumerically("<", smallestHost))
		Expect((<-small).Kind).To(Equal(upstream.Success))
		Expect(wrong.Load()).To(BeZero())
	})

	// Guards against bytes of one answer in another caller's.
	DescribeTable("behind a whole answer close the connection, which carries no other request", func(unit string) {
		for _, pause := range []time.Duration{0, trickle} {
			e := testkit.NewEndlessServer(whole("first"), unit, pause)
			for range 2 {
				before := e.Sent.Load()
				got := attempt(e, patient)
				Expect(got.Kind).To(Equal(upstream.Success))
				Expect(got.Reused).To(BeFalse())
				Expect(string(got.Response.Body)).To(Equal("first"))
				if pause > 0 {
					Eventually(e.Sent.Load, soon, time.Millisecond).Should(BeNumerically(">", before))
				}
			}
			Expect(e.Opened.Load()).To(BeEquivalentTo(2))
		}
	},
		Entry("noise", "noise"),
		Entry("further answers", whole("another")),
		Entry("empty lines", "\r\n"),
	)

	// An upstream that says that it keeps connections long held one, and the receive
	// buffer of the host, for half a minute if no request came.
	It("behind a whole answer end the connection soon also when no request follows", func() {
		e := testkit.NewEndlessServer(whole("first", "Keep-Alive: timeout=30\r\n"), "noise", trickle)
		Expect(attempt(e, patient).Kind).To(Equal(upstream.Success))
		Eventually(e.Open.Load, idleCheck+soon, trickle).Should(BeZero())
	})
})
