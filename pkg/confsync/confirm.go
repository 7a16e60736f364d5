package confsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/platform"
)

const (
	// confirmInterval is the time between two reads of the configuration by a relay, and
	// the least time between those of another daemon. Daemons must know of a version within
	// two seconds, and a read costs as much as all messages of one daemon.
	confirmInterval = time.Second
	// confirmReadTimeout limits one read. The probes of the platform notice a store that
	// does not answer earlier.
	confirmReadTimeout = 2 * time.Second
	// confirmTarget is the age that a confirmation is to reach, so that the next one is not
	// due at once. Relays read once per interval and are at most that much older.
	confirmTarget = 1500 * time.Millisecond
	// confirmStagger is how long one relay has to answer before the next one is asked too.
	// Callers wait 300 ms for a confirmation.
	confirmStagger = 100 * time.Millisecond
	// confirmRetryInterval is the least time between two confirmations on request.
	confirmRetryInterval = 200 * time.Millisecond
)

// confirmationSource is where a confirmation came from.
type confirmationSource uint8

const (
	confirmedByStore confirmationSource = iota
	confirmedByList
	confirmedByRelay
	confirmedByComparison
	confirmationSources
)

// confirmations holds the age of the configuration and the confirmation in progress.
type confirmations struct {
	counts [confirmationSources]atomic.Uint64

	mu      sync.Mutex
	tracker ageTracker
	// changedC is closed when the age becomes younger.
	changedC chan struct{}
	// runningC is closed at the end of the confirmation in progress; nil if there is none.
	runningC chan struct{}
	// nextRunAt and nextReadAt are the earliest times of the next confirmation on request
	// and of the next read.
	nextRunAt, nextReadAt time.Duration
	// unheldVersion is the last version in the store that was logged as not in force.
	unheldVersion uint64
}

// ConfirmedAge returns the time since the start of the latest read by which the store
// confirmed that no version newer than the one held by this daemon existed. known is
// false if there was none.
func (s *Syncer) ConfirmedAge() (age time.Duration, known bool) {
	c := &s.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.age(s.config.BootTime())
}

// Confirm reports whether the age is at most maxAge. If it is not, it asks the relays, and
// reads the store if none of them knows better. It waits for that until ctx ends. All
// callers share one confirmation.
func (s *Syncer) Confirm(ctx context.Context, maxAge time.Duration) bool {
	for {
		if s.confirmedWithin(maxAge) {
			return true
		}
		if ctx.Err() != nil || !s.needsConfirmation() {
			return false
		}
		changedC, runningC := s.joinConfirmation(min(maxAge, confirmTarget))
		select {
		case <-changedC:
		case <-runningC:
			return s.confirmedWithin(maxAge)
		case <-ctx.Done():
		}
	}
}

// joinConfirmation returns a channel that is closed when the age becomes younger, and one
// that is closed at the end of the confirmation in progress. If there is none, it starts
// one, unless the last one was too recent.
func (s *Syncer) joinConfirmation(maxAge time.Duration) (changedC, runningC <-chan struct{}) {
	c := &s.confirmations
	c.mu.Lock()
	changedC, runningC = c.changedC, c.runningC
	now := s.config.BootTime()
	if runningC != nil {
		c.mu.Unlock()
		return changedC, runningC
	}
	started := make(chan struct{})
	if now < c.nextRunAt {
		c.mu.Unlock()
		close(started)
		return changedC, started
	}
	c.runningC, c.nextRunAt = started, now+confirmRetryInterval
	c.mu.Unlock()
	end := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.runningC = nil
		close(started)
	}
	if !s.config.Spawn(func() { defer end(); s.confirmOnce(maxAge) }) {
		end()
	}
	return changedC, started
}

// confirmOnce asks the relays, and reads the store if none of them brings the age to at
// most maxAge.
func (s *Syncer) confirmOnce(maxAge time.Duration) {
	if s.askRelays(s.backgroundCtx, s.confirmationPeers(), maxAge) || !s.takeRead() {
		return
	}
	changed, err := s.readConfiguration(s.backgroundCtx)
	if err != nil {
		s.config.Log.Debug().Err(err).Msg("confsync: configuration cannot be confirmed")
		return
	}
	s.gossip(changed)
}

func (s *Syncer) confirmedWithin(maxAge time.Duration) bool {
	age, known := s.ConfirmedAge()
	return known && age <= maxAge
}

func (s *Syncer) needsConfirmation() bool {
	return s.config.ConfigurationKey != "" && s.config.NeedsConfirmation()
}

// heldVersion returns the version of the configuration in force.
func (s *Syncer) heldVersion() uint64 {
	if s.config.HeldVersion != nil {
		return s.config.HeldVersion()
	}
	o, _ := s.config.Replica.lookup(s.config.ConfigurationKey)
	return o.Version
}

// takeRead reports whether this daemon may read the store now.
func (s *Syncer) takeRead() bool {
	c := &s.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	now := s.config.BootTime()
	if now < c.nextReadAt {
		return false
	}
	c.nextReadAt = now + confirmInterval
	return true
}

// confirmationPeers returns the relays of this daemon's domain and one relay of each
// other domain, without the daemon itself.
func (s *Syncer) confirmationPeers() []Peer {
	peers := slices.Clone(s.config.Relays(s.config.Self.Domain))
	peers = append(peers, s.otherDomainRelays()...)
	return slices.DeleteFunc(peers, func(p Peer) bool { return p.Address == s.config.Self.Address })
}

// otherDomainRelays returns one relay of each other domain, in random order.
func (s *Syncer) otherDomainRelays() []Peer {
	_, others := s.otherPeers()
	s.shuffle(others)
	var relays []Peer
	seen := map[string]bool{}
	for _, p := range others {
		if seen[p.Domain] {
			continue
		}
		seen[p.Domain] = true
		if of := s.config.Relays(p.Domain); len(of) > 0 {
			relays = append(relays, of[0])
		}
	}
	return relays
}

// askRelays asks the peers one after the other until the age is at most maxAge, and
// reports whether it is. A peer that is slow to answer does not delay the next.
func (s *Syncer) askRelays(ctx context.Context, peers []Peer, maxAge time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{}, len(peers))
	for next, pending := 0, 0; next < len(peers) || pending > 0; {
		var slow <-chan time.Time
		if next < len(peers) {
			peer := peers[next]
			next, pending = next+1, pending+1
			ask := func() {
				s.askRelay(ctx, peer.Address)
				done <- struct{}{}
			}
			if !s.config.Spawn(ask) {
				done <- struct{}{}
			}
			slow = time.After(confirmStagger)
		}
		select {
		case <-done:
			pending--
			if s.confirmedWithin(maxAge) {
				return true
			}
		case <-slow:
		case <-ctx.Done():
			return false
		}
	}
	return s.confirmedWithin(maxAge)
}

// askRelay asks a relay for its age. If it has confirmed a newer version than this daemon
// holds, that version is fetched first.
func (s *Syncer) askRelay(ctx context.Context, address string) {
	sentAt := s.config.BootTime()
	body, err := s.callWithTimeout(ctx, smallCallTimeout, address, KindConfirm, confirmMessage{})
	var reply confirmReply
	if err == nil {
		err = decode(body, &reply)
	}
	if err == nil && reply.age().Version > s.heldVersion() {
		_, err = s.exchange(ctx, address, s.config.CallTimeout, propagateByGossip)
	}
	if err != nil {
		s.config.Log.Debug().Err(err).Str("peer", address).Msg("confsync: relay does not confirm the configuration")
		return
	}
	s.recordStatement(confirmedByRelay, sentAt, reply.age())
}

func (s *Syncer) handleConfirm(body []byte) ([]byte, error) {
	var m confirmMessage
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	return encode(confirmReply{s.statement()})
}

// statement returns this daemon's age for a peer. It is empty if ages are not needed.
func (s *Syncer) statement() confirmedAge {
	if !s.needsConfirmation() {
		return confirmedAge{}
	}
	c := &s.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	return newConfirmedAge(c.tracker.state(s.config.BootTime()))
}

// recordStatement records the age in a peer's reply to a request that was sent at sentAt.
func (s *Syncer) recordStatement(source confirmationSource, sentAt time.Duration, stated statedAge) {
	if stated.Version == 0 {
		return
	}
	s.record(source, func(t *ageTracker, held uint64) bool { return t.confirmByPeer(sentAt, stated, held) })
}

// record records a confirmation and reports whether the age became younger.
func (s *Syncer) record(source confirmationSource, confirm func(t *ageTracker, held uint64) bool) bool {
	held := s.heldVersion()
	c := &s.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	if !confirm(&c.tracker, held) {
		return false
	}
	c.counts[source].Add(1)
	close(c.changedC)
	c.changedC = make(chan struct{})
	return true
}

// recordRead records a read of the store that began at startedAt and returned version.
func (s *Syncer) recordRead(source confirmationSource, startedAt time.Duration, version uint64) {
	confirmed := s.record(source, func(t *ageTracker, held uint64) bool { return t.confirmByRead(startedAt, version, held) })
	if held := s.heldVersion(); !confirmed && held < version && s.confirmations.isNewlyUnheld(version) {
		s.config.Log.Error().Uint64("version", version).Uint64("held", held).
			Msg("confsync: version in the store cannot be put in force; knowledge of accounts grows old")
	}
}

// isNewlyUnheld reports whether version was not logged yet, and marks it as logged.
func (c *confirmations) isNewlyUnheld(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unheldVersion == version {
		return false
	}
	c.unheldVersion = version
	return true
}

// recordList records a list that is not stale, begun at startedAt. version is that of the
// configuration in the list, or 0.
func (s *Syncer) recordList(startedAt time.Duration, version uint64) {
	if version > 0 {
		s.recordRead(confirmedByList, startedAt, version)
	}
}

// configurationVersion returns the version of the configuration among the objects, or 0.
func (s *Syncer) configurationVersion(objects []platform.Object) uint64 {
	i := slices.IndexFunc(objects, func(o platform.Object) bool { return o.Key == s.config.ConfigurationKey })
	if i < 0 || s.config.ConfigurationKey == "" {
		return 0
	}
	return objects[i].Version
}

// readConfiguration reads the configuration from the store, applies it if it is newer
// than the copy, and returns it in that case.
func (s *Syncer) readConfiguration(ctx context.Context) ([]platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmReadTimeout)
	defer cancel()
	startedAt := s.config.BootTime()
	o, err := s.config.Store.Get(ctx, s.config.ConfigurationKey)
	if err != nil {
		s.platformErrors.Add(1)
		return nil, err
	}
	var changed []platform.Object
	if checkObjects([]platform.Object{o}, s.config.Prefixes) == nil {
		changed = s.config.Replica.applyAll(Origin{Source: SourceRead}, []platform.Object{o})
	}
	s.recordRead(confirmedByStore, startedAt, o.Version)
	return changed, nil
}

// runConfirmations reads the configuration once per interval while this daemon is a relay.
// If the store refuses that, other relays are asked, so that the daemons of this domain
// still get a young age from this one.
func (s *Syncer) runConfirmations(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		pause := confirmInterval
		if s.needsConfirmation() {
			if s.takeRead() {
				changed, err := s.readConfiguration(ctx)
				if ctx.Err() != nil {
					return
				}
				s.pushAll(changed)
				if failures = s.recordRelayRead(failures, err); err != nil {
					s.askRelays(ctx, s.otherDomainRelays(), confirmTarget)
				}
			}
			pause = s.untilRead()
		}
		if !sleep.For(ctx, pause) {
			return
		}
	}
}

// untilRead returns the time until the next read, at least a tenth of the interval.
func (s *Syncer) untilRead() time.Duration {
	c := &s.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.nextReadAt-s.config.BootTime(), confirmInterval/10)
}

// recordRelayRead logs when reads begin to fail or succeed again, and returns the number
// of consecutive failures.
func (s *Syncer) recordRelayRead(failures int, err error) int {
	switch {
	case err == nil && failures > 0:
		s.config.Log.Info().Int("failures", failures).Msg("confsync: configuration is confirmed by the store again")
	case err != nil && failures == 0:
		s.config.Log.Warn().Err(err).Msg("confsync: configuration cannot be read to confirm it, will retry")
	}
	if err == nil {
		return 0
	}
	s.platformLink.requestProbe()
	return failures + 1
}
