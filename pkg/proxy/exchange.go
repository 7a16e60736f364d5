package proxy

import (
	"context"
	"time"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/claims"
	"shallotglade/pkg/document"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// exchange is one admitted request with its attempts.
type exchange struct {
	proxy       *Proxy
	service     *blackboard.Service
	rule        *document.Rule
	document    *document.Service
	in          *Incoming
	fingerprint poison.Fingerprint
	// startCtx ends when the request must not be sent to another upstream.
	startCtx context.Context
	// suspected is true if the request may have crashed upstreams and must run
	// alone on one.
	suspected    bool
	claimAttempt claims.Attempt
	// claimed is true if this daemon holds the claim of the request's key.
	claimed bool

	tried []string
	// launched counts the attempts that are running, ran or may have run,
	// including one by a lost home. launchedAt is when the latest attempt of this
	// daemon began.
	launched   int
	launchedAt time.Time
	// hedgeDecided is true once a hedge was allowed or denied. hedge is an allowed
	// hedge, already charged to the retry budget, that waits for an upstream.
	hedgeDecided bool
	hedge        *blackboard.Waiter
	// combinedVerdict joins the verdicts of the finished attempts.
	combinedVerdict verdict.Verdict
	// failureAnswer is the latest complete upstream answer with a failure status.
	failureAnswer *Answer
	// selectionTime is the time spent choosing upstreams. It does not count as waiting
	// for the queue, an upstream or the platform (see Answer.Waited).
	selectionTime time.Duration
}

func (x *exchange) idempotent() bool {
	return x.in.idempotent
}

// run claims the idempotency key if there is one, makes the attempts and stores the
// outcome.
func (x *exchange) run(ctx context.Context) *Answer {
	if x.in.Key != "" && x.document.Requests.Key != document.KeyNone && !x.idempotent() {
		if answer := x.claim(ctx); answer != nil {
			return answer
		}
	}
	answer := x.runAttempts(ctx)
	if x.claimed {
		x.storeOutcome(ctx, answer)
	}
	return answer
}

// notSent reports whether no connection to the upstream could be opened.
func notSent(k upstream.Kind) bool { return k == upstream.Unreachable || k == upstream.Refused }

func statusOf(k upstream.Kind) int {
	switch k {
	case upstream.Timeout:
		return 504
	case upstream.Shed, upstream.Unreachable, upstream.Refused:
		return 503
	default:
		return 502
	}
}

// shedRetryAfter is the Retry-After value of refusals due to missing capacity.
const shedRetryAfter = time.Second

// upstreamError returns the error for a request that no upstream answered completely.
func (x *exchange) upstreamError(r upstream.Result, status int) *verdict.Error {
	e := &verdict.Error{
		Verdict: x.combinedVerdict, Status: status, Reason: "upstream-" + r.Kind.String(),
		Detail: "No upstream gave a whole answer.", Cause: r.Err,
	}
	if r.Kind == upstream.Timeout && x.in.endsWithStop {
		e.Reason = reasonStopping
	}
	if x.combinedVerdict == verdict.NotRun {
		e.RetryAfter = shedRetryAfter
	}
	return e
}

// noUpstreamAnswer returns the answer for a request that no further upstream can
// take.
func (x *exchange) noUpstreamAnswer(choice routing.Choice, retryAfter time.Duration) *Answer {
	e := &verdict.Error{
		Verdict: x.combinedVerdict, Status: 503, Reason: choice.Reason.String(),
		Detail: "No upstream of the service can take the request.", RetryAfter: retryAfter,
	}
	return x.lastFailureOr(e)
}

// lastFailureOr returns the final answer of a request without a successful attempt:
// the latest failure answer of an upstream, or a refusal with e if there is none.
func (x *exchange) lastFailureOr(e *verdict.Error) *Answer {
	if x.failureAnswer != nil {
		return x.failureAnswer
	}
	return refusalAnswer(e)
}

func (x *exchange) logChoice(g blackboard.Grant) {
	if !x.proxy.LogDecisions() {
		return
	}
	a, choice := g.Attempt, g.Choice
	reason := choice.Reason.String()
	if x.suspected {
		reason = "suspect-alone"
	}
	line := x.proxy.Log.Info().Str("request", x.in.ID).Str("service", x.service.Name).Str("upstream", a.Upstream.ID).
		Str("domain", a.Upstream.Domain).Str("reason", reason).Float64("load", choice.Load).Float64("failing", choice.FailureProbability)
	if !choice.LastOutcomeAt.IsZero() {
		line.Int64("failing_age_ms", x.launchedAt.Sub(choice.LastOutcomeAt).Milliseconds())
	}
	line.Int64("listed_age_ms", x.launchedAt.Sub(a.Upstream.Listed).Milliseconds()).Int("attempt", len(x.tried)).
		Int64("idle_ms", choice.IdleTime.Milliseconds()).Bool("high_failure_rate", choice.HighFailureRate).
		Bool("repeatable", x.retryable()).Bool("hedge", x.hedgeDecided)
	if g.Waited > 0 {
		line.Int64("upstream_wait_ms", g.Waited.Milliseconds()).Stringer("awaited", g.Awaited)
	}
	line.Msg("routing: sent to upstream")
}
