package proxy

import (
	"strconv"
	"time"
)

// minFailureStatus is the minimum status that counts as a failure. Failures are
// logged at warning level, so that the rate limit of the log drops them last.
const minFailureStatus = 500

// maxLoggedBytes limits a caller-supplied value in a log line. The longest host name
// has 253 bytes, and the beginning of a longer path is enough to identify it.
const maxLoggedBytes = 256

// truncateForLog shortens a caller-supplied value to maxLoggedBytes.
func truncateForLog(value string) string {
	if len(value) <= maxLoggedBytes {
		return value
	}
	return value[:maxLoggedBytes] + "..."
}

// finish records metrics and the log line for an answer and returns it.
func (p *Proxy) finish(in *Incoming, service string, a *Answer) *Answer {
	total := time.Since(in.Arrived)
	p.Metrics.Requests.WithLabelValues(service, a.Verdict.String(), strconv.Itoa(a.Status/100)+"xx").Inc()
	p.Metrics.RequestSeconds.WithLabelValues(service).Observe(total.Seconds())
	p.Metrics.OverheadSeconds.WithLabelValues(service).Observe(max(0, total-a.Waited).Seconds())
	if a.Refusal != nil {
		p.Metrics.Refusals.WithLabelValues(service, a.Refusal.Reason).Inc()
	}
	if !p.LogDecisions() {
		return a
	}
	line := p.Log.Info()
	if a.Status >= minFailureStatus {
		line = p.Log.Warn()
	}
	line.Str("request", in.ID).Str("caller", in.Caller).Str("service", service).
		Str("route", in.route).Uint64("configuration", in.configurationVersion).
		Int("status", a.Status).Stringer("verdict", a.Verdict).Dur("ms", total).Dur("waited_ms", a.Waited)
	if !in.Deadline.IsZero() {
		line.Int64("left_ms", time.Until(in.Deadline).Milliseconds())
	}
	if start, draining := p.Drain.startTime(); draining {
		line.Int64("arrived_after_stop_ms", in.Arrived.Sub(start).Milliseconds())
	}
	if in.unrouted {
		line.Str("asked_service", truncateForLog(in.Service)).Str("host", truncateForLog(in.Host)).Str("path", truncateForLog(in.Path))
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
