package admin_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/admin"
)

var _ = Describe("Client", func() {
	// serve answers every request with text.
	serve := func(text string) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					fmt.Fprint(c, text)
				}
				c.Close()
			}
		}()
		return ln.Addr().String()
	}

	// Guards against an answer that ends the tool with a panic of the HTTP library.
	It("reports an answer that the HTTP library cannot take as an error", func() {
		address := serve("HTTP/1.1 200 OK\r\nTrailer: ,,\r\nContent-Length: 2\r\n\r\n[]")
		c, err := admin.NewClient([]string{address}, allKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Daemons(context.Background())
		Expect(err).To(MatchError(ContainSubstring("Trailer")))
		_, err = admin.QueryAddresses(context.Background(), address, url.Values{})
		Expect(err).To(MatchError(ContainSubstring("Trailer")))
	})

	// Guards against a part of a refusal that is printed as the answer: the write of the document gets
	// the reset of the connection, and the read then finds the end of the stream.
	It("reports an answer without a length that a reset ends as none", func() {
		address := testkit.ServeEarly(nil, func(*http.Request) testkit.EarlyAnswer {
			return testkit.EarlyAnswer{Text: "HTTP/1.1 400 E\r\n\r\npart", End: testkit.ResetAfter(20 * time.Millisecond)}
		})
		c, err := admin.NewClient([]string{address}, allKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Put(context.Background(), "orders", 0, make([]byte, 16<<20))
		Expect(err).To(MatchError(ContainSubstring("did not answer")))
	})

	// Guards against a tool that hangs for the time limit when its user interrupts it.
	It("ends a call with its context", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		c, err := admin.NewClient([]string{ln.Addr().String()}, allKey)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = c.Daemons(ctx)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	})

	It("needs the address of a daemon", func() {
		_, err := admin.NewClient(nil, allKey)
		Expect(err).To(HaveOccurred())
	})
})
