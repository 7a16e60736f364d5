package health

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/detector"
	"shallotglade/pkg/upstream"
)

// startProbes starts the probes that are due. Each home probes an upstream once per
// probe interval times the number of homes, so that the total rate of probes does
// not depend on the number of homes. A probe occupies a slot for about 25 ms.
func (c *Controller) startProbes(ctx context.Context, s *blackboard.Service) {
	d := s.Document()
	if d.Upstreams.HealthPath == "" {
		return
	}
	interval := d.Upstreams.ProbeInterval * time.Duration(len(c.Homes(s.Name))+1)
	now := time.Now()
	for _, u := range s.Upstreams() {
		if s.Paused(now, u.ID) || !c.probeDue(s.Name, u.ID, now, interval) {
			continue
		}
		c.background(func() { c.probeUpstream(ctx, s, u) })
	}
}

// probeDue reports whether an upstream is due for a probe and, if so, records the
// probe. The first probe is delayed by a random part of the interval, so that the
// homes do not probe at the same time.
func (c *Controller) probeDue(service, upstream string, now time.Time, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	probes := c.lastProbe[service]
	if probes == nil {
		probes = map[string]time.Time{}
		c.lastProbe[service] = probes
	}
	last, ok := probes[upstream]
	if !ok {
		probes[upstream] = now.Add(-time.Duration(rand.Int64N(int64(interval))))
		return false
	}
	if now.Sub(last) < interval {
		return false
	}
	probes[upstream] = now
	return true
}

// healthResponse holds the fields of a health response that are evaluated.
type healthResponse struct {
	Status string `json:"status"`
}

func (c *Controller) probeUpstream(ctx context.Context, s *blackboard.Service, u blackboard.Upstream) {
	d := s.Document()
	ctx, cancel := context.WithTimeout(ctx, d.Timeouts.Attempt)
	defer cancel()
	result := c.Sender.Do(ctx, upstream.Target{
		Address: u.Address, MaxConnections: d.Upstreams.Connections, ConnectTimeout: d.Timeouts.Connect,
	}, &upstream.Request{ID: "probe", Method: "GET", URI: d.Upstreams.HealthPath})
	if ctx.Err() != nil && result.Kind == upstream.Canceled {
		return
	}
	kind := detector.ProbeFailure
	if result.Kind == upstream.Success && result.Response.Status < 400 {
		kind = detector.ProbeSuccess
	}
	s.Observe(time.Now(), detector.Outcome{Upstream: u.ID, Kind: kind, Latency: result.Latency})
	if result.Response != nil && result.Response.Pause > 0 {
		now := time.Now()
		s.Pause(now, u.ID, u.Incarnation, now.Add(result.Response.Pause))
	}
	if isLeaving(result) && s.MarkLeaving(time.Now(), u.ID, u.Incarnation) {
		c.Log.Info().Str("service", s.Name).Str("upstream", u.ID).Msg("health: upstream announced that it is leaving")
		c.ShareReport(s)
	}
}

// redial dials the upstreams whose connection attempts failed. This distinguishes a
// broken network path from a single failed dial without waiting for requests.
func (c *Controller) redial(ctx context.Context, s *blackboard.Service) {
	timeout := s.Document().Timeouts.Connect
	for _, r := range s.Redials() {
		u := r.Upstream
		c.background(func() {
			select {
			case <-time.After(r.After):
			case <-ctx.Done():
				return
			}
			dialer := net.Dialer{Timeout: timeout}
			conn, err := dialer.DialContext(ctx, "tcp", u.Address)
			kind := detector.Unreachable
			if err == nil {
				kind = detector.Reachable
				conn.Close()
			}
			if ctx.Err() == nil && s.Observe(time.Now(), detector.Outcome{Upstream: u.ID, Kind: kind}) {
				c.Assess(s)
			}
		})
	}
}

func isLeaving(r upstream.Result) bool {
	if r.Response == nil {
		return false
	}
	var parsed healthResponse
	_ = json.Unmarshal(r.Response.Body, &parsed)
	return r.Response.Leaving || parsed.Status == "leaving"
}
