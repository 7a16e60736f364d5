package ingress_test

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/ingress"
	"shallotglade/pkg/memory"
	"shallotglade/pkg/panics"
)

var _ = Describe("A panic", func() {
	var (
		server *ingress.Server
		budget *memory.Budget
		finish chan struct{}
	)
	// serve starts a server whose handler panics for /panic and waits for finish for /slow.
	serve := func(prepare func(*ingress.Server)) string {
		panics.SetLogger(zerolog.New(GinkgoWriter))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		limits := ingress.Limits{Connections: 8, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 64, RequestArrival: 5 * time.Second, Idle: 5 * time.Second}
		budget, finish = memory.New(0), make(chan struct{})
		server = ingress.New(ln, func() ingress.Limits { return limits }, func(_ context.Context, r *ingress.Request, resp *protocol.Response) {
			switch string(r.Header.RequestURI()) {
			case "/panic":
				panic("the handler cannot handle it")
			case "/slow":
				<-finish
			}
			resp.SetBody(r.Header.RequestURI())
		}, zerolog.Nop())
		server.ShareMemory(budget)
		prepare(server)
		go func() { _ = server.Run() }()
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = server.Shutdown(ctx)
		})
		return ln.Addr().String()
	}
	expectNothingHeld := func() {
		GinkgoHelper()
		Eventually(server.Open, 5*time.Second).Should(BeZero())
		Expect(server.Pending()).To(BeZero())
		Expect(budget.Stats().UsedBytes).To(BeZero())
	}

	// Guards against a panic of a handler that ends the process, or that leaves the answers to
	// other requests of its connection, or its memory, behind.
	It("of a handler ends its connection after the answers to earlier requests", func() {
		address := serve(func(*ingress.Server) {})
		before := panics.Total(panics.Requests)
		c := dial(address)
		c.send(get+get+get, "slow", "panic", "behind")
		Eventually(func() uint64 { return panics.Total(panics.Requests) }, 5*time.Second).Should(Equal(before + 1))
		close(finish)
		_, body := c.answer()
		Expect(body).To(Equal("/slow"))
		r, _ := c.answer()
		Expect(r.StatusCode).To(Equal(500))
		Expect(r.Close).To(BeTrue())
		Expect(c.ended()).To(BeEmpty())
		expectNothingHeld()
		other := dial(address)
		other.send(get, "other")
		_, body = other.answer()
		Expect(body).To(Equal("/other"))
	})

	// Guards against the same for a panic while a request is read.
	It("while a request is read ends its connection", func() {
		address := serve(func(s *ingress.Server) {
			s.Screen = func(r *ingress.Request) *ingress.Refusal {
				if string(r.Header.RequestURI()) == "/unreadable" {
					panic("the request cannot be read")
				}
				return nil
			}
		})
		before := panics.Total(panics.Requests)
		c := dial(address)
		c.send(get+get+get, "slow", "unreadable", "behind")
		Eventually(func() uint64 { return panics.Total(panics.Requests) }, 5*time.Second).Should(Equal(before + 1))
		close(finish)
		_, body := c.answer()
		Expect(body).To(Equal("/slow"))
		r, _ := c.answer()
		Expect(r.StatusCode).To(Equal(400))
		Expect(c.ended()).To(BeEmpty())
		expectNothingHeld()
	})
})
