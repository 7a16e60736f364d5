package main

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// serveNaive serves the lower bound: round robin, without limits, verdicts,
// evidence or logs. It passes answers on as they come.
func serveNaive(address string, upstreams []string) error {
	var next atomic.Uint64
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	server := &http.Server{Addr: address, ReadHeaderTimeout: 10 * time.Second}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		to := upstreams[next.Add(1)%uint64(len(upstreams))]
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+to+r.URL.RequestURI(), r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		out.Header, out.ContentLength = r.Header, r.ContentLength
		resp, err := transport.RoundTrip(out)
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
