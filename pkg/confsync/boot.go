package confsync

import (
	"context"
	"sync"
	"time"

	"shallotglade/internal/sleep"
)

const (
	// bootPeers is how many ready peers a starting daemon compares with.
	bootPeers = 3
	// bootDomains is how many failure domains they are to be from, so that a
	// daemon that starts in a domain that is cut off learns what others hold.
	bootDomains = 2
	// bootPatience is how long a starting daemon tries to meet both numbers.
	// Then one ready peer is enough, and without any it lists the platform
	// itself.
	bootPatience = 10 * time.Second
	// revisitCost puts a peer that was compared with behind two attempts at
	// each of the others.
	revisitCost = 4
)

// bootState is how far a starting daemon has come.
type bootState struct {
	started time.Time
	readyC  chan struct{}

	mu sync.Mutex
	// peers maps the ready peers compared with to their domains.
	peers map[string]string
	// unlisted are the prefixes that were not listed at the platform.
	unlisted map[string]bool
	ready    bool
	// tried counts attempts, to spread them over the peers.
	tried map[string]int
	// lastList is when the daemon last listed the platform for itself.
	lastList time.Time
	// rostered means that the daemon knows the others, so that it can tell
	// whether it is a relay.
	rostered bool
}

func newBootState(now time.Time, prefixes []string, rostered bool) *bootState {
	unlisted := map[string]bool{}
	for _, p := range prefixes {
		unlisted[p] = true
	}
	return &bootState{
		started: now, readyC: make(chan struct{}),
		peers: map[string]string{}, unlisted: unlisted, tried: map[string]int{}, rostered: rostered,
	}
}

// Ready says whether the replica holds what the fleet holds.
func (s *Syncer) Ready() bool {
	s.boot.mu.Lock()
	defer s.boot.mu.Unlock()
	return s.boot.ready
}

// starting says whether the daemon still tries to meet enough peers.
func (s *Syncer) starting() bool {
	return !s.Ready() && s.config.Now().Sub(s.boot.started) < bootPatience
}

// ReadyC returns a channel that is closed when the daemon is ready.
func (s *Syncer) ReadyC() <-chan struct{} { return s.boot.readyC }

// exchanged notes a completed comparison with a ready peer.
func (b *bootState) exchanged(p Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[p.Address] = p.Domain
}

// listed notes that a prefix was listed at the platform.
func (b *bootState) listed(prefix string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unlisted, prefix)
}

// chooseBootPeer returns a peer that was tried least, of a new domain if
// possible.
func (s *Syncer) chooseBootPeer(peers []Peer) (Peer, bool) {
	s.shuffle(peers)
	s.boot.mu.Lock()
	defer s.boot.mu.Unlock()
	covered := map[string]bool{}
	for _, domain := range s.boot.peers {
		covered[domain] = true
	}
	best, bestCost := Peer{}, -1
	for _, p := range peers {
		cost := 2 * s.boot.tried[p.Address]
		if covered[p.Domain] {
			cost++
		}
		if _, done := s.boot.peers[p.Address]; done {
			// It comes again after the others were tried a few times, so that
			// a daemon that waits for more ready peers stays up to date.
			cost += revisitCost
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	if bestCost < 0 {
		return Peer{}, false
	}
	s.boot.tried[best.Address]++
	return best, true
}

// checkReady makes the daemon ready when it has seen enough.
func (s *Syncer) checkReady(ctx context.Context) {
	if s.Ready() {
		return
	}
	patient := s.starting()
	if !patient && s.boot.compared() == 0 && s.boot.mayList(s.config.Now()) {
		s.listAll(ctx)
	}
	peers, domains := s.known()
	s.boot.mu.Lock()
	defer s.boot.mu.Unlock()
	covered := map[string]bool{}
	for _, domain := range s.boot.peers {
		covered[domain] = true
	}
	compared := len(s.boot.peers)
	enough := compared > 0 && compared >= min(s.config.BootPeers, peers) && len(covered) >= min(s.config.BootDomains, domains)
	if s.boot.ready || len(s.boot.unlisted) > 0 && !enough && (patient || compared == 0) {
		return
	}
	s.boot.ready = true
	close(s.boot.readyC)
	s.config.Log.Info().Int("peers", compared).Bool("listed", len(s.boot.unlisted) == 0).Msg("confsync: ready")
}

// readRoster lists the daemons until it has succeeded once. While the platform is
// away, the peers that the settings name have to do.
func (s *Syncer) readRoster(ctx context.Context) {
	if !sleep.For(ctx, s.config.RosterDelay) {
		return
	}
	for failures := 0; ctx.Err() == nil; failures++ {
		objects, _, err := s.config.Store.ListStale(ctx, s.config.Roster)
		if err == nil {
			// The list may be seconds old. Where all is listed anew it is not used:
			// daemons that have left would be relays and homes until forgotten.
			alone := s.config.Alone > 0 && len(objects) <= s.config.Alone
			if !alone || !s.listAll(ctx) {
				// Nothing counts as deleted because a stale list leaves it out: its
				// revision may be the present one, and its pages of different ages.
				s.config.Replica.applyAll(objects)
			}
			if s.config.OnRoster != nil {
				s.config.OnRoster()
			}
			s.boot.setRostered()
			if alone {
				s.listUntilReady(ctx)
			}
			return
		}
		s.platformErrors.Add(1)
		if failures == 0 {
			s.config.Log.Warn().Err(err).Msg("confsync: list of daemons not read, will retry")
		}
		if !sleep.For(ctx, backoff(failures+1, s.float())) {
			return
		}
	}
}

// listUntilReady lists the platform again until the daemon is ready by that or by its
// peers. Peers do not answer while they refuse each other's new keys.
func (s *Syncer) listUntilReady(ctx context.Context) {
	for failures := 1; ; failures++ {
		s.checkReady(ctx)
		if s.Ready() || !sleep.For(ctx, backoff(failures, s.float())) {
			return
		}
		if !s.Ready() {
			s.listAll(ctx)
		}
	}
}

func (b *bootState) setRostered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rostered = true
}

func (b *bootState) isRostered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rostered
}

func (b *bootState) compared() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers)
}

// mayList says whether the next list is due, and notes it.
func (b *bootState) mayList(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastList) < maxBackoff {
		return false
	}
	b.lastList = now
	return true
}

// known returns how many peers there are and in how many domains.
func (s *Syncer) known() (peers, domains int) {
	own, other := s.others()
	seen := map[string]bool{}
	for _, p := range append(own, other...) {
		seen[p.Domain] = true
	}
	return len(own) + len(other), len(seen)
}

// listAll lists the platform once for each prefix, and reports whether all lists
// were read. It pushes nothing: a daemon that is not a relay does this only when
// many start at once.
func (s *Syncer) listAll(ctx context.Context) bool {
	for _, prefix := range s.config.Prefixes {
		p := poller{syncer: s, prefix: prefix}
		if _, err := p.list(ctx); err != nil {
			s.platformErrors.Add(1)
			return false
		}
	}
	return true
}
