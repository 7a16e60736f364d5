package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// instantSender answers immediately with minimal allocations.
type instantSender struct{ headers []upstream.Header }

func (s *instantSender) Do(context.Context, upstream.Target, *upstream.Request) upstream.Result {
	return upstream.Result{
		Response: &upstream.Response{Status: 200, Headers: s.headers}, Verdict: verdict.Ran, Latency: time.Millisecond,
	}
}

func (s *instantSender) Close() {}

// asHome makes the daemon the home of the service, so that Serve does not forward.
func asHome(p *proxy.Proxy, daemonID string) *blackboard.Service {
	s, ok := p.Board.Service("orders")
	Expect(ok).To(BeTrue())
	s.SetHomes(time.Now(), []routing.Home{{ID: daemonID, Domain: "fes"}})
	s.Refresh(time.Now())
	return s
}

func benchServe(b *testing.B, logDecisions bool) {
	RegisterTestingT(b)
	p := newProxy("home-1", ordersDocument, memstore.New(), &instantSender{}, &directory{})
	p.LogDecisions, p.Log = func() bool { return logDecisions }, telemetry.NewLogger(io.Discard, "info", "home-1")
	asHome(p, "home-1")
	in := request("GET", "", "")
	b.ReportAllocs()
	for b.Loop() {
		in.Arrived = time.Now()
		if a := p.Serve(context.Background(), in); a.Status != 200 {
			b.Fatalf("status %d", a.Status)
		}
	}
}

func BenchmarkServe(b *testing.B)    { benchServe(b, false) }
func BenchmarkServeLog(b *testing.B) { benchServe(b, true) }

// rawUpstream answers each request with the same bytes and allocates nothing.
func rawUpstream(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() { ln.Close() })
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); readHead(r) == nil; {
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// readHead reads up to the empty line; the requests have no body.
func readHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil || len(line) <= 2 {
			return err
		}
	}
}

// BenchmarkHTTP measures the whole path: caller connection, HTTP server, request
// path, HTTP client and upstream connection.
func BenchmarkHTTP(b *testing.B) {
	RegisterTestingT(b)
	telemetry.CaptureHTTP(zerolog.Nop())
	sender := upstream.NewClient(dialect.Native())
	defer sender.Close()
	p := newProxy("home-1", ordersDocument, memstore.New(), sender, &directory{})
	asHome(p, "home-1").SetUpstreams(time.Now(), []blackboard.Upstream{{ID: "w0", Address: rawUpstream(b), Domain: "fes", Slots: 3}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := proxy.NewServer(ln, func() settings.Callers {
		return settings.Callers{
			MaxConnections: 10, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 1 << 20, RequestArrival: time.Second, Idle: time.Minute,
		}
	}, p, nil)
	go func() { _ = s.Run() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	r := bufio.NewReader(c)
	text := []byte(fmt.Sprintf("GET /x HTTP/1.1\r\nHost: a\r\n%s: orders\r\n%s: clerk\r\n\r\n", proxy.HeaderService, proxy.HeaderCaller))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(text); err != nil {
			b.Fatal(err)
		}
		if err := readHead(r); err != nil {
			b.Fatal(err)
		}
		if _, err := r.Discard(2); err != nil {
			b.Fatal(err)
		}
	}
}
