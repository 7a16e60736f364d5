package health

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/ejection"
	"shallotglade/pkg/platform"
)

// propose writes the ejection record that this home proposes if it differs from the
// one in force. At most one write per service is in flight.
func (c *Controller) propose(ctx context.Context, s *blackboard.Service) {
	if !s.IsHome() || !s.Ejects() {
		return
	}
	next, version, decisions := s.Propose(time.Now())
	if !ejection.Changed(decisions) || !c.beginWrite(s.Name) {
		return
	}
	c.background(func() {
		defer c.endWrite(s.Name)
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		c.writeRecord(ctx, s.Name, next, version, decisions)
	})
}

func (c *Controller) writeRecord(ctx context.Context, service string, next ejection.Record, version uint64, decisions []ejection.Decision) {
	value, err := next.Encode()
	if err != nil {
		c.Log.Error().Str("service", service).Err(err).Msg("ejection: record cannot be encoded")
		return
	}
	key := catalog.EjectionsPrefix + service
	var o platform.Object
	if version == 0 {
		o, err = c.Store.Create(ctx, key, value)
	} else {
		o, err = c.Store.Update(ctx, key, version, value)
	}
	switch {
	case err == nil:
		c.Publish(o)
		c.logDecisions(service, o.Version, decisions)
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknownOutcome):
		// Another home wrote first, or the reply was lost: apply the stored
		// record and propose again in a later round.
		c.publishStored(ctx, service, key)
	default:
		c.Log.Warn().Str("service", service).Err(err).Msg("ejection: record not written; upstreams are only demoted")
	}
}

func (c *Controller) publishStored(ctx context.Context, service, key string) {
	o, err := c.Store.Get(ctx, key)
	if err != nil {
		c.Log.Warn().Str("service", service).Err(err).Msg("ejection: record not read")
		return
	}
	c.Publish(o)
}

func (c *Controller) logDecisions(service string, version uint64, decisions []ejection.Decision) {
	for _, d := range decisions {
		if d.Action == ejection.EjectionBlocked {
			continue
		}
		c.Metrics.StandingChanges.WithLabelValues(service, d.Action.String()).Inc()
		c.Log.Info().Str("service", service).Str("upstream", d.Upstream).Stringer("action", d.Action).
			Str("reason", d.Reason).Int("round", d.Round).Time("until", d.Until).Uint64("version", version).
			Msg("ejection: standing changed")
	}
}

func (c *Controller) beginWrite(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesInFlight[service] {
		return false
	}
	c.writesInFlight[service] = true
	return true
}

func (c *Controller) endWrite(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.writesInFlight, service)
}
