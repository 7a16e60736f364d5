package allowance

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

const (
	// wantTime is how long a daemon tries to become the grantor after it was asked. It
	// exceeds takeoverWait.
	wantTime = 5 * time.Second
	// staleRecord is the age from which a daemon that is asked reads a lease again.
	staleRecord = 5 * time.Second
)

// Shard is one shard at a daemon that is or may become its grantor.
type Shard struct {
	limits    Limits
	self      Self
	lease     lease
	grantor   *Grantor
	random    *rand.Rand
	entry     Registration
	wantUntil time.Duration
	// outbid is set after another daemon has written the lease that this one tried to take.
	outbid bool
	// successor is the daemon to which the lease was given up.
	successor Candidate
	closed    bool
}

// NewShard returns a shard. shards is the number of shards of the fleet.
func NewShard(limits Limits, self Self, shards int, entry Registration, random *rand.Rand) *Shard {
	limits = limits.withDefaults()
	return &Shard{
		limits: limits, self: self, random: random, entry: entry,
		lease: lease{self: self, shards: shards, window: limits.Window},
	}
}

// Holds reports whether the daemon may grant tokens now.
func (s *Shard) Holds(now time.Duration) bool { return s.lease.valid(now) }

// Known reports whether the daemon has read the lease.
func (s *Shard) Known() bool { return s.lease.known }

// Want makes the daemon try to become the grantor.
func (s *Shard) Want(now time.Duration) {
	if !s.closed {
		s.wantUntil = now + wantTime
	}
}

// Handle answers a message from the daemon with the id.
func (s *Shard) Handle(now time.Duration, from string, r *Request, version uint64, policy Policy) *Reply {
	if s.lease.valid(now) {
		if max(r.Shards, 1) != s.lease.shards {
			return &Reply{Status: NotGrantor}
		}
		reply := s.grantor.Handle(now, from, r, version, policy)
		reply.LeaseVersion = s.lease.version
		return reply
	}
	if r.Resigned != 0 && !s.closed {
		s.lease.resigned, s.lease.resignedAt, s.lease.known = r.Resigned, now, false
		s.Want(now)
		return &Reply{Status: Accepted}
	}
	if r.SeenVersion > 0 {
		s.lease.see(r.SeenVersion, now-millisOf(r.SeenAgeMs))
	}
	return s.redirect(now, r)
}

// redirect answers a message that this daemon grants nothing for, and decides whether to
// become the grantor.
func (s *Shard) redirect(now time.Duration, r *Request) *Reply {
	l := &s.lease
	reply := &Reply{Status: NotGrantor, RetryMs: millis(candidateRetry)}
	named := l.known && l.readable && l.record.Holder != s.self.ID
	if !s.closed {
		if !named || now-l.readAt >= staleRecord {
			l.known = l.known && (l.held || l.busy || l.absent || now-l.readAt < readInterval)
			s.Want(now)
		} else if r.Unreachable == l.record.Holder {
			// A write on condition of the version that was read finds out whether the holder
			// has renewed the lease.
			s.Want(now)
		}
	}
	switch {
	case s.successor.ID != "" && !named:
		reply.Holder, reply.HolderAddress = s.successor.ID, s.successor.Address
	case l.failing:
		reply.Status = Unable
	case named:
		if _, free := l.free(now, s.entry); !free {
			reply.Holder, reply.HolderAddress = l.record.Holder, l.record.Address
		}
	}
	return reply
}

// Step returns the call to the platform to make now, or when to ask again.
func (s *Shard) Step(now time.Duration) (Operation, time.Duration) {
	return s.lease.step(now, now < s.wantUntil, s.entry, s.random.Uint32)
}

// Done applies the result of a call that started at the given time.
func (s *Shard) Done(now, started time.Duration, op Operation, o platform.Object, err error) {
	if tenure := s.lease.done(now, started, op, o, err); tenure != nil {
		s.grantor, s.successor = NewGrantor(s.limits, *tenure), Candidate{}
	}
	if s.lease.held {
		return
	}
	s.grantor = nil
	switch l := &s.lease; {
	case op.Kind != ReadLease && errors.Is(err, platform.ErrConflict):
		s.outbid = true
	case op.Kind == ReadLease && err == nil:
		if _, free := l.free(now, s.entry); s.outbid && !free && l.readable && l.record.Holder != s.self.ID {
			// There is a grantor. Daemons that it does not answer ask again. In a fleet that
			// starts as a whole, each daemon that goes on costs several calls.
			s.wantUntil = 0
		}
		s.outbid = false
	}
}

// ShouldOffer reports whether another daemon should take over the lease because this one
// cannot reach the platform.
func (s *Shard) ShouldOffer(now time.Duration) bool {
	return s.lease.valid(now) && s.lease.failing && now >= s.lease.writtenAt+offerAfter
}

// SetSuccessor names the daemon that has agreed to take over the lease.
func (s *Shard) SetSuccessor(successor Candidate) { s.successor = successor }

// Resign ends the tenure. The daemon grants nothing under the returned term any more, so
// another one may take over at once.
func (s *Shard) Resign(now time.Duration) (term uint32) {
	l := &s.lease
	term = l.term
	l.held, l.resigned, l.resignedAt = false, term, now
	s.grantor, s.successor, s.wantUntil = nil, Candidate{}, 0
	return term
}

// Release ends the tenure and returns the write that tells so. Afterwards the daemon does
// not become the grantor again, if closing is set.
func (s *Shard) Release(now time.Duration, closing bool) (op Operation, held bool) {
	s.closed = s.closed || closing
	s.wantUntil = 0
	if !s.lease.held {
		return Operation{}, false
	}
	s.Resign(now)
	record := s.lease.record
	record.Released = true
	record.Sequence++
	return s.lease.write(record, Tenure{}), true
}
