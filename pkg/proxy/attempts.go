package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/panics"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// maxUpstreamsTried limits the upstreams that one request is sent to, including those
// that did not run it and so do not count as attempts.
const maxUpstreamsTried = 6

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
	defer x.withdrawHedge()
	for running := 1; ; {
		hedgeDue, stop := x.hedgeTimer(ctx, running)
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
			x.withdrawHedge()
			if final = x.launchAttempt(ctx, ended); final != nil {
				return final
			}
			running++
		case <-hedgeDue:
			x.requestHedge(ctx)
		case g := <-x.hedgeGranted():
			stop()
			x.hedge = nil
			if g.Attempt != nil {
				x.proxy.Metrics.Hedges.WithLabelValues(x.service.Name).Inc()
				x.startAttempt(ctx, time.Now(), g, ended)
				running++
			}
		}
	}
}

// hedgeTimer returns a channel that fires when a hedge is due, and a function that
// stops the timer.
func (x *exchange) hedgeTimer(ctx context.Context, running int) (<-chan time.Time, func()) {
	_, hedgeDelay := x.service.Latency(x.rule.Name)
	if !x.idempotent() || x.suspected || x.hedgeDecided || running != 1 || hedgeDelay == 0 || x.rule.Attempts < 2 {
		return nil, func() {}
	}
	due := x.launchedAt.Add(hedgeDelay)
	if !due.Before(deadlineOf(ctx)) {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(due))
	return timer.C, func() { timer.Stop() }
}

// requestHedge asks for a second upstream if the retry budget allows it. The hedge
// starts when one is granted, unless the first attempt ends before.
func (x *exchange) requestHedge(ctx context.Context) {
	x.hedgeDecided = true
	if x.decideRetry(ctx, upstream.Result{Kind: upstream.Timeout, Verdict: verdict.MayHaveRun}).Retry {
		x.hedge = x.await(time.Now(), true)
	}
}

// hedgeGranted returns the channel that receives the upstream of a requested hedge.
func (x *exchange) hedgeGranted() <-chan blackboard.Grant {
	if x.hedge == nil {
		return nil
	}
	return x.hedge.Granted
}

// withdrawHedge cancels a hedge that has no upstream yet.
func (x *exchange) withdrawHedge() {
	if x.hedge != nil {
		x.service.Withdraw(time.Now(), x.hedge)
		x.hedge = nil
	}
}

// launchAttempt starts an attempt, or returns an answer if no upstream is available.
func (x *exchange) launchAttempt(ctx context.Context, ended chan<- endedAttempt) *Answer {
	chooseStart := time.Now()
	w := x.await(chooseStart, false)
	select {
	case g := <-w.Granted:
		switch {
		case g.Attempt == nil:
			return x.noUpstreamAnswer(g.Choice, g.RetryAfter)
		case x.startCtx.Err() != nil:
			// The caller has left, the deadline has passed, or the daemon stops.
			x.service.Release(time.Now(), g.Attempt)
			return x.endedAnswer()
		}
		x.startAttempt(ctx, chooseStart, g, ended)
		return nil
	case <-x.startCtx.Done():
		x.service.Withdraw(time.Now(), w)
		return x.endedAnswer()
	}
}

// endedAnswer returns the answer for a request that ended before an upstream was chosen.
func (x *exchange) endedAnswer() *Answer {
	switch {
	case isStopping(x.startCtx):
		return x.lastFailureOr(stoppingError(x.combinedVerdict))
	case errors.Is(x.startCtx.Err(), context.Canceled):
		return refusalAnswer(x.upstreamError(upstream.Result{Kind: upstream.Canceled, Err: context.Cause(x.startCtx)}, statusCallerGone))
	default:
		choice := routing.Choice{Reason: routing.AllBusy}
		return x.noUpstreamAnswer(choice, x.service.RetryAfter(time.Now(), choice))
	}
}

// await requests an upstream for an attempt. An optional one yields to all others.
func (x *exchange) await(now time.Time, optional bool) *blackboard.Waiter {
	r := blackboard.WaitRequest{
		AttemptRequest: blackboard.AttemptRequest{
			Route: x.rule.Name, Idempotent: x.idempotent(), Retryable: x.retryable(), MayWait: !x.retryable(),
			First: len(x.tried) == 0, Tried: x.tried, Fingerprint: x.fingerprint, Suspect: x.suspected,
		},
		AccountPriority: x.in.accountPriority(x.rule), Priority: x.rule.Priority, Optional: optional, RetryTried: x.launched > 0 && !optional,
	}
	if r.MayWait {
		// While it can still meet its target latency, a request that cannot be retried
		// waits for an upstream that is less likely to fail.
		r.MayWaitUntil = preferHealthyUntil(x.service, x.rule, x.in)
	}
	return x.service.Await(now, r)
}

// startAttempt sends an attempt in the background. chooseStart is when choosing its
// upstream began.
func (x *exchange) startAttempt(ctx context.Context, chooseStart time.Time, g blackboard.Grant, ended chan<- endedAttempt) {
	attempt := g.Attempt
	x.tried = append(x.tried, attempt.Upstream.ID)
	x.launched++
	x.launchedAt = time.Now()
	x.logChoice(g)
	x.selectionTime += x.launchedAt.Sub(chooseStart) - g.Waited
	x.proxy.Notifier.LoadChanged(x.service)
	panics.Go(panics.Upstreams, func() {
		result := x.sendAttempt(ctx, attempt)
		x.recordResult(ctx, attempt, result)
		ended <- endedAttempt{attempt, result}
	}, func(err error) { ended <- endedAttempt{attempt, panickedResult(err)} })
}

// retryable reports whether the request may be retried if the next attempt fails.
func (x *exchange) retryable() bool {
	return x.idempotent() && !x.suspected && x.launched+1 < x.rule.Attempts
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
	var result upstream.Result
	err := panics.Run(panics.Upstreams, func() {
		result = x.proxy.Sender.Do(ctx, upstream.Target{
			ID: a.Upstream.ID, Address: a.Upstream.Address, MaxConnections: x.document.Upstreams.Connections, ConnectTimeout: x.document.Timeouts.Connect,
		}, &upstream.Request{
			ID: x.in.ID, Method: x.in.Method, URI: x.in.URI, Host: x.in.Host,
			Headers: x.in.Headers, Body: x.in.Body, HasBody: x.in.HasBody,
			FreshConnection: !x.idempotent() && x.document.Upstreams.Reuse == document.ReuseIdempotent,
			AvoidLongIdle:   !x.idempotent(),
		})
	})
	if err != nil {
		return panickedResult(err)
	}
	return result
}

// panickedResult is the result of an attempt that panicked. The upstream may have run the request.
func panickedResult(err error) upstream.Result {
	return upstream.Result{Kind: upstream.Failure, Verdict: verdict.MayHaveRun, Err: err}
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
		x.failureAnswer = upstreamAnswer(r.Response, e.attempt.Upstream)
	}
	switch {
	case r.Kind == upstream.Success:
		return upstreamAnswer(r.Response, e.attempt.Upstream)
	case r.Kind == upstream.Canceled:
		r.Err = context.Cause(ctx)
		return refusalAnswer(x.upstreamError(r, statusCallerGone))
	case running > 0:
		x.logFailure(e, retry.Decision{Retry: true, Reason: retry.Idempotent})
		return nil
	}
	d := x.decideRetry(ctx, r)
	x.logFailure(e, d)
	if d.Retry {
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
