package confsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minSourceCheckAge is the age of the copy from which on a daemon compares it with a relay.
	minSourceCheckAge = time.Second
	// maxSourceChecks is the number of such comparisons per second that a relay gets from its
	// domain. In larger domains they are less frequent.
	maxSourceChecks = 160
	// maxListingDaemons is the number of daemons of a domain per second that begin to follow the
	// platform when their relays are lost.
	maxListingDaemons = 100
	// maxSourceAge limits the age in a message, so that it cannot overflow.
	maxSourceAge = time.Hour
)

// sourceContact tracks the age of the copy: the time since it last held everything that a
// relay held. A comparison with a daemon shows only that both copies are equal, and the
// other one may be as old. Ages are therefore passed on with comparisons, and only relays
// and the standbys that replace them start a new one. Daemons that are cut off from all
// relays thus cannot keep each other's ages young.
type sourceContact struct {
	// leads is true while this daemon is a relay of its domain, or replaces them.
	leads atomic.Bool
	// spread is a random number in [0, 1).
	spread float64

	mu sync.Mutex
	// followedAt is the boot time at which the copy held everything that a relay held.
	followedAt time.Duration
	// checkFailed is true if no relay brought the age down when it was last checked.
	checkFailed bool
	checking    bool
	// turn counts the checks that asked a single daemon.
	turn int
}

// confirm records that the copy held everything that a relay held at the given time.
func (c *sourceContact) confirm(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followedAt = max(c.followedAt, at)
}

// age returns the age of the copy.
func (c *sourceContact) age(now time.Duration) time.Duration {
	if c.leads.Load() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(now-c.followedAt, 0)
}

// beginCheck reports whether the caller is to check the age now.
func (c *sourceContact) beginCheck() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checking {
		return false
	}
	c.checking = true
	return true
}

func (c *sourceContact) endCheck(failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checking, c.checkFailed = false, failed
}

// nextTurn returns the number of earlier checks that asked a single daemon.
func (c *sourceContact) nextTurn() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	return c.turn - 1
}

func (c *sourceContact) lastCheckFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkFailed
}

// encodeSourceAge returns an age as it is sent, in milliseconds plus one; 0 is none.
func encodeSourceAge(age time.Duration) uint64 {
	return uint64(min(age, maxSourceAge)/time.Millisecond) + 1
}

// decodeSourceAge returns the age that a peer has sent.
func decodeSourceAge(sent uint64) time.Duration {
	return time.Duration(min(sent, uint64(maxSourceAge/time.Millisecond))) * time.Millisecond
}

// SourceAge returns the time since this daemon's copy last held everything that a relay held.
func (s *Syncer) SourceAge() time.Duration { return s.source.age(s.config.BootTime()) }

// sourceCheckAge returns the age from which on the copy is compared with a relay.
func (s *Syncer) sourceCheckAge() time.Duration {
	sameDomain, _ := s.otherPeers()
	return max(minSourceCheckAge, time.Duration(len(sameDomain))*time.Second/maxSourceChecks)
}

// lostSourceAge returns the age from which on a daemon follows the platform itself if no relay
// answers it. In a large domain that has lost its relays, the daemons do so one after the other:
// each begins with lists.
func (s *Syncer) lostSourceAge() time.Duration {
	sameDomain, _ := s.otherPeers()
	spread := s.source.spread * float64(len(sameDomain)) / maxListingDaemons
	return s.sourceCheckAge() + isolationTimeout - minSourceCheckAge + time.Duration(spread*float64(time.Second))
}

// checkSource compares the copy with a relay in the background if it is old. While no daemon
// answers at all, the periodic comparisons find out when one does.
func (s *Syncer) checkSource(ctx context.Context) {
	unanswered := s.contact.lastIntervalFailed() && s.source.lastCheckFailed()
	if !s.Ready() || unanswered || s.SourceAge() < s.sourceCheckAge() || !s.source.beginCheck() {
		return
	}
	started := s.config.Spawn(func() { s.source.endCheck(!s.compareWithSource(ctx)) })
	if !started {
		s.source.endCheck(s.source.lastCheckFailed())
	}
}

// compareWithSource compares the copy with the relay of this daemon's domain. If that does
// not bring its age down, it goes on with the daemons that replace the relay, and with the
// relays of other domains. It reports whether one of them did. After a failure it asks one
// daemon at a time, each in turn: this daemon is probably cut off.
func (s *Syncer) compareWithSource(ctx context.Context) bool {
	limit, groups := s.sourceCheckAge(), s.sourcePeers()
	if all := slices.Concat(groups...); s.source.lastCheckFailed() && len(all) > 0 {
		groups = [][]Peer{{all[s.source.nextTurn()%len(all)]}}
	}
	for _, peers := range groups {
		if len(peers) > 0 && s.compareAny(ctx, peers) && s.SourceAge() < limit {
			return true
		}
	}
	return s.SourceAge() < limit
}

// sourcePeers returns the daemons that may hold what the platform does, in the order in
// which they are asked: each group only if the one before it does not help.
func (s *Syncer) sourcePeers() [][]Peer {
	var first, rest []Peer
	own := s.config.Relays(s.config.Self.Domain)
	if s.config.Standbys != nil {
		own = append(append([]Peer{}, own...), s.config.Standbys()...)
	}
	for _, p := range own {
		switch {
		case p.Address == s.config.Self.Address:
		case len(first) == 0:
			first = append(first, p)
		default:
			rest = append(rest, p)
		}
	}
	return [][]Peer{first, rest, s.otherDomainRelays()}
}
