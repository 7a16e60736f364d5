package platform_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/panics"
	"shallotglade/pkg/platform"
)

var _ = Describe("Odd answers", func() {
	const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	// serve answers the first call of each connection with odd and the others with soundAnswer.
	serve := func(odd string, wrap func(net.Conn) net.Conn) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for n := 0; ; n++ {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				text := soundAnswer
				if n == 0 {
					text = odd
				}
				go func() {
					c := wrap(c)
					defer c.Close()
					br := bufio.NewReader(c)
					for {
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						fmt.Fprint(c, text)
					}
				}()
			}
		}()
		return ln.Addr().String()
	}
	plain := func(c net.Conn) net.Conn { return c }
	newTransport := func(url string) *platform.Transport {
		transport, err := platform.NewTransport(platform.TransportConfig{URLs: []string{url}, ReadTimeout: 300 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(transport.Close)
		return transport
	}
	read := platform.Call{Method: http.MethodGet, Path: "/x", Wait: time.Millisecond}
	ignore := func(platform.Reply) error { return nil }

	// Guards against one answer of the store that ends every daemon of a fleet, since the HTTP library
	// panics on it, and against one that is taken for an answer and is none.
	DescribeTable("are no reply, and the next call is answered", func(odd string) {
		transport := newTransport("http://" + serve(odd, plain))
		Expect(transport.Call(context.Background(), read, ignore)).To(MatchError(platform.ErrUnavailable))
		var body []byte
		Expect(transport.Call(context.Background(), read, func(r platform.Reply) error { body = r.Body; return nil })).To(Succeed())
		Expect(string(body)).To(Equal("body"))
	},
		Entry("empty elements in the Trailer field", "HTTP/1.1 200 OK\r\nTrailer: ,,\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("the same after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTrailer: ,,\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a blank before the name of a field", "HTTP/1.1 200 OK\r\nX-A: a\r\n X-B: b\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a tab before the name of the first field", "HTTP/1.1 200 OK\r\n\tX-A: a\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a blank behind the name of a field", "HTTP/1.1 200 OK\r\nX-A : a\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a control byte in the name of a field", "HTTP/1.1 200 OK\r\nX\x01A: a\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("status 000", "HTTP/1.1 000 E\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"),
		Entry("an event stream without end", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\r\n\r\n"),
		Entry("a broken-off body", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbody"),
		Entry("a malformed chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"),
		Entry("a malformed trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nno field\r\n\r\n"),
	)

	// Guards against connections with TLS that skip the check of heads.
	It("are refused on connections with TLS as well", func() {
		certified := httptest.NewUnstartedServer(http.NotFoundHandler())
		certified.StartTLS()
		DeferCleanup(certified.Close)
		address := serve("HTTP/1.1 200 OK\r\nTrailer: ,,\r\nContent-Length: 4\r\n\r\nbody", func(c net.Conn) net.Conn {
			return tls.Server(c, &tls.Config{Certificates: certified.TLS.Certificates})
		})
		pool := certified.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
		transport, err := platform.NewTransport(platform.TransportConfig{
			URLs: []string{"https://" + address}, ReadTimeout: 300 * time.Millisecond, RootCAs: pool,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(transport.Close)
		Expect(transport.Call(context.Background(), read, ignore)).To(MatchError(platform.ErrUnavailable))
		for range 2 {
			Expect(transport.Call(context.Background(), read, ignore)).To(Succeed())
		}
	})

	// Guards against a panic of the code that decodes a reply.
	It("whose decoding panics are no reply", func() {
		panics.SetLogger(zerolog.New(GinkgoWriter))
		transport := newTransport("http://" + serve(soundAnswer, plain))
		before := panics.Total(panics.Platform)
		decode := func(r platform.Reply) error { _ = r.Body[r.Status]; return nil }
		Expect(transport.Call(context.Background(), read, decode)).To(MatchError(platform.ErrUnavailable))
		Expect(panics.Total(panics.Platform)).To(Equal(before + 1))
		Expect(transport.Call(context.Background(), read, ignore)).To(Succeed())
	})
})
