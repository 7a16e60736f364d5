package upstream_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

var _ = Describe("A response that arrives while the request is written", func() {
	// uploadBytes is more than the socket buffers of both sides hold.
	const uploadBytes = 16 << 20
	upload := func(text string, end testkit.Ending) upstream.Result {
		native := dialect.Native()
		native.AllowUnframed = true
		client := upstream.NewClient(native)
		DeferCleanup(client.Close)
		address := testkit.ServeEarly(nil, func(*http.Request) testkit.EarlyAnswer { return testkit.EarlyAnswer{Text: text, End: end} })
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return client.Do(ctx, upstream.Target{Address: address, MaxConnections: 2, ConnectTimeout: time.Second},
			&upstream.Request{ID: "r1", Method: "POST", URI: "/", Body: make([]byte, uploadBytes)})
	}

	// Guards against a part of a response that reaches the caller as a success: the write of the
	// request gets the reset of the connection, and the read then finds the end of the stream.
	DescribeTable("is not complete if it has no length and the connection is reset", func(head string) {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			for range 5 {
				got := upload(head+"\r\npart", testkit.ResetAfter(delay))
				Expect(got.Response).To(BeNil(), "reset after %v", delay)
				Expect(got.Verdict).To(Equal(verdict.MayHaveRun))
			}
		}
	},
		Entry("HTTP/1.1", "HTTP/1.1 200 OK\r\n"),
		Entry("HTTP/1.1, stated to close", "HTTP/1.1 200 OK\r\nConnection: close\r\n"),
		Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\n"),
	)

	// Guards against a caller whose upload is refused early and who gets another answer.
	DescribeTable("is complete if it", func(text string, end testkit.Ending) {
		got := upload("HTTP/1.1 413 E\r\n"+text, end)
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(got.Response.Status).To(Equal(413))
		Expect(string(got.Response.Body)).To(Equal("whole"))
		Expect(got.Latency).To(BeNumerically("<", time.Second))
	},
		Entry("has a length, and the connection is reset", "Content-Length: 5\r\n\r\nwhole", testkit.ResetAfter(20*time.Millisecond)),
		Entry("has chunks, and the connection is reset", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", testkit.ResetAfter(20*time.Millisecond)),
		Entry("has no length, and the upstream closes its side", "\r\nwhole", testkit.CloseTCP),
	)
})
