package allowance

import "time"

const (
	// minPause and maxPause bound how long an entry daemon asks for no more tokens of an
	// account whose bucket is empty.
	minPause = 10 * time.Millisecond
	maxPause = 250 * time.Millisecond
	// sweepInterval is the time between searches for accounts and entry daemons that are
	// no longer active, entryLifetime how long an entry daemon is remembered. Within it a
	// delayed message is recognized.
	sweepInterval = 5 * time.Second
	entryLifetime = time.Minute
)

// Policy returns the allowance of an account. known is false if the configuration in force
// does not have it. Rate 0 means no limit.
type Policy func(name string) (rate, burst float64, known bool)

// Tenure states what a new grantor may assume about the time before it.
type Tenure struct {
	// Term identifies the lease.
	Term uint32
	// BucketsFrom is the time since when certainly no other daemon has granted tokens.
	// Buckets are empty then, or full if there never was a grantor.
	BucketsFrom time.Duration
	First       bool
	// HeadStart is true if buckets start with the tokens that the bound leaves, because no
	// other tenure began within the last window.
	HeadStart bool
	// ReservesFrom is the time from which reserve tokens may be handed out.
	ReservesFrom time.Duration
}

// Grantor holds the buckets of the accounts of one shard. It checks no lease.
type Grantor struct {
	limits   Limits
	tenure   Tenure
	accounts map[string]*grantorAccount
	entries  map[entryKey]*entry
	sweptAt  time.Duration
}

// entryKey identifies a process of an entry daemon.
type entryKey struct {
	id    string
	nonce uint32
}

// entry is the state of one entry daemon.
type entry struct {
	seq   uint64
	at    time.Duration
	stamp uint64
	// grants are those of the last reply, until the entry daemon has acknowledged it.
	grants []granted
}

type granted struct {
	account *grantorAccount
	n       int
}

// grantorAccount is the state of one account.
type grantorAccount struct {
	rate, burst float64
	bucket      *bucket
	shares      map[entryKey]*share
	uses        []use
	// backlog is the number of refused callers that have not been told to return by now.
	backlog   float64
	backlogAt time.Duration
}

// NewGrantor returns a grantor that begins its tenure.
func NewGrantor(limits Limits, tenure Tenure) *Grantor {
	return &Grantor{
		limits: limits.withDefaults(), tenure: tenure,
		accounts: map[string]*grantorAccount{}, entries: map[entryKey]*entry{},
	}
}

// Handle grants tokens to an entry daemon. version is that of the configuration behind
// policy.
func (g *Grantor) Handle(now time.Duration, from string, r *Request, version uint64, policy Policy) *Reply {
	g.sweep(now)
	key := entryKey{id: from, nonce: r.Nonce}
	e := g.entries[key]
	if e == nil {
		e = &entry{}
		g.entries[key] = e
	}
	if r.Seq <= e.seq {
		return &Reply{Status: Stale, Term: g.tenure.Term}
	}
	sameTerm := r.Term == g.tenure.Term
	received := sameTerm && r.Acked >= e.seq
	if !received {
		for _, lost := range e.grants {
			lost.account.bucket.giveBack(now, e.stamp, lost.n)
		}
	}
	e.seq, e.at, e.grants = r.Seq, now, e.grants[:0]
	reply := &Reply{Status: Granted, Term: g.tenure.Term, Stamp: stampOf(now), Grants: make([]Grant, len(r.Asks))}
	e.stamp = reply.Stamp
	for i := range r.Asks {
		ask := &r.Asks[i]
		rate, burst, known := policy(ask.Name)
		if !known && r.Version > version && ask.Rate > 0 {
			rate, burst, known = ask.Rate, ask.Burst, true
		}
		switch {
		case !known:
			reply.Grants[i].Unknown = true
		case rate <= 0:
			reply.Grants[i].Tokens = ask.Need + ask.Ahead
		default:
			a := g.account(now, ask.Name, rate, burst)
			reply.Grants[i] = g.grant(now, a, key, e, ask, sameTerm, r.Acked)
			if n := reply.Grants[i].Tokens; n > 0 {
				e.grants = append(e.grants, granted{account: a, n: n})
			}
		}
	}
	return reply
}

// account returns the state of an account and applies its allowance in force.
func (g *Grantor) account(now time.Duration, name string, rate, burst float64) *grantorAccount {
	tokenRate, size := g.limits.bucketRate(rate), g.limits.bucketSize(rate, burst)
	a := g.accounts[name]
	if a == nil {
		level := size
		if !g.tenure.First {
			level = max(0, tokenRate*(now-g.tenure.BucketsFrom).Seconds())
			if g.tenure.HeadStart {
				level += g.limits.headStart(rate, burst)
			}
		}
		a = &grantorAccount{bucket: newBucket(tokenRate, size, level, now), shares: map[entryKey]*share{}, backlogAt: now}
		g.accounts[name] = a
	}
	a.rate, a.burst = rate, burst
	a.bucket.setPolicy(now, tokenRate, size)
	a.bucket.settle(now)
	return a
}

// grant answers one ask.
func (g *Grantor) grant(now time.Duration, a *grantorAccount, key entryKey, e *entry, ask *Ask, sameTerm bool, acked uint64) Grant {
	s := a.shares[key]
	if s == nil {
		s = &share{}
		if sameTerm {
			// Reserve tokens used before are older than a window: the share was forgotten later.
			s.spent = ask.Spent
		}
		a.shares[key] = s
	}
	s.askedAt = now
	spent := s.spent
	if sameTerm {
		spent = ask.Spent
		for _, r := range ask.Returns {
			a.bucket.giveBack(now, r.Stamp, r.Count)
		}
	}
	level := int(a.bucket.level)
	n := min(ask.Need, level)
	// Tokens that are not needed yet must not empty the bucket for other entry daemons.
	n += min(ask.Ahead, (level-n+1)/2)
	a.bucket.take(n)
	s.demand.now(now)
	s.demand.value += float64(n + ask.Refused)
	held := a.reportUse(now, s, spent, sameTerm && acked >= s.seq, g.limits)
	s.seq = e.seq
	out := Grant{Tokens: n, Reserve: a.handOut(now, s, held, g.limits, now >= g.tenure.ReservesFrom)}
	a.backlog = max(0, a.backlog-a.bucket.rate*(now-a.backlogAt).Seconds()) + float64(ask.Refused)
	a.backlogAt = now
	if n < ask.Need+ask.Ahead && a.bucket.level < 1 {
		g.setPause(now, a, &out)
	}
	return out
}

// setPause states when to ask again. All entry daemons that ask for the account together
// then send about one message for each token that accrues.
func (g *Grantor) setPause(now time.Duration, a *grantorAccount, out *Grant) {
	asking := 0
	for _, s := range a.shares {
		if now-s.askedAt <= 2*maxPause {
			asking++
		}
	}
	perToken := 1 / a.bucket.rate
	gap := perToken * float64(max(asking, 1))
	out.PauseMs = millis(min(max(seconds(gap), minPause), maxPause))
	out.GapMs = millis(min(seconds(gap), g.limits.Window))
	out.RetryMs = millis(min(seconds((1-a.bucket.level+a.backlog)*perToken), g.limits.Window))
}

// sweep forgets accounts and entry daemons that are no longer active. A full bucket of an
// account without charges is the same as a new one.
func (g *Grantor) sweep(now time.Duration) {
	if now-g.sweptAt < sweepInterval {
		return
	}
	g.sweptAt = now
	for key, e := range g.entries {
		if now-e.at > entryLifetime {
			delete(g.entries, key)
		}
	}
	for name, a := range g.accounts {
		for key, s := range a.shares {
			if now-s.askedAt > max(g.limits.reserveCharge(), demandDecay) {
				delete(a.shares, key)
			}
		}
		a.bucket.settle(now)
		full := g.tenure.First || a.bucket.rate*(now-g.tenure.BucketsFrom).Seconds() >= a.bucket.size
		if len(a.shares) == 0 && full && a.bucket.level >= a.bucket.size {
			delete(g.accounts, name)
		}
	}
}

// seconds returns s seconds, at most 1e6, which a time.Duration can hold.
func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }
