package confsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRelayCheckAge is the age of the copy from which on a daemon compares it with a relay.
	minRelayCheckAge = time.Second
	// maxRelayChecks is the number of such comparisons per second that a relay gets from its
	// domain. In larger domains they are less frequent.
	maxRelayChecks = 160
	// maxListingDaemons is the number of daemons of a domain per second that begin to follow the
	// platform when their relays are lost.
	maxListingDaemons = 100
	// maxCopyAge limits the age in a message, so that it cannot overflow.
	maxCopyAge = time.Hour
)

// relayContact tracks the age of the copy: the time since it last held everything that a
// relay held. A comparison with a daemon shows only that both copies are equal, and the
// other one may be as old. Replies to comparisons therefore pass ages on, and only relays
// and the standbys that replace them start a new one. Daemons that are cut off from all
// relays thus cannot keep each other's ages young.
type relayContact struct {
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
func (c *relayContact) confirm(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followedAt = max(c.followedAt, at)
}

// age returns the age of the copy.
func (c *relayContact) age(now time.Duration) time.Duration {
	if c.leads.Load() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(now-c.followedAt, 0)
}

// beginCheck reports whether the caller is to check the age now.
func (c *relayContact) beginCheck() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checking {
		return false
	}
	c.checking = true
	return true
}

func (c *relayContact) endCheck(failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checking, c.checkFailed = false, failed
}

// nextTurn returns the number of earlier checks that asked a single daemon.
func (c *relayContact) nextTurn() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	return c.turn - 1
}

func (c *relayContact) lastCheckFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkFailed
}

// encodeCopyAge returns an age as it is sent, in milliseconds plus one; 0 is none.
func encodeCopyAge(age time.Duration) uint64 {
	return uint64(min(age, maxCopyAge)/time.Millisecond) + 1
}

// decodeCopyAge returns the age that a peer has sent.
func decodeCopyAge(sent uint64) time.Duration {
	return time.Duration(min(sent, uint64(maxCopyAge/time.Millisecond))) * time.Millisecond
}

// CopyAge returns the time since this daemon's copy last held everything that a relay held.
func (s *Syncer) CopyAge() time.Duration { return s.relayContact.age(s.config.BootTime()) }

// relayCheckAge returns the age from which on the copy is compared with a relay.
func (s *Syncer) relayCheckAge() time.Duration {
	sameDomain, _ := s.otherPeers()
	return max(minRelayCheckAge, time.Duration(len(sameDomain))*time.Second/maxRelayChecks)
}

// lostCopyAge returns the age from which on a daemon follows the platform itself if no relay
// answers it. In a large domain that has lost its relays, the daemons do so one after the other:
// each begins with lists.
func (s *Syncer) lostCopyAge() time.Duration {
	sameDomain, _ := s.otherPeers()
	spread := s.relayContact.spread * float64(len(sameDomain)) / maxListingDaemons
	return s.relayCheckAge() + isolationTimeout - minRelayCheckAge + time.Duration(spread*float64(time.Second))
}

// isRelayCheckDue reports whether the copy is to be compared with a relay. Young copies are told
// apart first, without the list of daemons.
func (s *Syncer) isRelayCheckDue() bool {
	age := s.CopyAge()
	return age >= minRelayCheckAge && age >= s.relayCheckAge()
}

// isCopyLost reports whether the copy is so old that this daemon follows the platform itself.
func (s *Syncer) isCopyLost() bool {
	age := s.CopyAge()
	return age >= isolationTimeout && age >= s.lostCopyAge()
}

// checkRelays compares the copy with a relay in the background if it is old. While no daemon
// answers at all, the periodic comparisons find out when one does.
func (s *Syncer) checkRelays(ctx context.Context) {
	unanswered := s.contact.lastIntervalFailed() && s.relayContact.lastCheckFailed()
	if !s.Ready() || unanswered || !s.isRelayCheckDue() || !s.relayContact.beginCheck() {
		return
	}
	started := s.config.Spawn(func() { s.relayContact.endCheck(!s.compareWithRelays(ctx)) })
	if !started {
		s.relayContact.endCheck(s.relayContact.lastCheckFailed())
	}
}

// compareWithRelays compares the copy with the relay of this daemon's domain. If that does
// not bring its age down, it goes on with the daemons that replace the relay, and with the
// relays of other domains. It reports whether one of them did. After a failure it asks one
// daemon at a time, each in turn: this daemon is probably cut off.
func (s *Syncer) compareWithRelays(ctx context.Context) bool {
	limit, groups := s.relayCheckAge(), s.relayPeers()
	if all := slices.Concat(groups...); s.relayContact.lastCheckFailed() && len(all) > 0 {
		groups = [][]Peer{{all[s.relayContact.nextTurn()%len(all)]}}
	}
	for _, peers := range groups {
		if len(peers) > 0 && s.compareAny(ctx, peers) && s.CopyAge() < limit {
			return true
		}
	}
	return s.CopyAge() < limit
}

// relayPeers returns the daemons that may hold what the platform does, in the order in
// which they are asked: each group only if the one before it does not help.
func (s *Syncer) relayPeers() [][]Peer {
	var first, rest []Peer
	own := s.config.Relays(s.config.Self.Domain)
	if s.config.Standbys != nil {
		own = slices.Concat(own, s.config.Standbys())
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
