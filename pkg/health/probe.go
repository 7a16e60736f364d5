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

// probe starts the probes that are due. Each home probes an upstream once in
// the interval times the number of homes, so that the probes an upstream gets
// do not depend on the number of homes. A probe takes about 25 ms of a slot.
func (c *Controller) probe(ctx context.Context, s *blackboard.Service) {
	d := s.Document()
	if d.Upstreams.HealthPath == "" {
		return
	}
	interval := d.Upstreams.ProbeInterval * time.Duration(len(c.Homes(s.Name))+1)
	now := time.Now()
	for _, u := range s.Upstreams() {
		if !c.probeDue(s.Name+"/"+u.ID, now, interval) {
			continue
		}
		c.background(func() { c.probeOne(ctx, s, u) })
	}
}

// probeDue reports whether an upstream is to be probed now. The first probe
// comes at a random moment of the interval, so that homes do not probe together.
func (c *Controller) probeDue(key string, now time.Time, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.lastSeen[key]
	if !ok {
		c.lastSeen[key] = now.Add(-time.Duration(rand.Int64N(int64(interval))))
		return false
	}
	if now.Sub(last) < interval {
		return false
	}
	c.lastSeen[key] = now
	return true
}

// healthAnswer is the part of a health answer that is understood.
type healthAnswer struct {
	Status string `json:"status"`
}

func (c *Controller) probeOne(ctx context.Context, s *blackboard.Service, u blackboard.Upstream) {
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
	if saysLeaving(result) && s.MarkLeaving(time.Now(), u.ID) {
		c.Log.Info().Str("service", s.Name).Str("upstream", u.ID).Msg("health: upstream announced that it leaves")
		c.ShareReport(s)
	}
}

// redial opens connections to the upstreams whose dials have failed, so that a
// bad path is told from a single lost dial without waiting for requests.
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

func saysLeaving(r upstream.Result) bool {
	if r.Response == nil {
		return false
	}
	var answer healthAnswer
	_ = json.Unmarshal(r.Response.Body, &answer)
	return r.Response.Leaving || answer.Status == "leaving"
}
