package allowance

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/internal/boottime"
	"shallotglade/pkg/account"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/verdict"
)

// KeyPrefix is the prefix of the keys of leases.
const KeyPrefix = "leases/"

// Transport sends messages to other daemons. peer.Node implements it.
type Transport interface {
	Call(ctx context.Context, address, kind string, body []byte) ([]byte, error)
}

// Directory holds the accounts of the configuration in force. Its methods are called on
// the request path and must return quickly.
type Directory interface {
	// Version is the version of the configuration.
	Version() uint64
	// Find returns an account by name.
	Find(name string) (*account.Account, bool)
	// HasRates reports whether any account has a rate. Without one, this package makes no
	// call and sends no message.
	HasRates() bool
}

// Config configures a Controller. Clock, Shards and Seed have defaults; all other fields are
// required.
type Config struct {
	Self   Self
	Limits Limits
	// Shards is the number of shards by which the accounts are divided, the same at all
	// daemons. Default: 1. It does not follow the number of live daemons, about which
	// daemons disagree at times: an account would have two grantors.
	Shards    int
	Store     platform.Store
	Transport Transport
	// Candidates returns the live daemons that can be the grantor of a shard, this one
	// included, in order of preference.
	Candidates func(shard int) []Candidate
	Accounts   Directory
	// Registered returns the entry of a host's daemon.
	Registered Registration
	// Clock returns the time since boot, including suspensions. Default: boottime.Now.
	Clock func() time.Duration
	// Seed is the seed of the random source. Default: random.
	Seed uint64
	Log  zerolog.Logger
}

// Controller admits requests within the allowances of their accounts, and is the grantor of
// the shards whose lease it holds. It is safe for concurrent use.
type Controller struct {
	Config
	shards []*runner
	stats  counters
	closed atomic.Bool
}

// counters are the counts of a controller.
type counters struct {
	byToken, byReserve, exhausted, withoutGrantor, messages, failedMessages, storeCalls, terms atomic.Uint64
}

// Stats are counts since the start and the present role.
type Stats struct {
	// ByToken and ByReserve count admitted requests, Exhausted and WithoutGrantor refused
	// ones.
	ByToken, ByReserve, Exhausted, WithoutGrantor uint64
	// Messages counts messages to other daemons, FailedMessages those without a reply.
	Messages, FailedMessages uint64
	// StoreCalls counts calls to the platform, Terms the leases taken.
	StoreCalls, Terms uint64
	// Held is the number of leases held.
	Held uint64
}

// runner is one shard of a controller.
type runner struct {
	c     *Controller
	index int

	mu     sync.Mutex
	wallet *Wallet
	shard  *Shard
	// wakeWallet and wakeLease wake the loops.
	wakeWallet, wakeLease chan struct{}
	// awayLogged is set while the log says that no grantor answers.
	awayLogged bool
}

// Provision initializes the controller. Call it before the other methods.
func (c *Controller) Provision() {
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	c.Shards = max(c.Shards, 1)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	c.Limits = c.Limits.withDefaults()
	for i := range c.Shards {
		random := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		c.shards = append(c.shards, &runner{
			c: c, index: i, wallet: NewWallet(c.Limits, c.Self.ID, random),
			shard:      NewShard(c.Limits, c.Self, c.Shards, c.Registered, random),
			wakeWallet: make(chan struct{}, 1), wakeLease: make(chan struct{}, 1),
		})
	}
}

// Run sends messages and maintains leases until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, r := range c.shards {
		loops.Go(func() { r.loop(ctx, "messages", r.exchange) })
		loops.Go(func() { r.loop(ctx, "lease", r.maintain) })
	}
	loops.Wait()
}

// loop runs f until ctx ends, also if it panics.
func (r *runner) loop(ctx context.Context, name string, f func(context.Context)) {
	for ctx.Err() == nil {
		func() {
			defer func() {
				if p := recover(); p != nil {
					r.c.Log.Error().Str("loop", name).Int("shard", r.index).Interface("panic", p).Bytes("stack", debug.Stack()).
						Msg("allowance: loop panicked and is started again")
				}
			}()
			f(ctx)
		}()
		// A loop that panics at once must not use a whole core.
		r.sleep(ctx, nil, storeRetry)
	}
}

// shardOf returns the shard of an account.
func (c *Controller) shardOf(name string) *runner {
	return c.shards[xxhash.Sum64String(name)%uint64(len(c.shards))]
}

func noRelease() {}

// Admit takes one request from the account's allowance, or returns the refusal. deadline is
// that of the request; zero means none. release returns the token if the request turns out
// not to have run.
func (c *Controller) Admit(ctx context.Context, a *account.Account, deadline time.Time) (release func(), refusal *verdict.Error) {
	if a == nil || a.Rate <= 0 {
		return noRelease, nil
	}
	defer func() {
		if p := recover(); p != nil {
			c.Log.Error().Str("account", a.Name).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("allowance: check panicked; request refused")
			release, refusal = nil, c.refuse(Outcome{Reason: NoGrantor, RetryAfter: noGrantorRetry})
		}
	}()
	r := c.shardOf(a.Name)
	outcome := r.take(ctx, a, deadline)
	if outcome.Ticket == nil {
		return nil, c.refuse(outcome)
	}
	if outcome.Ticket.Reserve {
		c.stats.byReserve.Add(1)
	} else {
		c.stats.byToken.Add(1)
	}
	var released atomic.Bool
	return func() {
		if released.CompareAndSwap(false, true) {
			r.release(outcome.Ticket)
		}
	}, nil
}

// take takes a token, and waits for one if necessary.
func (r *runner) take(ctx context.Context, a *account.Account, deadline time.Time) Outcome {
	timeLeft := time.Duration(0)
	if !deadline.IsZero() {
		timeLeft = max(time.Until(deadline), 1)
	}
	now, outcome, waiter := r.begin(a, timeLeft)
	if waiter == nil {
		return outcome
	}
	timer := time.NewTimer(waiter.Limit - now)
	defer timer.Stop()
	select {
	case <-waiter.Done:
	case <-timer.C:
		r.locked(func(now time.Duration) { r.wallet.Expire(now, waiter) })
		<-waiter.Done
	case <-ctx.Done():
		r.locked(func(now time.Duration) { r.wallet.Cancel(now, waiter) })
		return Outcome{Reason: NoGrantor, RetryAfter: noGrantorRetry}
	}
	return waiter.Outcome
}

func (r *runner) begin(a *account.Account, timeLeft time.Duration) (now time.Duration, outcome Outcome, waiter *Waiter) {
	r.locked(func(t time.Duration) {
		now = t
		outcome, waiter = r.wallet.Take(now, a.Name, a.Rate, a.Burst, WaitLimit(now, timeLeft))
	})
	return now, outcome, waiter
}

func (r *runner) release(t *Ticket) {
	defer func() {
		if p := recover(); p != nil {
			r.c.Log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("allowance: release panicked; token lost")
		}
	}()
	r.locked(func(now time.Duration) { r.wallet.Release(now, t) })
}

// locked runs f under the lock and wakes the loop that sends messages if one may be due.
func (r *runner) locked(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.c.Clock())
	if r.wallet.Wake() {
		notify(r.wakeWallet)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// refuse returns the error of a refused request.
func (c *Controller) refuse(o Outcome) *verdict.Error {
	var e *verdict.Error
	if o.Reason == Exhausted {
		c.stats.exhausted.Add(1)
		e = verdict.Refuse(429, "allowance-used-up", "The allowance of the account is used up.")
	} else {
		c.stats.withoutGrantor.Add(1)
		e = verdict.Refuse(503, "allowance-unknown", "The allowance of the account cannot be checked now.")
	}
	e.RetryAfter = o.RetryAfter
	return e
}

// Handle answers a message of the daemon with the id.
func (c *Controller) Handle(ctx context.Context, from string, body []byte) ([]byte, error) {
	request, err := decodeRequest(body)
	if err != nil {
		return nil, err
	}
	if request.Shard < 0 || request.Shard >= len(c.shards) {
		return nil, errors.Newf("allowance: no shard %d of %d", request.Shard, len(c.shards))
	}
	r := c.shards[request.Shard]
	if request.Offer {
		return encode(&Reply{Status: r.offered(ctx)})
	}
	return encode(r.handle(from, request))
}

// handle answers a message. A lease that it makes necessary is taken by the other loop.
func (r *runner) handle(from string, request *Request) *Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.shard.Handle(r.c.Clock(), from, request, r.c.Accounts.Version(), r.policy)
	if reply.Status != Granted {
		notify(r.wakeLease)
	}
	return reply
}

// policy implements Policy.
func (r *runner) policy(name string) (rate, burst float64, known bool) {
	a, ok := r.c.Accounts.Find(name)
	if !ok {
		return 0, 0, false
	}
	return a.Rate, a.Burst, true
}

// exchange sends the messages of the wallet until ctx ends.
func (r *runner) exchange(ctx context.Context) {
	// After a panic the reply to the last message is not known.
	r.locked(r.wallet.Fail)
	for ctx.Err() == nil {
		call, pause := r.next()
		if call == nil {
			if !r.sleep(ctx, r.wakeWallet, pause) {
				return
			}
			continue
		}
		reply, err := r.send(ctx, call)
		r.locked(func(now time.Duration) {
			if err == nil {
				r.wallet.Reply(now, reply)
			} else {
				r.wallet.Fail(now)
			}
			r.logContact()
		})
	}
}

// next returns the message that is due, or how long to sleep. A message to the daemon
// itself is handled at once.
func (r *runner) next() (*Call, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		now, version := r.c.Clock(), r.c.Accounts.Version()
		call, at := r.wallet.Next(now, func() []Candidate { return r.c.Candidates(r.index) }, version)
		switch {
		case call == nil && at == never:
			return nil, never
		case call == nil:
			return nil, max(at-now, 0)
		}
		call.Request.Shard = r.index
		if r.c.Shards > 1 {
			call.Request.Shards = r.c.Shards
		}
		if call.Target.ID != r.c.Self.ID {
			return call, 0
		}
		reply := r.shard.Handle(now, r.c.Self.ID, call.Request, version, r.policy)
		if reply.Status != Granted {
			notify(r.wakeLease)
		}
		r.wallet.Reply(now, reply)
		r.logContact()
	}
}

func (r *runner) send(ctx context.Context, call *Call) (*Reply, error) {
	r.c.stats.messages.Add(1)
	reply, err := r.call(ctx, call.Target, call.Request)
	if err != nil {
		r.c.stats.failedMessages.Add(1)
		r.c.Log.Debug().Str("peer", call.Target.ID).Int("shard", r.index).Err(err).Msg("allowance: message got no reply")
	}
	return reply, err
}

func (r *runner) call(ctx context.Context, to Candidate, request *Request) (*Reply, error) {
	body, err := encode(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err = r.c.Transport.Call(ctx, to.Address, Kind, body)
	if err != nil {
		return nil, err
	}
	return decodeReply(body)
}

// logContact logs that no grantor answers, and that one answers again. The caller holds
// the lock.
func (r *runner) logContact() {
	ok, since := r.wallet.InContact()
	now := r.c.Clock()
	switch {
	case !ok && !r.awayLogged && now-since >= maxWait:
		r.awayLogged = true
		r.c.Log.Warn().Int("shard", r.index).Msg("allowance: no grantor answers; only reserve tokens are used")
	case ok && r.awayLogged:
		r.awayLogged = false
		r.c.Log.Info().Int("shard", r.index).Msg("allowance: a grantor answers again")
	}
}

// sleep returns after the time, when woken, or false when ctx has ended.
func (r *runner) sleep(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	var expired <-chan time.Time
	if d < never {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-expired:
	}
	return true
}

// Stats returns the counts so far.
func (c *Controller) Stats() Stats {
	s := Stats{
		ByToken: c.stats.byToken.Load(), ByReserve: c.stats.byReserve.Load(), Exhausted: c.stats.exhausted.Load(),
		WithoutGrantor: c.stats.withoutGrantor.Load(), Messages: c.stats.messages.Load(), FailedMessages: c.stats.failedMessages.Load(),
		StoreCalls: c.stats.storeCalls.Load(), Terms: c.stats.terms.Load(),
	}
	for _, r := range c.shards {
		r.mu.Lock()
		if r.shard.Holds(c.Clock()) {
			s.Held++
		}
		r.mu.Unlock()
	}
	return s
}
