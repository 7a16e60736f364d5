package main

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// serveNaive runs the baseline for comparison: a round-robin proxy without
// limits, verdicts, health tracking or logs. It forwards responses unchanged.
func serveNaive(address string, upstreams []string) error {
	var next atomic.Uint64
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	server := &http.Server{Addr: address, ReadHeaderTimeout: 10 * time.Second}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upstream := upstreams[next.Add(1)%uint64(len(upstreams))]
		outReq, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+upstream+r.URL.RequestURI(), r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		outReq.Header, outReq.ContentLength = r.Header, r.ContentLength
		resp, err := transport.RoundTrip(outReq)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
	return server.ListenAndServe()
}
