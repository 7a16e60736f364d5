package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reachInterval is the time between calls that show whether a relay still
	// reaches the platform, and reachTimeout how long one may take. A platform
	// may refuse or ignore some hosts while it serves others, whose changes must
	// be in force within two seconds. An open watch shows neither.
	reachInterval = 400 * time.Millisecond
	reachTimeout  = 500 * time.Millisecond
	// reachRetry is the pause after a first failed call: one call fails now and
	// then.
	reachRetry = 50 * time.Millisecond
	// reachFailures is how many failed calls in a row make a relay give up its
	// role.
	reachFailures = 2
	// maxReachInterval bounds the pause between calls of a daemon that is cut off
	// from the platform; all daemons may be.
	maxReachInterval = time.Second
)

// link is what a daemon knows of its way to the platform.
type link struct {
	detached atomic.Bool
	failures int
	// suspected asks for a call now, after another one has failed.
	suspected chan struct{}

	mu sync.Mutex
	// renewed is closed when open watches are to be asked for again.
	renewed chan struct{}
}

func newLink() *link { return &link{suspected: make(chan struct{}, 1), renewed: make(chan struct{})} }

// renew ends the open watches, so that they are asked for again: where a call got no
// answer, the answers to watches may have been lost as well, and nothing more comes
// on their connections.
func (l *link) renew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.renewed)
	l.renewed = make(chan struct{})
}

// untilRenewed returns a context that ends with ctx or when watches are renewed.
func (l *link) untilRenewed(ctx context.Context) (context.Context, context.CancelFunc) {
	l.mu.Lock()
	renewed := l.renewed
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-renewed:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// suspect asks for a call to the platform now.
func (l *link) suspect() {
	select {
	case l.suspected <- struct{}{}:
	default:
	}
}

// attached reports whether the platform can be reached, as far as is known.
func (l *link) attached() bool { return !l.detached.Load() }

// check makes one call and notes what it shows. Only the relay's loop calls it.
func (s *Syncer) check(ctx context.Context) {
	if s.config.Reach == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	started := s.config.Now()
	err := s.config.Reach(limited)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		if s.link.failures > 0 {
			s.link.renew()
		}
		s.link.failures = 0
		if s.link.detached.Swap(false) {
			s.config.Log.Info().Msg("confsync: reaches the platform again")
			s.config.Detached(false)
		}
		return
	}
	s.link.failures++
	if s.link.failures >= reachFailures && !s.link.detached.Swap(true) {
		s.config.Log.Warn().Err(err).Int("failures", s.link.failures).Dur("waited_ms", s.config.Now().Sub(started)).
			Msg("confsync: cannot reach the platform; another relay takes over")
		s.config.Detached(true)
	}
}

// checkPause is how long a daemon that is a relay, or is cut off, waits before
// the next call.
func (s *Syncer) checkPause() time.Duration {
	switch n := s.link.failures; {
	case n == 0:
		return reachInterval
	case n < reachFailures:
		return reachRetry
	default:
		return min(reachInterval<<min(n-reachFailures, 4), maxReachInterval)
	}
}
