package confsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform"
)

const (
	// watchTimeout is how long the platform keeps one watch open.
	// reducedTrafficWatchTimeout applies in reduced-traffic mode, where a single relay of
	// each domain watches and no second one compensates for a watch that the
	// platform has lost.
	watchTimeout               = 50 * time.Second
	reducedTrafficWatchTimeout = 10 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call. The upper
	// bound lets a change made right after an outage take effect within 5 s.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// relayCheckInterval is the interval at which a daemon checks whether it is a
	// relay.
	relayCheckInterval = 250 * time.Millisecond
	// bootRelayCheckInterval is the same interval until the daemon is ready.
	bootRelayCheckInterval = 100 * time.Millisecond
	// coalesceDelay is how long a relay in reduced-traffic mode waits after changes before
	// the next watch. It is a small part of the two seconds within which all
	// daemons must know that an upstream leaves.
	coalesceDelay = 250 * time.Millisecond
	// rosterCoalesceDelay is the same for the list of daemons. A leaving daemon
	// also announces this in its own messages.
	rosterCoalesceDelay = 100 * time.Millisecond
	// relistInterval is the interval between full lists by a relay. They find
	// changes that a watch has missed.
	relistInterval = time.Hour
)

// runRelay runs the pollers while the daemon is a relay of its domain, replaces the relays
// or is isolated from all peers, provided that it can reach the platform.
func (s *Syncer) runRelay(ctx context.Context) {
	var role relayRole
	defer role.stop()
	var nextProbe time.Time
	for ctx.Err() == nil {
		isolated := s.isIsolated()
		replaces := s.standby.active.Load()
		leads := replaces || s.isRelay()
		s.relayContact.leads.Store(leads && s.Ready())
		relay := isolated || leads
		if now := s.config.Now(); (relay || !s.platformLink.attached()) && !now.Before(nextProbe) {
			s.probePlatform(ctx)
			nextProbe = s.config.Now().Add(s.platformProbePause())
		}
		switch active := relay && s.platformLink.attached(); {
		case active && !role.active() && s.platformLink.failures == 0:
			s.config.Log.Info().Str("domain", s.config.Self.Domain).Bool("isolated", isolated).Bool("standby", replaces).
				Dur("copy_age_ms", s.CopyAge()).Msg("confsync: relay role taken")
			role.start(ctx, s)
		case !active && role.active():
			s.config.Log.Info().Str("domain", s.config.Self.Domain).Msg("confsync: relay role released")
			role.stop()
		}
		if s.waitRelayCheck(ctx, nextProbe) {
			nextProbe = time.Time{}
		}
	}
}

// relayRole holds the running pollers of a relay.
type relayRole struct {
	cancel  context.CancelFunc
	pollers sync.WaitGroup
}

func (r *relayRole) active() bool { return r.cancel != nil }

func (r *relayRole) start(ctx context.Context, s *Syncer) {
	ctx, r.cancel = context.WithCancel(ctx)
	listedC := make(chan struct{}, len(s.config.Prefixes))
	for _, prefix := range s.config.Prefixes {
		p := &poller{syncer: s, prefix: prefix, firstListC: listedC}
		r.pollers.Go(func() { p.run(ctx) })
	}
	if s.config.ConfigurationKey != "" {
		r.pollers.Go(func() { s.runConfirmations(ctx) })
	}
	r.pollers.Go(func() {
		defer s.established.Store(false)
		s.reconcileDomain(ctx, listedC)
		if sleep.For(ctx, relayEstablishTime) {
			s.established.Store(true)
			<-ctx.Done()
		}
	})
}

func (r *relayRole) stop() {
	if r.active() {
		r.cancel()
		r.cancel = nil
		r.pollers.Wait()
	}
}

// waitRelayCheck waits until the next relay check or probe is due, or the standby role
// changes, and reports whether a failed call to the platform requires an immediate probe.
func (s *Syncer) waitRelayCheck(ctx context.Context, nextProbe time.Time) bool {
	pause := s.jitter(relayCheckInterval)
	if !s.Ready() {
		pause = s.jitter(bootRelayCheckInterval)
	}
	if wait := nextProbe.Sub(s.config.Now()); !nextProbe.IsZero() && wait > 0 {
		pause = min(pause, wait)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.standby.changedC:
	case <-s.platformLink.probeRequestedC:
		return s.platformLink.failures == 0
	}
	return false
}

func (s *Syncer) isRelay() bool {
	if !s.boot.isRosterLoaded() {
		return false
	}
	for _, r := range s.config.Relays(s.config.Self.Domain) {
		if r.Address == s.config.Self.Address {
			return true
		}
	}
	return false
}

// isIsolated reports whether a ready daemon must follow the platform itself because it is out
// of contact with all relays: no daemon answers, or only such that are out of contact too. The
// daemon and its relay may refuse each other, or the relay may be unreachable from this daemon
// only. For a starting daemon see updateReadiness.
func (s *Syncer) isIsolated() bool {
	if !s.boot.readyFor(s.config.Now(), isolationTimeout) || !s.isCopyLost() {
		return false
	}
	return s.relayContact.lastCheckFailed() || s.contact.isolated(s.config.Now())
}

// poller lists and watches one prefix of the platform.
type poller struct {
	syncer *Syncer
	prefix string
	// nextRevision is the revision from which the next watch continues.
	nextRevision uint64
	// listedAt is the time of the last list; zero means that a list is due.
	listedAt time.Time
	failures int
	// firstListC receives a value after the relay's first list, and is nil from
	// then on.
	firstListC chan<- struct{}
}

func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.step(ctx); err != nil && !sleep.For(ctx, p.backoff(err)) {
			return
		}
	}
}

// step makes one call to the platform and pushes the changed objects.
func (p *poller) step(ctx context.Context) error {
	s := p.syncer
	var err error
	var changed []platform.Object
	if p.listedAt.IsZero() || s.config.Now().Sub(p.listedAt) > relistInterval {
		changed, err = p.list(ctx)
	} else {
		changed, err = p.watch(ctx)
	}
	if err == nil && p.firstListC != nil {
		s.pushOtherDomains(changed)
		p.firstListC <- struct{}{}
		p.firstListC = nil
	} else {
		s.pushAll(changed)
	}
	if err == nil {
		p.failures = 0
		p.coalesce(ctx, changed)
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.failures++
	s.platformErrors.Add(1)
	s.platformLink.requestProbe()
	if p.failures == 1 {
		s.config.Log.Warn().Err(err).Str("prefix", p.prefix).Msg("confsync: platform call failed, will retry")
	}
	return err
}

// coalesce waits after changes in reduced-traffic mode, so that one call reads several
// successive changes. Changes of configurations are rare and not delayed.
func (p *poller) coalesce(ctx context.Context, changed []platform.Object) {
	if !p.syncer.config.ReduceTraffic || len(changed) == 0 || p.prefix == document.ConfigurationsPrefix {
		return
	}
	pause := coalesceDelay
	if p.prefix == p.syncer.config.RosterPrefix {
		pause = rosterCoalesceDelay
	}
	sleep.For(ctx, pause)
}

// list applies all objects under the prefix and marks missing ones as deleted.
// It returns the changed objects.
func (p *poller) list(ctx context.Context) ([]platform.Object, error) {
	s := p.syncer
	startedAt := s.config.BootTime()
	objects, revision, err := s.config.Store.List(ctx, p.prefix)
	if err != nil {
		return nil, errors.Wrap(err, "list")
	}
	configurationVersion := s.configurationVersion(objects)
	changed := s.config.Replica.ApplyList(p.prefix, p.keepPrevious(objects), revision)
	p.nextRevision, p.listedAt = revision, s.config.Now()
	s.boot.recordList(p.prefix)
	s.recordList(startedAt, configurationVersion)
	return changed, nil
}

// watch waits for changes under the prefix and returns the changed objects.
func (p *poller) watch(ctx context.Context) ([]platform.Object, error) {
	s := p.syncer
	timeout := watchTimeout
	if s.config.ReduceTraffic {
		timeout = reducedTrafficWatchTimeout
	}
	watchCtx, cancel := s.platformLink.watchContext(ctx)
	defer cancel()
	objects, revision, err := s.config.Store.Watch(watchCtx, p.prefix, p.nextRevision, timeout)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return nil, nil // The watch is restarted.
	}
	if err != nil {
		if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrReplyTooLarge) {
			// The platform no longer knows the revision, or its answer does
			// not allow the watch to continue from it. A list has each object only
			// once and in pages, so it is smaller than many changes.
			p.listedAt = time.Time{}
		}
		return nil, errors.Wrap(err, "watch")
	}
	changed := s.config.Replica.applyAll(Origin{Source: SourceWatch}, p.dropInvalid(objects))
	if revision < p.nextRevision {
		p.listedAt = time.Time{}
		return changed, errors.Newf("watch revision went back from %d to %d", p.nextRevision, revision)
	}
	p.nextRevision = revision
	return changed, nil
}

// dropInvalid removes the objects that peers would reject.
func (p *poller) dropInvalid(objects []platform.Object) []platform.Object {
	return slices.DeleteFunc(objects, p.isInvalid)
}

// keepPrevious replaces the objects of a list that peers would reject by their previous
// versions. An object that is missing from a list is deleted.
func (p *poller) keepPrevious(objects []platform.Object) []platform.Object {
	out := objects[:0]
	for _, o := range objects {
		known := true
		if p.isInvalid(o) {
			o, known = p.syncer.config.Replica.Get(o.Key)
		}
		if known {
			out = append(out, o)
		}
	}
	return out
}

// isInvalid reports whether peers would reject an object of the platform.
func (p *poller) isInvalid(o platform.Object) bool {
	err := checkObjects([]platform.Object{o}, []string{p.prefix})
	if err != nil {
		p.syncer.config.Log.Error().Err(err).Str("key", o.Key).Uint64("version", o.Version).Int("bytes", len(o.Value)).
			Msg("confsync: invalid platform object ignored; a previous version stays in force")
	}
	return err != nil
}

// backoff returns the delay after a failed call. The list that follows a lost history is not
// the same call again, and the platform has answered.
func (p *poller) backoff(err error) time.Duration {
	repeats := max(p.failures-1, 0)
	if errors.Is(err, platform.ErrHistoryGone) {
		repeats = 0
	}
	return backoff(repeats, p.syncer.randFloat())
}

// backoff returns an exponential backoff, of which the upper half is random.
func backoff(failures int, random float64) time.Duration {
	d := min(minBackoff<<min(failures, 10), maxBackoff)
	return d/2 + time.Duration(random*float64(d/2))
}
