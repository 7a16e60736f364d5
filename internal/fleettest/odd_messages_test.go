package fleettest_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/fleettest"
	"shallotglade/internal/standin"
	"shallotglade/pkg/platform"
)

// hiddenOrder stands in the bodies of odd requests.
const hiddenOrder = "POST /book HTTP/1.1\r\nHost: h\r\nShallotglade-Service: wheel-roster\r\nIdempotency-Key: hidden\r\nContent-Length: 0\r\n\r\n"

// oddRequests are requests that daemons refuse, whatever their address is for.
var oddRequests = []string{
	"GET / HTTP/1.1\r\nHost: h\r\nTrailer: ,,\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nTrailer: X-A\r\n , ,\r\n\r\n",
	"GET a: HTTP/1.0\r\n\r\n",
	"GET a:1 HTTP/1.1\r\n\r\n",
	"CONNECT a:1 HTTP/1.0\r\n\r\n",
	"GET http:// HTTP/1.0\r\n\r\n",
	"GET #a HTTP/1.0\r\n\r\n",
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
	"POST /book HTTP/1.1\r\nHost: h\r\nShallotglade-Service: wheel-roster\r\nIdempotency-Key: outer\r\nContent-Length: 200\r\nContent-Length: 0\r\n\r\n" + hiddenOrder,
	"POST /book HTTP/1.1\r\nHost: h\r\nShallotglade-Service: wheel-roster\r\nIdempotency-Key: outer\r\nContent-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hiddenOrder,
	"POST /book HTTP/1.1\r\nHost: h\r\nShallotglade-Service: wheel-roster\r\nIdempotency-Key: outer\r\nTransfer-Encoding: identity\r\n\r\n" + hiddenOrder,
	"POST /book HTTP/1.1\r\nHost: h\r\nShallotglade-Service: wheel-roster\r\nIdempotency-Key: outer\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n" + hiddenOrder,
}

// oddAnswers are answers of upstreams and of the platform that are none.
var oddAnswers = []string{
	"HTTP/1.1 200 OK\r\nTrailer: ,,,,\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTrailer: ,\r\nContent-Length: 3\r\n\r\nODD",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n ,,\r\n\r\n3\r\nODD\r\n0\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nODD",
	"HTTP/1.1 000 ODD\r\nContent-Length: 3\r\n\r\nODD",
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 0\r\n\r\nODD",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nODD",
	"HTTP/1.1 200 OHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nODD",
	"\x00\x01ODD",
}

// oddPlatform passes calls on to the platform, or answers them with the odd answers in turn.
type oddPlatform struct {
	url     string
	isOdd   atomic.Bool
	answers atomic.Int64
}

// ServeHTTP implements http.Handler.
func (p *oddPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.isOdd.Load() {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			fmt.Fprint(c, oddAnswers[int(p.answers.Add(1))%len(oddAnswers)])
			c.Close()
		}
		return
	}
	call, err := http.NewRequestWithContext(r.Context(), r.Method, p.url+r.URL.RequestURI(), r.Body)
	if err != nil {
		return
	}
	call.Header = r.Header
	reply, err := http.DefaultTransport.RoundTrip(call)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer reply.Body.Close()
	w.WriteHeader(reply.StatusCode)
	// A caller that has left needs no reply.
	_, _ = io.Copy(w, reply.Body)
}

// serveOddAnswer starts an upstream that gives one odd answer to every request, and returns its
// address and the number of its answers.
func serveOddAnswer(answer string) (string, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	var answers atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					fmt.Fprint(c, answer)
					answers.Add(1)
				}
			}()
		}
	}()
	return ln.Addr().String(), &answers
}

// sendOdd sends an odd request and returns the answer, which may be empty.
func sendOdd(address, request string) string {
	GinkgoHelper()
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, request)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	// The daemon may reset the connection behind its answer.
	answer, _ := io.ReadAll(c)
	return string(answer)
}

var _ = Describe("Odd messages", func() {
	// Guards against one message that ends a daemon, or the whole fleet, and with it the requests of
	// all callers; and against one that runs an order nobody sent, or reaches a caller as an answer.
	It("at any address end no daemon and cost no order", func() {
		dir, err := os.MkdirTemp("", "fleettest")
		Expect(err).NotTo(HaveOccurred())
		f := fleettest.New(bin, dir)
		f.InfoListeners = true
		DeferCleanup(func() {
			f.Close()
			if CurrentSpecReport().Failed() {
				printLogTails(dir)
			}
			os.RemoveAll(dir)
		})
		ctx := context.Background()
		Expect(f.StartPlatform()).To(Succeed())
		store := &oddPlatform{url: f.PlatformURL}
		front := httptest.NewServer(store)
		DeferCleanup(front.Close)
		f.PlatformURL = front.URL
		for i := range 3 {
			for _, service := range []string{"wheel-roster", "stone-catalogue"} {
				_, err := f.StartUpstream(service, fmt.Sprintf("%s-%d", service, i), domains[i], 3)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		for _, domain := range domains {
			_, err := f.StartDaemon(domain+"-0", domain)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(f.AwaitReady(20 * time.Second)).To(Succeed())
		for _, text := range []string{orderDocument, readDocument} {
			version, err := f.Apply(ctx, text)
			Expect(err).NotTo(HaveOccurred())
			service, _, _ := strings.Cut(strings.TrimPrefix(text, "service: "), "\n")
			_, err = f.AwaitInForce(ctx, service, version, 20*time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		// newCallers returns callers that know the addresses for address queries of all daemons.
		newCallers := func(name string) (callers []*standin.Caller) {
			var seeds []string
			for _, d := range f.Daemons {
				seeds = append(seeds, d.AddressesAddress)
			}
			for i := range 6 {
				callers = append(callers, standin.NewCaller(name, domains[i%3], seeds))
			}
			return callers
		}
		loadCtx, stop := context.WithCancel(ctx)
		var keys atomic.Int64
		orders, reads := standin.NewLoad(), standin.NewLoad()
		var wg sync.WaitGroup
		wg.Go(func() {
			orders.Run(loadCtx, newCallers("clerk"), 5*time.Millisecond, func(c *standin.Caller, _ int) standin.Outcome {
				key := fmt.Sprintf("k-%d", keys.Add(1))
				return c.Do(ctx, "wheel-roster", "POST", "/book", key, []byte(key))
			})
		})
		wg.Go(func() {
			reads.Run(loadCtx, newCallers("carver"), 2*time.Millisecond, func(c *standin.Caller, _ int) standin.Outcome {
				return c.Do(ctx, "stone-catalogue", "GET", "/x", "", nil)
			})
		})
		for _, d := range f.Daemons {
			for _, address := range []string{d.CallerAddress, d.AddressesAddress, d.ReadinessAddress, d.AdminAddress} {
				for _, request := range oddRequests {
					answer := sendOdd(address, request)
					Expect(answer).To(HavePrefix("HTTP/1.1 4"), "%q at %s", request, address)
					Expect(strings.Count(answer, "HTTP/1.1")).To(Equal(1), "%q at %s: %q", request, address, answer)
				}
			}
		}
		for i, answer := range oddAnswers {
			id := fmt.Sprintf("odd-%d", i)
			address, answers := serveOddAnswer(answer)
			Expect(f.Register(platform.Member{
				ID: id, Role: platform.RoleUpstream, Service: "stone-catalogue", Address: address, Domain: domains[0], Slots: 3, State: platform.Live,
			})).To(Succeed())
			Eventually(answers.Load, 20*time.Second).Should(BeNumerically(">", 0), "%q", answer)
			Expect(f.Unregister(id)).To(Succeed())
		}
		stop()
		wg.Wait()
		Expect(orders.Unanswered).To(BeEmpty())
		Expect(orders.InvalidAnswers).To(BeEmpty())
		Expect(orders.OK).To(Equal(orders.Sent), "statuses %v", orders.ByStatus)
		Expect(reads.Unanswered).To(BeEmpty())
		Expect(reads.InvalidAnswers).To(BeEmpty())
		runs, err := f.Runs(ctx, "wheel-roster")
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).NotTo(HaveKey("hidden"))

		store.isOdd.Store(true)
		front.CloseClientConnections() // ends the watches that wait
		Eventually(store.answers.Load, 60*time.Second).Should(BeNumerically(">=", 3*len(oddAnswers)))
		store.isOdd.Store(false)
		for _, d := range f.Daemons {
			Expect(d.Exited()).To(BeFalse(), d.ID)
		}
		for i, c := range newCallers("carver") {
			Eventually(func() int { return c.Do(ctx, "stone-catalogue", "GET", "/x", "", nil).Status }, 20*time.Second).Should(Equal(200), "caller %d", i)
		}
	})
})
