package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/ingress"
	"shallotglade/pkg/memory"
)

var _ = Describe("Server with little memory", func() {
	var address string
	var server *ingress.Server
	var held chan struct{}
	var maxConnections atomic.Int64
	budget := memory.New(4) // 2 MB, 1.5 of them for large requests
	BeforeEach(func() {
		held = make(chan struct{})
		maxConnections.Store(3)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		limits := ingress.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, RequestArrival: 20 * time.Second, Idle: time.Minute}
		server = ingress.New(ln, func() ingress.Limits { l := limits; l.Connections = int(maxConnections.Load()); return l }, func(ctx context.Context, r *ingress.Request, resp *protocol.Response) {
			if strings.HasPrefix(string(r.Path()), "/large") {
				resp.SetBodyRaw(make([]byte, 8<<20)) // more than the socket buffers hold
				return
			}
			if strings.HasPrefix(string(r.Path()), "/held") {
				select {
				case <-held:
				case <-ctx.Done():
				}
			}
			if strings.HasPrefix(string(r.Path()), "/fields") {
				for range 400 {
					resp.Header.Add("A", strings.Repeat("x", 100))
				}
			}
			resp.SetBodyString(fmt.Sprintf("%v %d", r.Discarded, len(r.Body())))
		}, zerolog.Nop())
		server.ShareMemory(budget)
		server.DiscardBody = func(r *ingress.Request) bool { return strings.HasPrefix(string(r.Path()), "/unknown") }
		go func() { _ = server.Run() }()
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_ = server.Shutdown(ctx)
			Eventually(func() int64 { return budget.Stats().UsedBytes }).Should(BeZero(), "memory stays counted")
		})
	})
	upload := func(path string, sent int) *caller {
		c := dial(address)
		c.send("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n%s", path, strings.Repeat("x", sent))
		return c
	}

	// serves reports whether a request on a new connection is answered with 200.
	serves := func() bool {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, _ = fmt.Fprintf(c, get, "new")
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		status := make([]byte, len("HTTP/1.1 200"))
		_, _ = io.ReadFull(c, status)
		return string(status) == "HTTP/1.1 200"
	}

	// Guards against bodies that stop short of their end and keep the memory from others, and against
	// an untrue or missing answer to their callers.
	It("refuses the request that has stalled and serves the one that waits", func() {
		stalled := upload("/a", 999_000)
		Eventually(func() int64 { return budget.Stats().UsedBytes }).Should(BeNumerically(">", 1_000_000))
		served := upload("/b", 1_000_000)
		_, body := served.answer()
		Expect(body).To(Equal("false 1000000"))
		r, _ := stalled.answer()
		Expect(r.StatusCode).To(Equal(503))
		Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against answers for callers that do not read, which keep the memory from others.
	It("closes the connection of a caller that does not read its answer", func() {
		unread := dial(address)
		unread.send(get, "large")
		Eventually(func() int64 { return budget.Stats().UsedBytes }).Should(BeNumerically(">=", 8<<20))
		// It is refused until the other connection counts as stalled. Only that one may be closed
		// for others, so the connections of the attempts must have ended.
		Eventually(func() bool {
			Eventually(server.Open, 5*time.Second).Should(BeNumerically("<=", 1))
			return serves()
		}, 5*time.Second, 100*time.Millisecond).Should(BeTrue())
		Expect(server.Evictions()).To(BeEquivalentTo(1))
	})

	// Guards against a connection that was told to close for a new one and stays, beyond the limit of
	// connections, for as long as its body may wait for memory.
	It("closes a connection at the limit also while its body waits for memory", func() {
		maxConnections.Store(2)
		upload("/held", 1_000_000)
		Eventually(func() int64 { return budget.Stats().UsedBytes }).Should(BeNumerically(">", 1_000_000))
		waiting := dial(address)
		waiting.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7a120\r\n%s\r\n493e0\r\n", strings.Repeat("x", 500_000))
		Eventually(serves, 5*time.Second, 100*time.Millisecond).Should(BeTrue())
		evicted := time.Now()
		r, _ := waiting.answer()
		Expect(r.StatusCode).To(Equal(503))
		Expect(time.Since(evicted)).To(BeNumerically("<", 2*time.Second))
	})

	// Guards against pipelined requests that wait behind each other and take all memory, so that
	// ordinary callers are refused as long as the others stay: none of them has stalled.
	It("serves an ordinary request beside pipelined ones that wait", func() {
		maxConnections.Store(12)
		for range 6 {
			c := dial(address)
			c.send("%s", strings.Repeat("GET /held HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 3500)+"\r\n\r\n", 32))
		}
		for range 2 {
			c := dial(address)
			c.send("%s", strings.Repeat(fmt.Sprintf(get, "held"), 32))
		}
		Consistently(serves, 500*time.Millisecond, 100*time.Millisecond).Should(BeTrue())
		Expect(server.Evictions()).To(BeZero())
	})

	// Guards against the fields of answers that wait behind others, which no limit counts.
	It("counts the fields of answers that are not written", func() {
		c := dial(address)
		c.send(get, "held")
		for range 5 {
			c.send(get, "fields")
		}
		Eventually(func() int64 { return budget.Stats().UsedBytes }, 5*time.Second).Should(BeNumerically(">=", 5*400*100))
		close(held)
		for range 6 {
			r, _ := c.answer()
			Expect(r.StatusCode).To(Equal(200))
		}
	})

	// Guards against bodies in memory for which there is no use.
	It("reads bodies that are not needed without keeping them", func() {
		c := upload("/unknown", 1_000_000)
		_, body := c.answer()
		Expect(body).To(Equal("true 0"))
		c.send("POST /unknown HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		_, body = c.answer()
		Expect(body).To(Equal("true 0"))
	})

	// Guards against idle connections that keep new callers out.
	It("closes the connection that is idle for the longest time at the limit", func() {
		first := dial(address)
		first.send(get, "1")
		_, _ = first.answer()
		// The answer may arrive before the server has recorded that it was written. The other
		// connections must be younger than that.
		Eventually(server.Pending).Should(BeZero())
		for range 2 {
			dial(address)
		}
		Eventually(serves, 5*time.Second, 100*time.Millisecond).Should(BeTrue())
		Expect(first.ended()).To(BeEmpty())
	})
})
