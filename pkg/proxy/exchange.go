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
	// alone means that the request is suspected of crashing upstreams.
	alone   bool
	attempt claims.Attempt
	// claimed means that this daemon holds the claim of the request's key.
	claimed bool

	tried []string
	// launched counts the attempts that run, ran or may have run, one of a lost
	// home included, and launchedAt is when the latest began here.
	launched   int
	launchedAt time.Time
	// hedged means that a second attempt beside the first was considered, and paid
	// that the retry budget was charged for it and it was not made yet.
	hedged, paid bool
	// sofar joins the verdicts of the attempts that have ended.
	sofar verdict.Verdict
	// failed is the latest whole answer of an upstream that states a failure.
	failed *Answer
	// own is time spent neither at upstreams nor at the platform.
	own time.Duration
}

func (x *exchange) idempotent() bool {
	return x.in.idempotent
}

// run claims the key if there is one, makes the attempts and settles the claim.
func (x *exchange) run(ctx context.Context) *Answer {
	if x.in.Key != "" && x.document.Requests.Key != document.KeyNone && !x.idempotent() {
		if answer := x.claim(ctx); answer != nil {
			return answer
		}
	}
	answer := x.attempts(ctx)
	if x.claimed {
		x.settle(ctx, answer)
	}
	return answer
}

// notSent reports whether no connection to the upstream was open.
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

// shedRetryAfter is what a caller is told to wait when all upstreams are full.
const shedRetryAfter = time.Second

// failure is what the caller is told when no upstream gave a whole answer.
func (x *exchange) failure(r upstream.Result, status int) *verdict.Error {
	e := &verdict.Error{
		Verdict: x.sofar, Status: status, Reason: "upstream-" + r.Kind.String(),
		Detail: "No upstream gave a whole answer.", Cause: r.Err,
	}
	if x.sofar == verdict.NotRun {
		e.RetryAfter = shedRetryAfter
	}
	return e
}

// noUpstream is the answer when no upstream may be tried (again).
func (x *exchange) noUpstream(choice routing.Choice) *Answer {
	e := &verdict.Error{
		Verdict: x.sofar, Status: 503, Reason: choice.Reason.String(),
		Detail: "No upstream of the service can take the request.", RetryAfter: shedRetryAfter,
	}
	return x.unanswered(e)
}

// unanswered is the answer when no attempt succeeded and none is left: the failure
// that an upstream answered last, or the refusal e.
func (x *exchange) unanswered(e *verdict.Error) *Answer {
	if x.failed != nil {
		return x.failed
	}
	return refused(e)
}

func (x *exchange) logChoice(a *blackboard.Attempt, choice routing.Choice) {
	if !x.proxy.LogDecisions() {
		return
	}
	reason := choice.Reason.String()
	if x.alone {
		reason = "suspect-alone"
	}
	line := x.proxy.Log.Info().Str("request", x.in.ID).Str("service", x.service.Name).Str("upstream", a.Upstream.ID).
		Str("domain", a.Upstream.Domain).Str("reason", reason).Float64("load", choice.Load).Float64("failing", choice.Failing)
	if !choice.Seen.IsZero() {
		line.Int64("failing_age_ms", x.launchedAt.Sub(choice.Seen).Milliseconds())
	}
	line.Int64("listed_age_ms", x.launchedAt.Sub(a.Upstream.Listed).Milliseconds()).Int("attempt", len(x.tried)).
		Bool("repeatable", x.repeatable()).Bool("hedge", x.hedged).Msg("routing: sent to upstream")
}
