package confsync

import (
	"sync"
	"time"
)

// contactFailures is how many failed comparisons in a row count as a lost contact.
// A single one fails whenever a peer ends.
const contactFailures = 2

// contact is whether this daemon reaches others to compare with.
type contact struct {
	mu sync.Mutex
	// failures counts the failed comparisons since the last that succeeded at
	// succeeded, which is the start of the daemon before the first.
	failures  int
	succeeded time.Time
}

// note takes the end of a comparison. It returns whether contact was just lost or
// just regained, the number of failures, and the time since the last success.
func (c *contact) note(now time.Time, err error) (lost, regained bool, failures int, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = now.Sub(c.succeeded)
	if err != nil {
		c.failures++
		return c.failures == contactFailures, false, c.failures, since
	}
	failures, regained = c.failures, c.failures >= contactFailures
	c.failures, c.succeeded = 0, now
	return false, regained, failures, since
}

// compared logs when comparisons begin to fail and when they succeed again.
func (s *Syncer) compared(peer Peer, err error) {
	lost, regained, failures, since := s.contact.note(s.config.Now(), err)
	switch {
	case lost:
		s.config.Log.Warn().Err(err).Str("peer", peer.Address).Int("failures", failures).Dur("since_success_ms", since).
			Msg("confsync: comparisons with other daemons fail")
	case regained:
		s.config.Log.Info().Str("peer", peer.Address).Int("failures", failures).Dur("since_success_ms", since).
			Msg("confsync: comparisons with other daemons succeed again")
	}
}
