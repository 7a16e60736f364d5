package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// platformProbeInterval is the time between a relay's probes of the platform,
	// and platformProbeTimeout limits one probe. A platform may refuse or ignore
	// some hosts while it serves others, whose changes must take effect within two
	// seconds. An open watch does not detect either fault.
	platformProbeInterval = 400 * time.Millisecond
	platformProbeTimeout  = 500 * time.Millisecond
	// platformProbeRetryDelay is the delay after a first failed probe, since a
	// single probe may fail occasionally.
	platformProbeRetryDelay = 50 * time.Millisecond
	// detachAfterFailures is the number of consecutive failed probes after which a
	// relay gives up its role.
	detachAfterFailures = 2
	// maxPlatformProbeInterval limits the backoff between probes of a daemon that
	// cannot reach the platform. An outage may affect all daemons at once.
	maxPlatformProbeInterval = time.Second
)

// platformLink tracks whether this daemon can reach the platform.
type platformLink struct {
	detached atomic.Bool
	failures int
	// probeRequestedC requests an immediate probe after another call failed.
	probeRequestedC chan struct{}

	mu sync.Mutex
	// renewC is closed to restart the open watches.
	renewC chan struct{}
}

func newPlatformLink() *platformLink {
	return &platformLink{probeRequestedC: make(chan struct{}, 1), renewC: make(chan struct{})}
}

// renewWatches ends the open watches, so that they are restarted. When a probe got no
// answer, the replies to watches may be lost too, and nothing more arrives on their
// connections.
func (l *platformLink) renewWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.renewC)
	l.renewC = make(chan struct{})
}

// watchContext returns a context that ends with ctx or when watches are renewed.
func (l *platformLink) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	l.mu.Lock()
	renewed := l.renewC
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

// requestProbe requests an immediate probe of the platform.
func (l *platformLink) requestProbe() {
	select {
	case l.probeRequestedC <- struct{}{}:
	default:
	}
}

// attached reports whether the platform is believed to be reachable.
func (l *platformLink) attached() bool { return !l.detached.Load() }

// probePlatform probes the platform once and records the result. Only runRelay
// calls it.
func (s *Syncer) probePlatform(ctx context.Context) {
	if s.config.ProbePlatform == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, platformProbeTimeout)
	defer cancel()
	started := s.config.Now()
	err := s.config.ProbePlatform(callCtx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		if s.platformLink.failures > 0 {
			s.platformLink.renewWatches()
		}
		s.platformLink.failures = 0
		if s.platformLink.detached.Swap(false) {
			s.config.Log.Info().Msg("confsync: platform is reachable again")
			s.config.OnDetached(false)
		}
		return
	}
	s.platformLink.failures++
	if s.platformLink.failures >= detachAfterFailures && !s.platformLink.detached.Swap(true) {
		s.config.Log.Warn().Err(err).Int("failures", s.platformLink.failures).Dur("waited_ms", s.config.Now().Sub(started)).
			Msg("confsync: cannot reach the platform; another relay takes over")
		s.config.OnDetached(true)
	}
}

// platformProbePause returns the delay before the next probe by a relay or by a
// daemon that cannot reach the platform.
func (s *Syncer) platformProbePause() time.Duration {
	switch n := s.platformLink.failures; {
	case n == 0:
		return platformProbeInterval
	case n < detachAfterFailures:
		return platformProbeRetryDelay
	default:
		return min(platformProbeInterval<<min(n-detachAfterFailures, 4), maxPlatformProbeInterval)
	}
}
