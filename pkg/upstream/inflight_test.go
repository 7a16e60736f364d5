package upstream_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/dialect"
	"shallotglade/pkg/memory"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// Guards against an upstream that runs out of memory for the requests that one daemon sends it.
var _ = It("bounds the bodies in flight to one upstream, but for a single one", func() {
	client := upstream.NewClientWithMemory(dialect.Native(), memory.New(4)) // 1 MB for one upstream
	DeferCleanup(client.Close)
	received, release := make(chan struct{}, 8), make(chan struct{})
	target := serve(func(_ int, r *http.Request) string {
		received <- struct{}{}
		<-release
		_, _ = io.Copy(io.Discard, r.Body)
		return completeResponse("x")
	})
	send := func(bytes int) upstream.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return client.Do(ctx, target, &upstream.Request{ID: "r", Method: "POST", URI: "/", Body: make([]byte, bytes)})
	}
	first := make(chan upstream.Result, 1)
	go func() { first <- send(2_000_000) }()
	Eventually(received).Should(Receive())
	refused := send(1000)
	Expect(refused.Kind).To(Equal(upstream.Refused))
	Expect(refused.Verdict).To(Equal(verdict.NotRun))
	close(release)
	Expect((<-first).Kind).To(Equal(upstream.Success))
	Expect(send(1000).Kind).To(Equal(upstream.Success))
})
