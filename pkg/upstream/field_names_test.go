package upstream_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/dialect"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// Guards against an answer that is none and reaches the caller, without one of its lines or with a
// body that the upstream has not sent.
var _ = DescribeTable("A response is none if the name of a field is malformed",
	func(lines string) {
		native := dialect.Native()
		native.AllowUnframed = true
		client := upstream.NewClient(native)
		DeferCleanup(client.Close)
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\n" + lines + "\r\n1\r\nx\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 1\r\n\r\nx",
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + lines + "\r\nx",
			"HTTP/1.1 200 OK\r\nX-A: a\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
			"HTTP/1.1 103 E\r\n" + lines + "\r\n" + completeResponse("x"),
		} {
			got := client.Do(context.Background(), serveOnce(text), &upstream.Request{ID: "r1", Method: "GET", URI: "/"})
			Expect(got.Response).To(BeNil(), "%q", text)
			Expect(got.Kind.String()).To(Equal(upstream.Failure.String()), "%q", text)
			Expect(got.Verdict).To(Equal(verdict.MayHaveRun), "%q", text)
		}
	},
	Entry("a blank before it", " X-A: a\r\n"),
	Entry("a tab before it", "\tX-A: a\r\n"),
	Entry("a blank before it, behind another field", "X-A: a\r\n X-B: b\r\n"),
	Entry("a tab before it, behind a folded field", "X-A: a\r\n b\r\n\tX-B: b\r\n"),
	Entry("a blank before a length", "X-A: a\r\n Content-Length: 3\r\n"),
	Entry("a tab before a transfer coding", "X-A: a\r\n\tTransfer-Encoding: chunked\r\n"),
	Entry("a blank in it", "X A: a\r\n"),
	Entry("a blank behind it", "X-A : a\r\n"),
	Entry("a blank behind that of a length", "Content-Length : 3\r\n"),
	Entry("a tab behind that of a transfer coding", "Transfer-Encoding\t: chunked\r\n"),
	Entry("a control byte in it", "X\x01A: a\r\n"),
	Entry("a zero byte before it", "\x00X-A: a\r\n"),
	Entry("a carriage return in it", "X\rA: a\r\n"),
	Entry("a delete byte behind that of a length", "Content-Length\x7f: 3\r\n"),
	Entry("a byte outside ASCII in it", "X\xe9A: a\r\n"),
	Entry("no byte", ": a\r\n"),
	Entry("no colon", "X-A\r\n"),
)
