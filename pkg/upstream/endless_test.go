package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
	// trickle is the pause of a slow sender, of which each read makes progress.
	trickle = 50 * time.Millisecond
)

// endless is an upstream that answers each request with head and then sends
// unit again and again until the connection is closed.
type endless struct {
	target upstream.Target
	// open counts its connections, opened those that it ever had.
	open, opened atomic.Int32
	sent         atomic.Int64
}

func newEndless(head, unit string, pause time.Duration) *endless {
	e := &endless{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	e.target = upstream.Target{Address: ln.Addr().String(), MaxConnections: 64, ConnectTimeout: time.Second}
	if pause == 0 {
		unit = strings.Repeat(unit, 1+(32<<10)/len(unit))
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.open.Add(1)
			e.opened.Add(1)
			go e.serve(c, head, unit, pause)
		}
	}()
	return e
}

func (e *endless) serve(c net.Conn, head, unit string, pause time.Duration) {
	defer e.open.Add(-1)
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := fmt.Fprint(c, head); err != nil {
		return
	}
	for {
		n, err := c.Write([]byte(unit))
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// heapPeak runs a task and returns the most heap that it added.
func heapPeak(task func()) int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := int64(m.HeapAlloc), int64(0)
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			runtime.ReadMemStats(&m)
			peak = max(peak, int64(m.HeapAlloc)-before)
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	task()
	close(done)
	<-stopped
	return peak
}

const okHead = "HTTP/1.1 200 OK\r\n"

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
	attempt := func(e *endless, limit time.Duration) upstream.Result {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return client.Do(ctx, e.target, &upstream.Request{ID: "r1", Method: "GET", URI: "/"})
	}
	ends := func(e *endless, got upstream.Result) {
		GinkgoHelper()
		Expect(got.Response).To(BeNil())
		Expect(got.Verdict).To(Equal(verdict.MayHaveRun))
		Expect(len(fmt.Sprint(got.Err))).To(BeNumerically("<", 1<<10), "the error quotes the bytes")
		// The upstream sees the end, which is what cancels its work.
		Eventually(e.open.Load, soon, time.Millisecond).Should(BeZero())
	}

	DescribeTable("that can be no answer end the attempt as soon as that is certain, fast and slow",
		func(head, unit string, kind upstream.Kind) {
			for _, pause := range []time.Duration{0, trickle} {
				e := newEndless(head, unit, pause)
				var got upstream.Result
				peak := heapPeak(func() { got = attempt(e, patient) })
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
	)

	DescribeTable("that could still become an answer end the attempt at a bound of memory when fast, by its time limit when slow",
		func(head, unit string, fast upstream.Kind) {
			for _, pause := range []time.Duration{0, trickle} {
				limit, kind, by := patient, fast, patient/2
				if pause > 0 {
					limit, kind, by = short, upstream.Timeout, late
				}
				e := newEndless(head, unit, pause)
				var got upstream.Result
				peak := heapPeak(func() { got = attempt(e, limit) })
				GinkgoWriter.Printf("pause %v: %v after %v, heap %d KiB, err %.200v\n", pause, got.Kind, got.Latency, peak>>10, got.Err)
				Expect(got.Kind.String()).To(Equal(kind.String()))
				Expect(got.Latency).To(BeNumerically("<", by))
				Expect(peak).To(BeNumerically("<", smallestHost))
				ends(e, got)
			}
		},
		Entry("header fields", okHead, "A: b\r\n", upstream.Failure),
		Entry("one header field", okHead+"A: ", "b", upstream.Failure),
		Entry("one header name", okHead, "a", upstream.Failure),
		Entry("a reason in the status line", "HTTP/1.1 200 ", "O", upstream.Failure),
		Entry("a folded header field", okHead+"A: b\r\n", " c\r\n", upstream.Failure),
		Entry("100 Continue", "", "HTTP/1.1 100 Continue\r\n\r\n", upstream.Failure),
		Entry("102 Processing", "", "HTTP/1.1 102 Processing\r\n\r\n", upstream.Failure),
		Entry("103 Early Hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", upstream.Failure),
	)

	// Guards against limits that cut what an upstream may send.
	DescribeTable("are told from a long head and from interim answers", func(text string, headers int) {
		got := attempt(&endless{target: serve(func(int, *http.Request) string { return text })}, patient)
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
})
