package admin

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics answers with the metrics of the daemon, in the format that the request accepts.
func (s *Server) metrics(ctx context.Context, c *app.RequestContext) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "/metrics", http.NoBody)
	if err != nil {
		writeFailure(c, err)
		return
	}
	for _, name := range []string{"Accept", "Accept-Encoding"} {
		if value := c.GetHeader(name); len(value) > 0 {
			r.Header.Set(name, string(value))
		}
	}
	w := metricsWriter{header: http.Header{}, status: http.StatusOK}
	promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{}).ServeHTTP(&w, r)
	for name, values := range w.header {
		for _, value := range values {
			c.Response.Header.Add(name, value)
		}
	}
	c.SetStatusCode(w.status)
	c.Response.SetBodyRaw(w.body.Bytes())
}

// metricsWriter is an http.ResponseWriter that keeps the response.
type metricsWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *metricsWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *metricsWriter) Write(b []byte) (int, error) { return w.body.Write(b) }

// WriteHeader implements http.ResponseWriter.
func (w *metricsWriter) WriteHeader(status int) { w.status = status }
