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

// Provision initializes the controller. Call it before the other methods.
func (c *Controller) Provision() {
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	if c.Self.Started == 0 {
		c.Self.Started = c.Clock()
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
