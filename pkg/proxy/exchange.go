package proxy

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/claims"
	"shallotglade/pkg/document"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/retry"
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
	// sent counts the attempts for which a connection was open.
	sent int
	// sofar joins the verdicts of the attempts that have ended.
	sofar verdict.Verdict
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

// attempts tries upstreams until one answers, or until nothing more may be tried.
func (x *exchange) attempts(ctx context.Context) *Answer {
	x.sofar = verdict.NotRun
	for {
		mark := time.Now()
		attempt, choice, ok := x.begin(ctx, mark)
		if !ok {
			return x.noUpstream(choice)
		}
		x.logChoice(attempt, choice)
		x.tried = append(x.tried, attempt.Upstream.ID)
		x.own += time.Since(mark)
		result := x.send(ctx, attempt)
		x.end(ctx, attempt, result)
		x.sofar = verdict.Join(x.sofar, result.Verdict)
		if !notSent(result.Kind) {
			x.sent++
		}
		if final := x.afterAttempt(ctx, attempt, result); final != nil {
			return final
		}
	}
}

// busyPause is how long a request waits when the free slot that it was admitted
// for is taken: a slot is soon free again.
const busyPause = 5 * time.Millisecond

// begin chooses an upstream. While all have their slots taken it waits, until the
// time left is too short for another attempt.
func (x *exchange) begin(ctx context.Context, now time.Time) (*blackboard.Attempt, routing.Choice, bool) {
	tried := x.tried
	for {
		attempt, choice, ok := x.service.Begin(now, blackboard.AttemptRequest{
			Idempotent: x.idempotent(), First: len(x.tried) == 0, Tried: tried, Fingerprint: x.fingerprint, Alone: x.alone,
		})
		hopeless := choice.Reason == routing.NoUpstream || choice.Reason == routing.AllTried && x.sent == 0
		if ok || hopeless || !sleep(ctx, busyPause) {
			return attempt, choice, ok
		}
		now = time.Now()
		if x.sent > 0 {
			tried = nil
		}
	}
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
	})
}

// end records what the attempt says about its upstream.
func (x *exchange) end(ctx context.Context, a *blackboard.Attempt, r upstream.Result) {
	x.proxy.Metrics.Attempts.WithLabelValues(x.service.Name, r.Kind.String()).Inc()
	ended := x.service.End(time.Now(), a, r)
	if ended.CheckDial {
		refused := x.dialRefused(ctx, a.Upstream.Address)
		dialed := x.service.Dialed(time.Now(), a.Upstream.ID, refused)
		ended.Share = ended.Share || dialed.Share
	}
	leaving := r.Response != nil && r.Response.Leaving && x.service.MarkLeaving(time.Now(), a.Upstream.ID)
	if leaving {
		x.proxy.Log.Info().Str("service", x.service.Name).Str("upstream", a.Upstream.ID).Msg("health: upstream announced that it leaves")
	}
	if ended.Assess {
		x.proxy.Notifier.Assess(x.service)
	}
	x.share(ctx, r.Kind, ended.Share, leaving)
	if r.Response != nil && r.Response.Closing {
		x.proxy.Notifier.Probe(x.service, a.Upstream)
	}
}

// share tells the other homes what cannot wait. After a crash the answer is held
// until they know, so that the caller cannot send the request to a home that has
// not heard of it yet.
func (x *exchange) share(ctx context.Context, kind upstream.Kind, crashed, leaving bool) {
	switch {
	case crashed && kind == upstream.Lost:
		x.proxy.Notifier.ShareNow(ctx, x.service)
	case crashed || leaving:
		x.proxy.Notifier.Share(x.service)
	}
}

// crashGrace is how long a new connection must stay open to show that the
// process lives. The system ends the connections of a crashed process before its
// listening socket, which takes connections until then; on a loaded host the
// two are tens of milliseconds apart.
const crashGrace = 50 * time.Millisecond

// dialRefused reports whether the upstream's host refuses connections, as it
// does when the process there has crashed.
func (x *exchange) dialRefused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: x.document.Timeouts.Connect}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		// A listening socket that is just being closed resets new connections.
		return errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(crashGrace))
	_, err = c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// afterAttempt returns the final answer, or nil to try another upstream.
func (x *exchange) afterAttempt(ctx context.Context, a *blackboard.Attempt, r upstream.Result) *Answer {
	if r.Kind == upstream.Success {
		return answered(r.Response, verdict.Ran, a.Upstream.ID)
	}
	if r.Kind == upstream.Canceled {
		return refused(x.failure(r, statusCallerGone))
	}
	d := x.service.DecideRetry(time.Now(), retry.Attempt{
		Verdict: r.Verdict, Idempotent: x.idempotent(), Attempts: x.sent, MaxAttempts: x.rule.Attempts, NotSent: notSent(r.Kind),
		EarlierMayHaveRun: x.sofar != verdict.NotRun, TimeLeft: time.Until(deadlineOf(ctx)),
	}, x.fingerprint)
	if x.proxy.LogDecisions {
		x.proxy.Log.Info().Str("request", x.in.ID).Str("service", x.service.Name).Str("upstream", a.Upstream.ID).
			Str("kind", r.Kind.String()).Stringer("verdict", r.Verdict).Bool("retry", d.Retry).Stringer("reason", d.Reason).
			AnErr("cause", r.Err).Msg("routing: attempt failed")
	}
	if d.Retry {
		return nil
	}
	if r.Kind == upstream.Failure && r.Response != nil {
		return answered(r.Response, verdict.Ran, a.Upstream.ID)
	}
	return refused(x.failure(r, statusOf(r.Kind)))
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
	return refused(e)
}

func (x *exchange) logChoice(a *blackboard.Attempt, choice routing.Choice) {
	if !x.proxy.LogDecisions {
		return
	}
	reason := choice.Reason.String()
	if x.alone {
		reason = "suspect-alone"
	}
	x.proxy.Log.Info().Str("request", x.in.ID).Str("service", x.service.Name).Str("upstream", a.Upstream.ID).
		Str("domain", a.Upstream.Domain).Str("reason", reason).Float64("load", choice.Load).Int("attempt", len(x.tried)+1).
		Msg("routing: sent to upstream")
}
