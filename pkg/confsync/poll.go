package confsync

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform"
)

const (
	// watchWait is how long the platform holds one watch, and thriftyWatchWait
	// where one relay of a domain watches and no second one makes up for a watch
	// that the platform has forgotten.
	watchWait        = 50 * time.Second
	thriftyWatchWait = 10 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. The upper
	// bound leaves time for a change made right after an outage to be in force
	// within 5 s.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// relayCheck is how often a daemon checks whether it is a relay.
	relayCheck = 250 * time.Millisecond
	// relayCheckAtStart is the same until the daemon is ready.
	relayCheckAtStart = 100 * time.Millisecond
	// collectPause is how long a thrifty relay waits after changes before it asks
	// for more: a small part of the two seconds within which an upstream's leaving
	// must be known.
	collectPause = 250 * time.Millisecond
	// collectRosterPause is the same for the list of daemons. A daemon's leaving
	// is known by its own messages too.
	collectRosterPause = 100 * time.Millisecond
	// relistInterval is the time between lists of a relay. They repair what a
	// watch may have left out, at little cost.
	relistInterval = time.Hour
)

// runRelay runs the pollers while the daemon is a relay of its domain, or no other
// daemon answers it, and it reaches the platform.
func (s *Syncer) runRelay(ctx context.Context) {
	var role relayRole
	defer role.leave()
	var nextCheck time.Time
	for ctx.Err() == nil {
		isolated := s.isIsolated()
		relay := isolated || s.isRelay()
		if now := s.config.Now(); (relay || !s.link.attached()) && !now.Before(nextCheck) {
			s.check(ctx)
			nextCheck = s.config.Now().Add(s.checkPause())
		}
		switch active := relay && s.link.attached(); {
		case active && !role.taken() && s.link.failures == 0:
			s.config.Log.Info().Str("domain", s.config.Self.Domain).Bool("isolated", isolated).Msg("confsync: relay role taken")
			role.take(ctx, s)
		case !active && role.taken():
			s.config.Log.Info().Str("domain", s.config.Self.Domain).Msg("confsync: relay role left")
			role.leave()
		}
		if s.awaitRelay(ctx, nextCheck) {
			nextCheck = time.Time{}
		}
	}
}

// relayRole is the running pollers of a relay.
type relayRole struct {
	stop    context.CancelFunc
	pollers sync.WaitGroup
}

func (r *relayRole) taken() bool { return r.stop != nil }

func (r *relayRole) take(ctx context.Context, s *Syncer) {
	ctx, r.stop = context.WithCancel(ctx)
	listed := make(chan struct{}, len(s.config.Prefixes))
	for _, prefix := range s.config.Prefixes {
		p := &poller{syncer: s, prefix: prefix, firstList: listed}
		r.pollers.Go(func() { p.run(ctx) })
	}
	r.pollers.Go(func() {
		defer s.settled.Store(false)
		s.reconcileDomain(ctx, listed)
		if sleep.For(ctx, settleTime) {
			s.settled.Store(true)
			<-ctx.Done()
		}
	})
}

func (r *relayRole) leave() {
	if r.taken() {
		r.stop()
		r.stop = nil
		r.pollers.Wait()
	}
}

// awaitRelay waits until the relay's loop is due again, and reports whether a
// failed call to the platform has made it due.
func (s *Syncer) awaitRelay(ctx context.Context, nextCheck time.Time) bool {
	pause := s.jitter(relayCheck)
	if !s.Ready() {
		pause = s.jitter(relayCheckAtStart)
	}
	if until := nextCheck.Sub(s.config.Now()); !nextCheck.IsZero() && until > 0 {
		pause = min(pause, until)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.link.suspected:
		return s.link.failures == 0
	}
	return false
}

func (s *Syncer) isRelay() bool {
	if !s.boot.isRostered() {
		return false
	}
	for _, r := range s.config.Relays(s.config.Self.Domain) {
		if r.Address == s.config.Self.Address {
			return true
		}
	}
	return false
}

// isIsolated reports whether a ready daemon has to follow the platform itself, since no
// other daemon answers: its relay may refuse it, be refused by it, or be unreachable
// from here only. A starting daemon has its own ways, see checkReady.
func (s *Syncer) isIsolated() bool { return s.Ready() && s.contact.isolated(s.config.Now()) }

// poller follows one prefix at the platform.
type poller struct {
	syncer *Syncer
	prefix string
	// after is the revision from which the next watch continues.
	after uint64
	// listedAt is when the prefix was listed; zero means that it must be.
	listedAt time.Time
	failures int
	// firstList gets a value after the first list in the role of a relay, and is
	// nil from then on.
	firstList chan<- struct{}
}

func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.step(ctx); err != nil && !sleep.For(ctx, p.backoff()) {
			return
		}
	}
}

// step makes one call to the platform and pushes what is new.
func (p *poller) step(ctx context.Context) error {
	s := p.syncer
	var err error
	var learned []platform.Object
	if p.listedAt.IsZero() || s.config.Now().Sub(p.listedAt) > relistInterval {
		learned, err = p.list(ctx)
	} else {
		learned, err = p.watch(ctx)
	}
	if err == nil && p.firstList != nil {
		s.pushDomains(learned)
		p.firstList <- struct{}{}
		p.firstList = nil
	} else {
		s.pushAll(learned)
	}
	if err == nil {
		p.failures = 0
		p.collect(ctx, learned)
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.failures++
	s.platformErrors.Add(1)
	s.link.suspect()
	if p.failures == 1 {
		s.config.Log.Warn().Err(err).Str("prefix", p.prefix).Msg("confsync: platform call failed, will retry")
	}
	return err
}

// collect pauses after changes, so that those that come close together are read
// by one call. Changes of configurations are rare and not held up.
func (p *poller) collect(ctx context.Context, learned []platform.Object) {
	if !p.syncer.config.Thrifty || len(learned) == 0 || p.prefix == document.ConfigurationsPrefix {
		return
	}
	pause := collectPause
	if p.prefix == p.syncer.config.Roster {
		pause = collectRosterPause
	}
	sleep.For(ctx, pause)
}

// list takes over all objects under the prefix and marks the missing ones as
// deleted. It returns what was new.
func (p *poller) list(ctx context.Context) ([]platform.Object, error) {
	s := p.syncer
	objects, revision, err := s.config.Store.List(ctx, p.prefix)
	if err != nil {
		return nil, errors.Wrap(err, "list")
	}
	learned := s.config.Replica.Listed(p.prefix, p.valid(objects), revision)
	p.after, p.listedAt = revision, s.config.Now()
	s.boot.listed(p.prefix)
	return learned, nil
}

// watch waits for changes under the prefix and returns what was new.
func (p *poller) watch(ctx context.Context) ([]platform.Object, error) {
	s := p.syncer
	wait := watchWait
	if s.config.Thrifty {
		wait = thriftyWatchWait
	}
	limited, cancel := s.link.untilRenewed(ctx)
	defer cancel()
	objects, revision, err := s.config.Store.Watch(limited, p.prefix, p.after, wait)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		return nil, nil // The watch is asked for again.
	}
	if err != nil {
		if !errors.Is(err, platform.ErrUnavailable) {
			// The platform no longer knows the revision, or answers in a way
			// that cannot be trusted to continue from it.
			p.listedAt = time.Time{}
		}
		return nil, errors.Wrap(err, "watch")
	}
	learned := s.config.Replica.applyAll(p.valid(objects))
	if revision < p.after {
		p.listedAt = time.Time{}
		return learned, errors.Newf("watch went back from revision %d to %d", p.after, revision)
	}
	p.after = revision
	return learned, nil
}

// valid leaves out objects that peers would reject.
func (p *poller) valid(objects []platform.Object) []platform.Object {
	out := objects[:0]
	for _, o := range objects {
		if err := checkObjects([]platform.Object{o}, []string{p.prefix}); err != nil {
			p.syncer.config.Log.Error().Err(err).Str("key", o.Key).Msg("confsync: object left out")
			continue
		}
		out = append(out, o)
	}
	return out
}

// backoff doubles with each failure and takes a random half of the result.
func (p *poller) backoff() time.Duration { return backoff(p.failures, p.syncer.float()) }

func backoff(failures int, random float64) time.Duration {
	d := min(minBackoff<<min(failures, 10), maxBackoff)
	return d/2 + time.Duration(random*float64(d/2))
}
