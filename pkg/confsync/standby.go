package confsync

import (
	"context"
	"sync/atomic"
	"time"

	"shallotglade/internal/sleep"
)

const (
	// standbyProbeInterval is the time between a standby's probes of the relays, and
	// standbyProbeTimeout limits one probe. Membership takes several seconds to declare a
	// relay dead, and a change may come right after its loss.
	standbyProbeInterval = 250 * time.Millisecond
	standbyProbeTimeout  = 250 * time.Millisecond
	// standbyRetryDelay is the delay after a first failed probe, since a single probe may
	// fail occasionally.
	standbyRetryDelay = 10 * time.Millisecond
	// silentAfterFailures is the number of consecutive failed probes after which a standby
	// takes the relay role.
	silentAfterFailures = 2
)

// standby tracks whether this daemon replaces the relays of its domain.
type standby struct {
	active atomic.Bool
	// changedC receives a value when active changes.
	changedC chan struct{}
}

func newStandby() *standby { return &standby{changedC: make(chan struct{}, 1)} }

// set records whether this daemon replaces the relays. It returns whether that is new.
func (b *standby) set(active bool) bool {
	if b.active.Swap(active) == active {
		return false
	}
	select {
	case b.changedC <- struct{}{}:
	default:
	}
	return true
}

// runStandby probes the relays of the domain while this daemon is a standby, and replaces
// them while none answers.
func (s *Syncer) runStandby(ctx context.Context) {
	if s.config.IsStandby == nil {
		return
	}
	failures, pause := 0, standbyProbeInterval
	for sleep.For(ctx, s.jitter(pause)) {
		pause = standbyProbeInterval
		if !s.Ready() || !s.config.IsStandby() || s.anyRelayAnswers(ctx) {
			failures = 0
			s.standby.set(false)
			continue
		}
		if failures++; failures < silentAfterFailures {
			pause = standbyRetryDelay
			continue
		}
		if ctx.Err() == nil && s.standby.set(true) {
			s.config.Log.Warn().Str("domain", s.config.Self.Domain).Int("failures", failures).
				Msg("confsync: no relay of the domain answers; this daemon replaces them")
		}
	}
}

// anyRelayAnswers reports whether a relay of this daemon's domain answers an empty offer.
func (s *Syncer) anyRelayAnswers(ctx context.Context) bool {
	for _, r := range s.config.Relays(s.config.Self.Domain) {
		if _, err := s.callWithTimeout(ctx, standbyProbeTimeout, r.Address, KindOffer, offerMessage{}); err == nil {
			return true
		}
	}
	return false
}
