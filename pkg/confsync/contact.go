package confsync

import (
	"sync"
	"time"
)

// lostContactIntervals is the number of consecutive intervals without an answer from any
// peer after which the loss of contact is logged.
const lostContactIntervals = 2

// isolationTimeout is the time without an answer from any peer after which a daemon
// follows the platform itself. It is above the second that the keys of a starting daemon
// need to reach its peers, and below the 3 s after which users expect a daemon with
// disturbed connections to be up to date again.
const isolationTimeout = 2 * time.Second

// contact tracks whether other daemons answer comparisons.
type contact struct {
	mu sync.Mutex
	// failedIntervals counts the intervals without an answer since lastAnswer.
	failedIntervals int
	// lastAnswer is the time of the last answer, initially the start of the daemon.
	lastAnswer time.Time
}

// lastIntervalFailed reports whether no peer answered in the last interval.
func (c *contact) lastIntervalFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedIntervals > 0
}

// isolated reports whether no peer has answered within the isolation timeout, so that
// the daemon must read changes from the platform itself.
func (c *contact) isolated(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedIntervals >= lostContactIntervals && now.Sub(c.lastAnswer) >= isolationTimeout
}

// record adds the result of one interval. It returns whether contact was just lost or
// just regained, the number of intervals without an answer, and the time since the
// last answer.
func (c *contact) record(now time.Time, answered bool) (lost, regained bool, failures int, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = now.Sub(c.lastAnswer)
	if !answered {
		c.failedIntervals++
		return c.failedIntervals == lostContactIntervals, false, c.failedIntervals, since
	}
	failures, regained = c.failedIntervals, c.failedIntervals >= lostContactIntervals
	c.failedIntervals, c.lastAnswer = 0, now
	return false, regained, failures, since
}

// recordContact records the result of one interval and logs when contact with all
// peers is lost or regained.
func (s *Syncer) recordContact(answered bool) {
	lost, regained, failures, since := s.contact.record(s.config.Now(), answered)
	switch {
	case lost:
		s.config.Log.Warn().Int("intervals", failures).Dur("since_answer_ms", since).
			Msg("confsync: comparisons with other daemons fail")
	case regained:
		s.config.Log.Info().Int("intervals", failures).Dur("since_answer_ms", since).
			Msg("confsync: comparisons with other daemons succeed again")
	}
}
