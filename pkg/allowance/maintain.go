package allowance

import (
	"context"
	"fmt"
	"time"

	"shallotglade/pkg/platform"
)

const (
	// storeTimeout bounds one call to the platform. It leaves a holder time to offer its
	// lease to another daemon before the lease ends.
	storeTimeout = 700 * time.Millisecond
	// checkInterval is the time between checks of what else makes a lease necessary.
	checkInterval = 250 * time.Millisecond
	// maxOffers is the number of daemons to which a lease is offered at a time.
	maxOffers = 3
)

func leaseKey(shard int) string { return fmt.Sprint(KeyPrefix, "allowance-", shard) }

// maintain takes, renews and gives up the lease until ctx ends.
func (r *runner) maintain(ctx context.Context) {
	r.locked(func(time.Duration) { r.shard.lease.abort() })
	for ctx.Err() == nil {
		r.checkNeed(ctx)
		r.mu.Lock()
		now := r.c.Clock()
		op, at := r.shard.Step(now)
		offer := op.Kind == NoOperation && r.shard.ShouldOffer(now)
		r.mu.Unlock()
		switch {
		case op.Kind != NoOperation:
			r.perform(ctx, op)
		case offer && r.offer(ctx):
		default:
			if !r.sleep(ctx, r.wakeLease, min(max(at-now, 0), checkInterval)) {
				return
			}
		}
	}
}

// checkNeed makes the preferred daemon take a lease that nobody has asked for yet, so that
// the buckets fill before the first requests, and gives up a lease that is not needed.
func (r *runner) checkNeed(ctx context.Context) {
	needed := r.c.Accounts.HasRates() && !r.c.closed.Load()
	r.mu.Lock()
	held, known := r.shard.lease.held, r.shard.Known()
	r.mu.Unlock()
	switch {
	case needed && !held && !known:
		if list := r.c.Candidates(r.index); len(list) > 0 && list[0].ID == r.c.Self.ID {
			r.mu.Lock()
			r.shard.Want(r.c.Clock())
			r.mu.Unlock()
		}
	case !needed && held && !r.c.closed.Load():
		r.giveUp(ctx, false)
	}
}

// perform makes a call to the platform and applies its result.
func (r *runner) perform(ctx context.Context, op Operation) {
	started := r.c.Clock()
	o, err := r.callStore(ctx, op)
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.shard.lease.held
	now := r.c.Clock()
	r.shard.Done(now, started, op, o, err)
	l := &r.shard.lease
	switch {
	case !before && l.held:
		r.c.stats.terms.Add(1)
		r.c.Log.Info().Int("shard", r.index).Uint64("version", l.version).Uint32("term", l.term).
			Bool("first", r.shard.grantor.tenure.First).Msg("allowance: lease taken; this daemon is the grantor")
		notify(r.wakeWallet)
	case before && !l.held:
		r.c.Log.Warn().Int("shard", r.index).Uint64("version", l.version).Str("holder", l.record.Holder).Msg("allowance: lease lost to another daemon")
	case l.failing && l.held && (l.failures == 1 || l.valid(now)):
		r.c.Log.Warn().Int("shard", r.index).Dur("left_ms", l.writtenAt+leaseDuration-now).Err(err).Msg("allowance: lease not renewed")
	}
}

func (r *runner) callStore(ctx context.Context, op Operation) (platform.Object, error) {
	r.c.stats.storeCalls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := leaseKey(r.index)
	switch op.Kind {
	case ReadLease:
		return r.c.Store.Get(ctx, key)
	case CreateLease:
		return r.c.Store.Create(ctx, key, op.Value)
	default:
		return r.c.Store.Update(ctx, key, op.Version, op.Value)
	}
}

// others returns the preferred daemons besides this one.
func (r *runner) others() (out []Candidate) {
	for _, candidate := range r.c.Candidates(r.index) {
		if candidate.ID != r.c.Self.ID && len(out) < maxOffers {
			out = append(out, candidate)
		}
	}
	return out
}

// offer gives the lease to a daemon that can reach the platform, and reports whether one
// has accepted. If none can, this daemon keeps the lease until it ends.
func (r *runner) offer(ctx context.Context) bool {
	for _, candidate := range r.others() {
		reply, err := r.call(ctx, candidate, &Request{Shard: r.index, Offer: true})
		if err != nil || reply.Status != Accepted {
			continue
		}
		r.mu.Lock()
		term := r.shard.Resign(r.c.Clock())
		r.mu.Unlock()
		r.c.Log.Warn().Int("shard", r.index).Str("successor", candidate.ID).Msg("allowance: lease given up, the platform cannot be reached")
		r.announce(ctx, []Candidate{candidate}, term)
		return true
	}
	return false
}

// announce tells the first of some daemons that answers that it may take over the lease.
func (r *runner) announce(ctx context.Context, successors []Candidate, term uint32) {
	for _, candidate := range successors {
		reply, err := r.call(ctx, candidate, &Request{Shard: r.index, Resigned: term})
		if err == nil && reply.Status == Accepted {
			r.mu.Lock()
			r.shard.SetSuccessor(candidate)
			r.mu.Unlock()
			return
		}
		r.c.Log.Warn().Int("shard", r.index).Str("successor", candidate.ID).Err(err).Msg("allowance: successor did not accept the lease")
	}
}

// offered answers an offer: whether this daemon can reach the platform.
func (r *runner) offered(ctx context.Context) Status {
	if r.c.closed.Load() {
		return Unable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout*3/4)
	defer cancel()
	if _, err := r.callStore(ctx, Operation{Kind: ReadLease}); err != nil {
		return Unable
	}
	return Accepted
}

// giveUp releases the lease if this daemon holds it.
func (r *runner) giveUp(ctx context.Context, closing bool) {
	r.mu.Lock()
	term := r.shard.lease.term
	op, held := r.shard.Release(r.c.Clock(), closing)
	r.mu.Unlock()
	if !held {
		return
	}
	started := r.c.Clock()
	o, err := r.callStore(ctx, op)
	r.mu.Lock()
	r.shard.Done(r.c.Clock(), started, op, o, err)
	r.mu.Unlock()
	if err != nil {
		r.c.Log.Warn().Int("shard", r.index).Err(err).Msg("allowance: lease not released on the platform; no tokens are granted under it any more")
	} else {
		r.c.Log.Info().Int("shard", r.index).Msg("allowance: lease released")
	}
	if closing {
		// The preferred daemon may have been lost a moment ago.
		r.announce(ctx, r.others(), term)
	}
}

// Release gives up all leases. Call it at the start of a graceful shutdown; requests are
// still admitted afterwards, with tokens of the next grantor.
func (c *Controller) Release(ctx context.Context) {
	if c.closed.Swap(true) {
		return
	}
	for _, r := range c.shards {
		r.giveUp(ctx, true)
	}
}
