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
	// busyPause is how long a request waits when the free slot that it was
	// admitted for is taken: a slot is soon free again.
	busyPause = 5 * time.Millisecond
	// maxTries bounds the upstreams that one request is offered to. Those that
	// did not run it do not count as attempts.
	maxTries = 6
)

// endedAttempt is an attempt with its result.
type endedAttempt struct {
	attempt *blackboard.Attempt
	result  upstream.Result
}

// attempts tries upstreams until one answers, or until nothing more may be
// tried. An idempotent request that takes much longer than usual is sent to a
// second upstream; the first answer counts.
func (x *exchange) attempts(ctx context.Context) *Answer {
	x.sofar = verdict.NotRun
	// Leaving this function ends attempts that still run.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan endedAttempt, maxTries)
	if answer := x.launch(ctx, ended); answer != nil {
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
			if final = x.launch(ctx, ended); final != nil {
				return final
			}
			running++
		case <-hedge:
			if x.hedge(ctx, ended) {
				running++
			}
		}
	}
}

// hedgeTimer returns a channel that fires when a second attempt is due, or when one
// that is due looks for a free slot again, and a function that releases it.
func (x *exchange) hedgeTimer(ctx context.Context, running int) (<-chan time.Time, func()) {
	_, after := x.service.Latency(x.rule.Name)
	if !x.idempotent() || x.alone || x.hedged && !x.paid || running != 1 || after == 0 || x.rule.Attempts < 2 {
		return nil, func() {}
	}
	due := x.launchedAt.Add(after)
	if x.paid {
		due = time.Now().Add(busyPause)
	}
	if !due.Before(deadlineOf(ctx)) {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(due))
	return timer.C, func() { timer.Stop() }
}

// hedge starts a second attempt beside the first if it may be made and a slot is
// free. It does not wait for one: the answer of the first may come meanwhile.
func (x *exchange) hedge(ctx context.Context, ended chan endedAttempt) bool {
	mark := time.Now()
	if !x.hedged {
		x.hedged = true
		x.paid = x.decide(ctx, upstream.Result{Kind: upstream.Timeout, Verdict: verdict.MayHaveRun}).Retry
	}
	if !x.paid || len(ended) > 0 {
		return false
	}
	attempt, choice, ok := x.choose(mark, x.tried)
	if !ok {
		return false
	}
	x.paid = false
	x.proxy.Metrics.Hedges.WithLabelValues(x.service.Name).Inc()
	x.start(ctx, mark, attempt, choice, ended)
	return true
}

// launch starts an attempt, or returns the answer when there is no upstream.
func (x *exchange) launch(ctx context.Context, ended chan<- endedAttempt) *Answer {
	mark := time.Now()
	attempt, choice, ok := x.begin(ctx, mark)
	if !ok {
		return x.noUpstream(choice)
	}
	x.start(ctx, mark, attempt, choice, ended)
	return nil
}

// start sends an attempt that was chosen since mark.
func (x *exchange) start(ctx context.Context, mark time.Time, attempt *blackboard.Attempt, choice routing.Choice, ended chan<- endedAttempt) {
	x.tried = append(x.tried, attempt.Upstream.ID)
	x.launched++
	x.launchedAt = time.Now()
	x.logChoice(attempt, choice)
	x.own += x.launchedAt.Sub(mark)
	x.proxy.Notifier.Changed(x.service)
	go func() {
		result := x.send(ctx, attempt)
		x.end(ctx, attempt, result)
		ended <- endedAttempt{attempt, result}
	}()
}

// begin chooses an upstream. While all have their slots taken it waits, until the
// time left is too short for another attempt.
func (x *exchange) begin(ctx context.Context, now time.Time) (*blackboard.Attempt, routing.Choice, bool) {
	tried := x.tried
	for {
		attempt, choice, ok := x.choose(now, tried)
		hopeless := choice.Reason == routing.NoUpstream || choice.Reason == routing.AllTried && x.launched == 0
		if ok || hopeless || !sleep.For(ctx, busyPause) {
			return attempt, choice, ok
		}
		now = time.Now()
		if x.launched > 0 {
			tried = nil
		}
	}
}

// choose chooses an upstream with a free slot and counts the attempt as in flight.
func (x *exchange) choose(now time.Time, tried []string) (*blackboard.Attempt, routing.Choice, bool) {
	return x.service.Begin(now, blackboard.AttemptRequest{
		Route: x.rule.Name, Idempotent: x.idempotent(), Repeatable: x.repeatable(), MayWait: x.mayWait(now),
		First: len(x.tried) == 0, Tried: tried, Fingerprint: x.fingerprint, Alone: x.alone,
	})
}

// repeatable reports whether the request can be sent again if the next attempt
// fails.
func (x *exchange) repeatable() bool {
	return x.idempotent() && !x.alone && x.launched+1 < x.rule.Attempts
}

// mayWait reports whether the request can wait for an upstream that is less
// likely to fail, and still be answered within its target latency.
func (x *exchange) mayWait(now time.Time) bool {
	return !x.repeatable() && now.Before(settleOf(x.service, x.rule, x.in))
}

// send makes one attempt within its part of the time limit. An attempt of a
// request that is not idempotent goes on when its caller leaves, so that its
// outcome becomes known.
func (x *exchange) send(ctx context.Context, a *blackboard.Attempt) upstream.Result {
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
		Cautious:        !x.idempotent(),
	})
}

// afterAttempt returns the final answer, or nil when another attempt runs or is
// to be made.
func (x *exchange) afterAttempt(ctx context.Context, e endedAttempt, running int) *Answer {
	r := e.result
	x.sofar = verdict.Join(x.sofar, r.Verdict)
	if r.Verdict == verdict.NotRun {
		x.launched--
	}
	if r.Kind == upstream.Failure && r.Response != nil {
		x.failed = answered(r.Response, verdict.Ran, e.attempt.Upstream.ID)
	}
	switch {
	case r.Kind == upstream.Success:
		return answered(r.Response, verdict.Ran, e.attempt.Upstream.ID)
	case r.Kind == upstream.Canceled:
		return refused(x.failure(r, statusCallerGone))
	case running > 0:
		x.logFailure(e, retry.Decision{Retry: true, Reason: retry.Idempotent})
		return nil
	}
	d := x.decide(ctx, r)
	x.logFailure(e, d)
	if d.Retry {
		x.paid = false
		return nil
	}
	return x.unanswered(x.failure(r, statusOf(r.Kind)))
}

// decide says whether the request is sent to another upstream after an attempt
// that brought no usable answer, or brings none.
func (x *exchange) decide(ctx context.Context, r upstream.Result) retry.Decision {
	if len(x.tried) >= maxTries {
		return retry.Decision{Reason: retry.TooManyAttempts}
	}
	return x.service.DecideRetry(time.Now(), retry.Attempt{
		Verdict: r.Verdict, Idempotent: x.idempotent(), Attempts: x.launched, MaxAttempts: x.rule.Attempts, NotSent: notSent(r.Kind),
		EarlierMayHaveRun: x.sofar != verdict.NotRun, TimeLeft: time.Until(deadlineOf(ctx)),
	}, x.fingerprint)
}

func (x *exchange) logFailure(e endedAttempt, d retry.Decision) {
	if !x.proxy.LogDecisions() {
		return
	}
	x.proxy.Log.Warn().Str("request", x.in.ID).Str("service", x.service.Name).Str("upstream", e.attempt.Upstream.ID).
		Str("kind", e.result.Kind.String()).Stringer("verdict", e.result.Verdict).Dur("ms", e.result.Latency).
		Bool("reused", e.result.Reused).Bool("retry", d.Retry).Stringer("reason", d.Reason).
		Int("attempts", x.launched).Int("repeats_left", x.service.RepeatsLeft(time.Now())).AnErr("cause", e.result.Err).Msg("routing: attempt failed")
}
