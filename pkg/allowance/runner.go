package allowance

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"shallotglade/pkg/account"
)

// runner runs the decision types of one shard: it holds their lock, reads the clock, sends
// the messages of the wallet (exchange), and makes the calls of the lease (maintain).
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
		outcome, waiter = r.wallet.Take(now, a.Name, a.Rate, a.Burst, r.wallet.WaitLimit(now, timeLeft))
	})
	return now, outcome, waiter
}

func (r *runner) release(t *Ticket) {
	defer func() {
		if p := recover(); p != nil {
			r.c.Log.Error().Str("account", t.account.name).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("allowance: release panicked; token lost")
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

// handle answers a message. A lease that it makes necessary is taken by the other loop.
func (r *runner) handle(from string, request *Request) *Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer(r.c.Clock(), from, request, r.c.Accounts.Version())
}

// answer passes a message to the shard. The caller holds the lock.
func (r *runner) answer(now time.Duration, from string, request *Request, version uint64) *Reply {
	reply := r.shard.Handle(now, from, request, version, r.policy)
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
		r.wallet.Reply(now, r.answer(now, r.c.Self.ID, call.Request, version))
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
