package allowance

import (
	"math"
	"time"
)

// A reserve token admits a request at an entry daemon to which no grantor answers. The grantor
// hands reserve tokens out in advance, with its replies, and they are charged against the
// overshoot of the allowance. They have nothing to do with the reserve of pkg/limits and
// pkg/routing, which is slots at upstreams that are likely to fail.

// share is what a grantor knows about one entry daemon and one account.
type share struct {
	demand demand
	// askedAt is the time of the last message about the account.
	askedAt time.Duration
	// reserve is the number of reserve tokens of the last reply, given at the time at.
	// reserveBefore is the number that the entry daemon holds if that reply, to the message
	// seq, was lost.
	reserve, reserveBefore int
	at                     time.Duration
	seq                    uint64
	// spent is the number of reserve tokens that the entry daemon has reported as used.
	spent uint32
}

// charge returns how many reserve tokens of the entry daemon count against the limit.
func (s *share) charge(now time.Duration, lifetime time.Duration) int {
	if now >= s.at+lifetime {
		return 0
	}
	return max(s.reserve, s.reserveBefore)
}

// demand is a count that decays with time constant demandDecay.
type demand struct {
	value float64
	at    time.Duration
}

// demandDecay is the time constant of the demand by which reserve tokens are shared. It is
// long against the time between the messages of an entry daemon.
const demandDecay = 2 * time.Second

func (d *demand) now(now time.Duration) float64 {
	if now > d.at {
		d.value *= math.Exp(-(now - d.at).Seconds() / demandDecay.Seconds())
		d.at = now
	}
	return d.value
}

// use is a number of reserve tokens whose use was reported at a time.
type use struct {
	n  int
	at time.Duration
}

// reportUse counts the reserve tokens that an entry daemon has used, and returns how many
// it holds now. received tells whether the last reply arrived. The count is complete, so
// nothing else that was handed out to the entry daemon before can have been used.
func (a *grantorAccount) reportUse(now time.Duration, s *share, spent uint32, received bool, l Limits) (held int) {
	switch {
	case now >= s.at+l.Window:
		// The entry daemon does not use them any longer.
	case received:
		held = s.reserve
	default:
		held = s.reserveBefore
	}
	if diff := int32(spent - s.spent); diff > 0 {
		s.spent = spent
		a.uses = append(a.uses, use{n: int(diff), at: now})
		held = max(held-int(diff), 0)
	}
	return held
}

// handOut decides how many reserve tokens an entry daemon may hold that holds some now. All
// tokens that can be used, and those used within the last window, stay within the limit.
func (a *grantorAccount) handOut(now time.Duration, s *share, held int, l Limits, allowed bool) int {
	most, target, total, charged := l.reserveSize(a.rate, a.burst), 0, 0.0, held
	for len(a.uses) > 0 && now >= a.uses[0].at+l.Window {
		a.uses = a.uses[1:]
	}
	for _, u := range a.uses {
		charged += u.n
	}
	for _, other := range a.shares {
		total += other.demand.now(now)
		if other != s {
			charged += other.charge(now, l.reserveCharge())
		}
	}
	if allowed && total > 0 {
		target = int(math.Ceil(most * s.demand.now(now) / total))
	}
	s.reserveBefore, s.at = held, now
	s.reserve = min(target, held+max(int(most)-charged, 0))
	return s.reserve
}
