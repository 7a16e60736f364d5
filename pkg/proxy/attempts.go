package proxy

import (
	"context"
	"time"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

const (
	// slotPollInterval is how often an admitted request checks for a free slot
	// if its slot has been taken in the meantime. Slots are freed quickly.
	slotPollInterval = 5 * time.Millisecond
	// maxUpstreamsTried limits the upstreams that one request is sent to, including
	// those that did not run it and so do not count as attempts.
	maxUpstreamsTried = 6
)

// endedAttempt is a finished attempt with its result.
type endedAttempt struct {
	attempt *blackboard.Attempt
	result  upstream.Result
}

// runAttempts tries upstreams until one answers or no further attempt is allowed.
// An idempotent request that takes much longer than usual is hedged: it is also
// sent to a second upstream, and the first answer is used.
func (x *exchange) runAttempts(ctx context.Context) *Answer {
	x.combinedVerdict = verdict.NotRun
	// Returning cancels attempts that are still running.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan endedAttempt, maxUpstreamsTried)
	if answer := x.launchAttempt(ctx, ended); answer != nil {
		return answer
	}
	for running := 1; ; {
		hedge, stop := x.hedgeTimer(ctx, running)
		select {
		case e := <-ended:
			stop()
			running--
			final := x.afterAttempt(ctx, e, running)
			if final != nil {
				return final
			}
			if running > 0 {
				continue // The other attempt may still answer.
			}
			if final = x.launchAttempt(ctx, ended); final != nil {
				return final
			}
			running++
		case <-hedge:
			if x.launchHedge(ctx, ended) {
				running++
			}
		}
	}
}

// hedgeTimer returns a channel that fires when a hedge is due or when a pending
// hedge should look for a free slot again, and a function that stops the timer.
func (x *exchange) hedgeTimer(ctx context.Context, running int) (<-chan time.Time, func()) {
	_, hedgeDelay := x.service.Latency(x.rule.Name)
	if !x.idempotent() || x.suspected || x.hedgeDecided && !x.hedgePending || running != 1 || hedgeDelay == 0 || x.rule.Attempts < 2 {
		return nil, func() {}
	}
	due := x.launchedAt.Add(hedgeDelay)
	if x.hedgePending {
		due = time.Now().Add(slotPollInterval)
	}
	if !due.Before(deadlineOf(ctx)) {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(due))
	return timer.C, func() { timer.Stop() }
}

// launchHedge starts a second attempt in parallel if the retry budget allows it
// and a slot is free. It does not wait for a slot, because the first attempt may
// be answered in the meantime.
func (x *exchange) launchHedge(ctx context.Context, ended chan endedAttempt) bool {
	chooseStart := time.Now()
	if !x.hedgeDecided {
		x.hedgeDecided = true
		x.hedgePending = x.decideRetry(ctx, upstream.Result{Kind: upstream.Timeout, Verdict: verdict.MayHaveRun}).Retry
	}
	if !x.hedgePending || len(ended) > 0 {
		return false
	}
	attempt, choice, ok := x.chooseUpstream(chooseStart, x.tried)
	if !ok {
		return false
	}
	x.hedgePending, x.upstreamWait = false, 0
	x.proxy.Metrics.Hedges.WithLabelValues(x.service.Name).Inc()
	x.startAttempt(ctx, chooseStart, attempt, choice, ended)
	return true
}

// launchAttempt starts an attempt, or returns an answer if no upstream is
// available.
func (x *exchange) launchAttempt(ctx context.Context, ended chan<- endedAttempt) *Answer {
	chooseStart := time.Now()
	attempt, choice, ok := x.awaitUpstream(ctx, chooseStart)
	if !ok {
		return x.noUpstreamAnswer(choice)
	}
	x.startAttempt(ctx, chooseStart, attempt, choice, ended)
	return nil
}

// startAttempt sends an attempt in the background. chooseStart is when choosing its
// upstream began.
func (x *exchange) startAttempt(ctx context.Context, chooseStart time.Time, attempt *blackboard.Attempt, choice routing.Choice, ended chan<- endedAttempt) {
	x.tried = append(x.tried, attempt.Upstream.ID)
	x.launched++
	x.launchedAt = time.Now()
	x.logChoice(attempt, choice)
	x.selectionTime += x.launchedAt.Sub(chooseStart)
	x.proxy.Notifier.LoadChanged(x.service)
	go func() {
		result := x.sendAttempt(ctx, attempt)
		x.recordResult(ctx, attempt, result)
		ended <- endedAttempt{attempt, result}
	}()
}

// awaitUpstream chooses an upstream. While all slots are taken, it waits until ctx
// ends.
func (x *exchange) awaitUpstream(ctx context.Context, now time.Time) (*blackboard.Attempt, routing.Choice, bool) {
	tried, start := x.tried, now
	x.upstreamWait = 0
	for {
		attempt, choice, ok := x.chooseUpstream(now, tried)
		noneAvailable := choice.Reason == routing.NoUpstream || choice.Reason == routing.AllTried && x.launched == 0
		if ok || noneAvailable || !sleep.For(ctx, slotPollInterval) {
			return attempt, choice, ok
		}
		now = time.Now()
		x.awaited, x.upstreamWait = choice.Reason, now.Sub(start)
		if x.launched > 0 {
			tried = nil
		}
	}
}

// chooseUpstream chooses an upstream with a free slot and counts the attempt as in
// flight.
func (x *exchange) chooseUpstream(now time.Time, tried []string) (*blackboard.Attempt, routing.Choice, bool) {
	return x.service.Begin(now, blackboard.AttemptRequest{
		Route: x.rule.Name, Idempotent: x.idempotent(), Retryable: x.retryable(), MayWait: x.mayWait(now),
		First: len(x.tried) == 0, Tried: tried, Fingerprint: x.fingerprint, Suspect: x.suspected,
	})
}

// retryable reports whether the request may be retried if the next attempt fails.
func (x *exchange) retryable() bool {
	return x.idempotent() && !x.suspected && x.launched+1 < x.rule.Attempts
}

// mayWait reports whether the request can wait for an upstream that is less
// likely to fail, and still be answered within its target latency.
func (x *exchange) mayWait(now time.Time) bool {
	return !x.retryable() && now.Before(preferHealthyUntil(x.service, x.rule, x.in))
}

// sendAttempt makes one attempt within the attempt timeout. An attempt of a
// non-idempotent request continues when its caller disconnects, so that its outcome
// becomes known.
func (x *exchange) sendAttempt(ctx context.Context, a *blackboard.Attempt) upstream.Result {
	if !x.idempotent() {
		deadline := deadlineOf(ctx)
		var release context.CancelFunc
		ctx, release = context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer release()
	}
	ctx, cancel := context.WithTimeout(ctx, x.document.Timeouts.Attempt)
	defer cancel()
	return x.proxy.Sender.Do(ctx, upstream.Target{
		ID: a.Upstream.ID, Address: a.Upstream.Address, MaxConnections: x.document.Upstreams.Connections, ConnectTimeout: x.document.Timeouts.Connect,
	}, &upstream.Request{
		ID: x.in.ID, Method: x.in.Method, URI: x.in.URI, Host: x.in.Host,
		Headers: x.in.Headers, Body: x.in.Body, HasBody: x.in.HasBody,
		FreshConnection: !x.idempotent() && x.document.Upstreams.Reuse == document.ReuseIdempotent,
		AvoidLongIdle:   !x.idempotent(),
	})
}

// afterAttempt returns the final answer, or nil if another attempt is running or
// should be made.
func (x *exchange) afterAttempt(ctx context.Context, e endedAttempt, running int) *Answer {
	r := e.result
	x.combinedVerdict = verdict.Join(x.combinedVerdict, r.Verdict)
	if r.Verdict == verdict.NotRun {
		x.launched--
	}
	if r.Kind == upstream.Failure && r.Response != nil {
		x.failureAnswer = upstreamAnswer(r.Response, verdict.Ran, e.attempt.Upstream.ID)
	}
	switch {
	case r.Kind == upstream.Success:
		return upstreamAnswer(r.Response, verdict.Ran, e.attempt.Upstream.ID)
	case r.Kind == upstream.Canceled:
		return refusalAnswer(x.upstreamError(r, statusCallerGone))
	case running > 0:
		x.logFailure(e, retry.Decision{Retry: true, Reason: retry.Idempotent})
		return nil
	}
	d := x.decideRetry(ctx, r)
	x.logFailure(e, d)
	if d.Retry {
		x.hedgePending = false
		return nil
	}
	return x.lastFailureOr(x.upstreamError(r, statusOf(r.Kind)))
}

// decideRetry decides whether to send the request to another upstream after an
// attempt that failed, or that has not answered in time in the case of a hedge.
func (x *exchange) decideRetry(ctx context.Context, r upstream.Result) retry.Decision {
	if len(x.tried) >= maxUpstreamsTried {
		return retry.Decision{Reason: retry.TooManyAttempts}
	}
	return x.service.DecideRetry(time.Now(), retry.Attempt{
		Verdict: r.Verdict, Idempotent: x.idempotent(), Attempts: x.launched, MaxAttempts: x.rule.Attempts, NotSent: notSent(r.Kind),
		EarlierMayHaveRun: x.combinedVerdict != verdict.NotRun, TimeLeft: time.Until(deadlineOf(ctx)),
	}, x.fingerprint)
}

func (x *exchange) logFailure(e endedAttempt, d retry.Decision) {
	if !x.proxy.LogDecisions() {
		return
	}
	x.proxy.Log.Warn().Str("request", x.in.ID).Str("service", x.service.Name).Str("upstream", e.attempt.Upstream.ID).
		Str("kind", e.result.Kind.String()).Stringer("verdict", e.result.Verdict).Dur("ms", e.result.Latency).
		Bool("reused", e.result.Reused).Bool("retry", d.Retry).Stringer("reason", d.Reason).
		Int("attempts", x.launched).Int("repeats_left", x.service.RetriesAvailable(time.Now())).AnErr("cause", e.result.Err).Msg("routing: attempt failed")
}
