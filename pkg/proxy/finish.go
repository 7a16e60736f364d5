package proxy

import (
	"strconv"
	"time"
)

// failedStatus is from which status on the line of a request is a warning, which
// a bounded log keeps before those of other requests.
const failedStatus = 500

// maxLoggedBytes bounds a value of the caller's in a log line. The longest host name
// has 253 bytes, and a longer path shows enough in its beginning.
const maxLoggedBytes = 256

// loggable returns the beginning of a value that the caller chose.
func loggable(value string) string {
	if len(value) <= maxLoggedBytes {
		return value
	}
	return value[:maxLoggedBytes] + "..."
}

// finish logs and counts the answer to a request.
func (p *Proxy) finish(in *Incoming, service string, a *Answer) *Answer {
	total := time.Since(in.Arrived)
	p.Metrics.Requests.WithLabelValues(service, a.Verdict.String(), strconv.Itoa(a.Status/100)+"xx").Inc()
	p.Metrics.RequestSeconds.WithLabelValues(service).Observe(total.Seconds())
	p.Metrics.AddedSeconds.WithLabelValues(service).Observe(max(0, total-a.Waited).Seconds())
	if a.Refusal != nil {
		p.Metrics.Refusals.WithLabelValues(service, a.Refusal.Reason).Inc()
	}
	if !p.LogDecisions() {
		return a
	}
	line := p.Log.Info()
	if a.Status >= failedStatus {
		line = p.Log.Warn()
	}
	line.Str("request", in.ID).Str("caller", in.Caller).Str("service", service).
		Str("route", in.route).Uint64("configuration", in.configuration).
		Int("status", a.Status).Stringer("verdict", a.Verdict).Dur("ms", total).Dur("waited_ms", a.Waited)
	if !in.Deadline.IsZero() {
		line.Int64("left_ms", time.Until(in.Deadline).Milliseconds())
	}
	if in.unrouted {
		line.Str("asked_service", loggable(in.Service)).Str("host", loggable(in.Host)).Str("path", loggable(in.Path))
	}
	if a.Refusal != nil {
		line.Str("reason", a.Refusal.Reason).AnErr("cause", a.Refusal.Cause).Int("hops", in.Hops)
		line.Msg("request: refused")
		return a
	}
	line.Str("upstream", a.Upstream).Bool("replayed", a.Replayed).Int("hops", in.Hops)
	line.Msg("request: answered")
	return a
}
