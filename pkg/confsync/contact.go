package confsync

import (
	"sync"
	"time"
)

// contactFailures is how many intervals in a row without an answer of any peer are
// logged as a lost contact.
const contactFailures = 2

// isolationTimeout is how long no peer has answered before a daemon follows the platform
// by itself. It leaves time for the keys of daemons that have just started, which are
// known about a second after their start, and is below the 3 s after which the users
// take a daemon whose connections were disturbed for one that is in touch.
const isolationTimeout = 2 * time.Second

// contact is whether this daemon reaches others to compare with.
type contact struct {
	mu sync.Mutex
	// failures counts the intervals without an answer since answered.
	failures int
	// answered is when a peer answered last, or the start of the daemon.
	answered time.Time
}

// lost reports whether no peer answered in the last interval.
func (c *contact) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures > 0
}

// isolated reports whether no peer has answered for so long that changes have to come
// from the platform.
func (c *contact) isolated(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= contactFailures && now.Sub(c.answered) >= isolationTimeout
}

// note takes whether a peer answered in an interval. It returns whether contact was
// just lost or just regained, the number of intervals without an answer, and the
// time since the last answer.
func (c *contact) note(now time.Time, answered bool) (lost, regained bool, failures int, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = now.Sub(c.answered)
	if !answered {
		c.failures++
		return c.failures == contactFailures, false, c.failures, since
	}
	failures, regained = c.failures, c.failures >= contactFailures
	c.failures, c.answered = 0, now
	return false, regained, failures, since
}

// noteContact logs when no other daemon answers comparisons any more, and when one
// answers again.
func (s *Syncer) noteContact(answered bool) {
	lost, regained, failures, since := s.contact.note(s.config.Now(), answered)
	switch {
	case lost:
		s.config.Log.Warn().Int("intervals", failures).Dur("since_answer_ms", since).
			Msg("confsync: comparisons with other daemons fail")
	case regained:
		s.config.Log.Info().Int("intervals", failures).Dur("since_answer_ms", since).
			Msg("confsync: comparisons with other daemons succeed again")
	}
}
