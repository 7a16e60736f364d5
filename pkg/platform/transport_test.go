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

var _ = Describe("Transport", func() {
	// Guards against a watch that is resent as soon as its connection is closed: a store
	// that was still dropping its history accepted it and reported the dropped history only
	// 5 s later. The old configuration stayed in force for that time.
	DescribeTable("resends only reads when a pooled connection is closed", func(call platform.Call, sent int) {
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
		transport, err := platform.NewTransport(platform.TransportConfig{URLs: []string{server.URL}, ReadTimeout: time.Second})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(transport.Close)
		accept := func(platform.Reply) error { return nil }
		first := call
		first.Path = "/first"
		Expect(transport.Call(context.Background(), first, accept)).To(Succeed())
		// A call that is not resent returns an error.
		_ = transport.Call(context.Background(), call, accept)
		Expect(seen.Load()).To(BeEquivalentTo(sent))
	},
		Entry("a read", platform.Call{Method: http.MethodGet, Path: "/x"}, 2),
		Entry("a watch", platform.Call{Method: http.MethodGet, Path: "/x", Wait: time.Second}, 1),
		Entry("a write", platform.Call{Method: http.MethodPut, Path: "/x", Write: true}, 1),
	)
})
