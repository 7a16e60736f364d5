package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/platform"
)

var _ = Describe("Caller", func() {
	// Guards against a watch that is asked for again at the moment at which it was
	// cut: a store that was just dropping its history took it, and said only 5 s
	// later that the history was gone. An old configuration was in force as long.
	DescribeTable("sends again on a new connection only what asks for the present state", func(call platform.Call, sent int) {
		var seen atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				return
			}
			if seen.Add(1) > 1 {
				return
			}
			nc, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				nc.Close()
			}
		}))
		DeferCleanup(server.Close)
		caller, err := platform.NewCaller(platform.CallerConfig{URLs: []string{server.URL}, ReadTimeout: time.Second})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		accept := func(platform.Reply) error { return nil }
		first := call
		first.Path = "/first"
		Expect(caller.Call(context.Background(), first, accept)).To(Succeed())
		// The error of a call that is sent once says that it was cut.
		_ = caller.Call(context.Background(), call, accept)
		Expect(seen.Load()).To(BeEquivalentTo(sent))
	},
		Entry("a read", platform.Call{Method: http.MethodGet, Path: "/x"}, 2),
		Entry("a watch", platform.Call{Method: http.MethodGet, Path: "/x", Wait: time.Second}, 1),
		Entry("a write", platform.Call{Method: http.MethodPut, Path: "/x", Write: true}, 1),
	)
})
