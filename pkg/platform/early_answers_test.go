package platform_test

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/platform"
)

var _ = Describe("Answers of a store that ends the connection", func() {
	// valueBytes is more than the socket buffers of both sides hold.
	const valueBytes = 16 << 20
	var (
		certified *httptest.Server
		config    *tls.Config
		scheme    string
	)
	BeforeEach(func() {
		certified = httptest.NewUnstartedServer(http.NotFoundHandler())
		certified.StartTLS()
		DeferCleanup(certified.Close)
		config, scheme = nil, "http://"
	})
	useTLS := func() { config, scheme = &tls.Config{Certificates: certified.TLS.Certificates}, "https://" }
	call := func(call platform.Call, text string, end testkit.Ending) (reply platform.Reply, err error) {
		address := testkit.ServeEarly(config, func(*http.Request) testkit.EarlyAnswer { return testkit.EarlyAnswer{Text: text, End: end} })
		transport, err := platform.NewTransport(platform.TransportConfig{
			URLs: []string{scheme + address}, ReadTimeout: time.Second, RootCAs: certified.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(transport.Close)
		return reply, transport.Call(context.Background(), call, func(r platform.Reply) error { reply = r; return nil })
	}
	write := platform.Call{Method: http.MethodPut, Path: "/x", Write: true, Body: make([]byte, valueBytes)}

	for _, secured := range []bool{false, true} {
		name := map[bool]string{false: "without TLS", true: "with TLS"}[secured]
		Describe(name, func() {
			BeforeEach(func() {
				if secured {
					useTLS()
				}
			})

			// Guards against a part of a refusal that passes for the whole one: the write gets the reset
			// of the connection, and the read then finds the end of the stream.
			It("are none if they have no length and the connection is reset before the write was read", func() {
				reply, err := call(write, "HTTP/1.1 412 E\r\n\r\npart", testkit.ResetAfter(20*time.Millisecond))
				Expect(err).To(MatchError(platform.ErrUnknownOutcome), "reply %d %q", reply.Status, reply.Body)
			})

			It("count if they are complete, also before the write was read", func() {
				reply, err := call(write, "HTTP/1.1 412 E\r\nContent-Length: 5\r\n\r\nwhole", testkit.ResetAfter(20*time.Millisecond))
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.Status).To(Equal(412))
				Expect(string(reply.Body)).To(Equal("whole"))
			})
		})
	}

	// Guards against a part of an answer that passes for the whole one: without a closure alert,
	// the end of the connection may come from anybody on the path.
	It("are none with TLS if they have no length and the closure alert is missing", func() {
		useTLS()
		read := platform.Call{Method: http.MethodGet, Path: "/x"}
		reply, err := call(read, "HTTP/1.1 200 OK\r\n\r\npart", testkit.CloseTCP)
		Expect(err).To(MatchError(platform.ErrUnavailable), "reply %d %q", reply.Status, reply.Body)
		for _, answered := range []platform.Call{read, write} {
			reply, err = call(answered, "HTTP/1.1 412 E\r\n\r\nwhole", testkit.CloseStream)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(reply.Body)).To(Equal("whole"))
		}
	})
})
