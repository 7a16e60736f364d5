package confsync

import (
	"context"
	"sync"
	"time"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/platform"
)

const (
	// bootPeers is the number of ready peers that a starting daemon compares
	// digests with.
	bootPeers = 3
	// bootDomains is the number of failure domains that these peers must cover.
	// A daemon that starts in a partitioned domain then also gets the changes of
	// other domains.
	bootDomains = 2
	// bootTimeout is how long a starting daemon tries to reach both numbers.
	// After that one ready peer is enough; without any, the daemon lists the
	// platform itself.
	bootTimeout = 10 * time.Second
	// comparedPeerCost is the selection cost of a peer that was already compared
	// with. It equals the cost of two attempts.
	comparedPeerCost = 4
)

// bootState tracks the progress of a starting daemon towards readiness.
type bootState struct {
	startedAt time.Time
	readyC    chan struct{}

	mu sync.Mutex
	// comparedPeers maps the address of each ready peer compared with to its domain.
	comparedPeers map[string]string
	// unlistedPrefixes holds the prefixes not yet listed from the platform.
	unlistedPrefixes map[string]bool
	ready            bool
	readyAt          time.Time
	// attempts counts the comparison attempts per peer address, to spread them
	// evenly.
	attempts map[string]int
	// lastListAt is when updateReadiness last listed the platform.
	lastListAt time.Time
	// rosterLoaded is true once the list of daemons is known, which the relay
	// selection needs.
	rosterLoaded bool
}

func newBootState(now time.Time, prefixes []string, rosterLoaded bool) *bootState {
	unlistedPrefixes := map[string]bool{}
	for _, p := range prefixes {
		unlistedPrefixes[p] = true
	}
	return &bootState{
		startedAt: now, readyC: make(chan struct{}),
		comparedPeers: map[string]string{}, unlistedPrefixes: unlistedPrefixes, attempts: map[string]int{}, rosterLoaded: rosterLoaded,
	}
}

// Ready reports whether the replica is up to date with the fleet.
func (s *Syncer) Ready() bool {
	s.boot.mu.Lock()
	defer s.boot.mu.Unlock()
	return s.boot.ready
}

// readyFor reports whether the daemon has been ready for d. Relays need some time to reach
// daemons that start at the same time.
func (b *bootState) readyFor(now time.Time, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready && now.Sub(b.readyAt) >= d
}

// booting reports whether the daemon is not ready and its boot timeout has not
// expired.
func (s *Syncer) booting() bool {
	return !s.Ready() && s.config.Now().Sub(s.boot.startedAt) < bootTimeout
}

// ReadyC returns a channel that is closed when the daemon becomes ready.
func (s *Syncer) ReadyC() <-chan struct{} { return s.boot.readyC }

// recordComparison records a completed comparison with a ready peer.
func (b *bootState) recordComparison(p Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.comparedPeers[p.Address] = p.Domain
}

// recordList records that a prefix was listed from the platform.
func (b *bootState) recordList(prefix string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unlistedPrefixes, prefix)
}

// chooseBootPeer returns one of the least tried peers, preferably of a domain
// that is not covered yet.
func (s *Syncer) chooseBootPeer(peers []Peer) (Peer, bool) {
	s.shuffle(peers)
	s.boot.mu.Lock()
	defer s.boot.mu.Unlock()
	coveredDomains := map[string]bool{}
	for _, domain := range s.boot.comparedPeers {
		coveredDomains[domain] = true
	}
	chosen, lowestCost := Peer{}, -1
	for _, p := range peers {
		cost := 2 * s.boot.attempts[p.Address]
		if coveredDomains[p.Domain] {
			cost++
		}
		if _, done := s.boot.comparedPeers[p.Address]; done {
			// The peer is chosen again after a few attempts at the others, so
			// that a daemon that waits for more ready peers stays up to date.
			cost += comparedPeerCost
		}
		if lowestCost < 0 || cost < lowestCost {
			chosen, lowestCost = p, cost
		}
	}
	if lowestCost < 0 {
		return Peer{}, false
	}
	s.boot.attempts[chosen.Address]++
	return chosen, true
}

// updateReadiness marks the daemon as ready once all prefixes are listed or
// enough ready peers were compared with.
func (s *Syncer) updateReadiness(ctx context.Context) {
	if s.Ready() {
		return
	}
	booting := s.booting()
	if !booting && s.boot.comparedCount() == 0 && s.boot.listDue(s.config.Now()) {
		s.listAll(ctx, false)
	}
	peers, domains := s.countPeers()
	s.boot.mu.Lock()
	defer s.boot.mu.Unlock()
	coveredDomains := map[string]bool{}
	for _, domain := range s.boot.comparedPeers {
		coveredDomains[domain] = true
	}
	comparedCount := len(s.boot.comparedPeers)
	enoughPeers := comparedCount > 0 && comparedCount >= min(s.config.BootPeers, peers) && len(coveredDomains) >= min(s.config.BootDomains, domains)
	if s.boot.ready || len(s.boot.unlistedPrefixes) > 0 && !enoughPeers && (booting || comparedCount == 0) {
		return
	}
	s.boot.ready, s.boot.readyAt = true, s.config.Now()
	close(s.boot.readyC)
	s.config.Log.Info().Int("peers", comparedCount).Bool("listed", len(s.boot.unlistedPrefixes) == 0).Msg("confsync: ready")
}

// loadRoster lists the daemons, with retries until one list succeeds. While the
// platform is unavailable, only the peers named in the settings are known.
func (s *Syncer) loadRoster(ctx context.Context) {
	if !sleep.For(ctx, s.config.RosterDelay) {
		return
	}
	for failures := 0; ctx.Err() == nil; failures++ {
		objects, _, err := s.config.Store.ListStale(ctx, s.config.RosterPrefix)
		if err == nil {
			// The list may be seconds old. It is not used if all prefixes are listed
			// again: daemons that have left would act as relays and homes until they
			// expire.
			mode := FromPeers
			if s.config.DirectList != nil {
				mode = s.config.DirectList(len(objects))
			}
			listsCurrent := mode == ListCurrent || mode == ListStaleEntries
			if !listsCurrent || !s.listAll(ctx, mode == ListStaleEntries) {
				// An object missing from a stale list is not treated as deleted: the
				// list may carry the current revision, and its pages may differ in age.
				s.config.Replica.applyAll(Origin{Source: SourceStaleList}, objects)
			}
			if s.config.OnRosterLoaded != nil {
				s.config.OnRosterLoaded()
			}
			s.boot.setRosterLoaded()
			if mode == ListStale {
				s.listStale(ctx)
			}
			if listsCurrent {
				s.listUntilReady(ctx, mode == ListStaleEntries)
			}
			return
		}
		s.platformErrors.Add(1)
		if failures == 0 {
			s.config.Log.Warn().Err(err).Msg("confsync: listing the daemons failed, will retry")
		}
		if !sleep.For(ctx, backoff(failures+1, s.randFloat())) {
			return
		}
	}
}

// listUntilReady lists the platform repeatedly until the daemon is ready, by a list or
// by comparisons. Starting daemons refuse each other's calls until they have each
// other's new keys.
func (s *Syncer) listUntilReady(ctx context.Context, staleEntries bool) {
	for failures := 1; ; failures++ {
		s.updateReadiness(ctx)
		if s.Ready() || !sleep.For(ctx, backoff(failures, s.randFloat())) {
			return
		}
		if !s.Ready() {
			s.listAll(ctx, staleEntries)
		}
	}
}

// listStale lists all prefixes at their cheaper price. A prefix that cannot be listed is
// copied from other daemons.
func (s *Syncer) listStale(ctx context.Context) {
	for _, prefix := range s.config.Prefixes {
		if err := s.listStalePrefix(ctx, prefix); err != nil {
			s.config.Log.Warn().Err(err).Str("prefix", prefix).Msg("confsync: list at the start failed; copying from other daemons")
		}
	}
	s.updateReadiness(ctx)
}

// listStalePrefix lists one prefix at its cheaper price. An object that is missing from such
// a list is not treated as deleted.
func (s *Syncer) listStalePrefix(ctx context.Context, prefix string) error {
	objects, _, err := s.config.Store.ListStale(ctx, prefix)
	if err != nil {
		s.platformErrors.Add(1)
		return err
	}
	p := poller{syncer: s, prefix: prefix}
	s.config.Replica.applyAll(Origin{Source: SourceStaleList}, p.dropInvalid(objects))
	s.boot.recordList(prefix)
	return nil
}

func (b *bootState) isListed(prefix string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.unlistedPrefixes[prefix]
}

func (b *bootState) setRosterLoaded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rosterLoaded = true
}

func (b *bootState) isRosterLoaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rosterLoaded
}

func (b *bootState) comparedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.comparedPeers)
}

// listDue reports whether the next list is due and, if so, records its time.
func (b *bootState) listDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastListAt) < maxBackoff {
		return false
	}
	b.lastListAt = now
	return true
}

// countPeers returns the number of peers and of their domains.
func (s *Syncer) countPeers() (peers, domains int) {
	sameDomain, otherDomains := s.otherPeers()
	seenDomains := map[string]bool{}
	for _, p := range append(sameDomain, otherDomains...) {
		seenDomains[p.Domain] = true
	}
	return len(sameDomain) + len(otherDomains), len(seenDomains)
}

// listAll lists each prefix once and reports whether all lists succeeded. It does
// not push the objects: a daemon that is not a relay lists only when many daemons
// start at once.
//
// With staleEntries, the upstreams' entries are listed only once, from stale copies.
func (s *Syncer) listAll(ctx context.Context, staleEntries bool) bool {
	startedAt := s.config.BootTime()
	for _, prefix := range s.config.Prefixes {
		if staleEntries && prefix == platform.MembersPrefix {
			if !s.boot.isListed(prefix) && s.listStalePrefix(ctx, prefix) != nil {
				return false
			}
			continue
		}
		p := poller{syncer: s, prefix: prefix}
		if _, err := p.list(ctx); err != nil {
			s.platformErrors.Add(1)
			return false
		}
	}
	s.relayContact.confirm(startedAt)
	return true
}
