package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/claims"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/document"
	"shallotglade/pkg/limits"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// Peer identifies another daemon that is a home of a service.
type Peer struct {
	ID      string
	Address string
	Domain  string
}

// Directory looks up the homes of a service.
type Directory interface {
	// Homes returns the live homes other than this daemon, in order of preference.
	Homes(service string) []Peer
	// Home returns a home other than this daemon by its id, also one that Homes leaves
	// out because it is in another failure domain.
	Home(service, id string) (Peer, bool)
}

// Forwarder forwards a request to another daemon. An error marked ErrNotSent
// guarantees that the request had no effect.
type Forwarder interface {
	Forward(ctx context.Context, to Peer, in *Incoming, timeLeft time.Duration) (*Answer, error)
	// AnnounceStop tells the home of a forwarded request how much time is left until this
	// daemon stops.
	AnnounceStop(ctx context.Context, to Peer, requestID string, timeLeft time.Duration) error
}

// ErrNotSent marks errors of a Forwarder whose request was definitely not sent.
var ErrNotSent = errors.New("proxy: the request was not sent to the peer")

// Notifier notifies the health controller of events that should not wait for
// its next round.
type Notifier interface {
	// Assess requests a new assessment of the service's upstreams.
	Assess(service *blackboard.Service)
	// LoadChanged reports that an attempt began or ended. The other homes are
	// notified after a short delay.
	LoadChanged(service *blackboard.Service)
	// ShareReport requests that this home's report be sent to the other homes.
	ShareReport(service *blackboard.Service)
	// ShareReportNow sends the report and waits, with a short timeout, until the
	// other homes have received it.
	ShareReportNow(ctx context.Context, service *blackboard.Service)
	// Probe requests an immediate probe of an upstream.
	Probe(service *blackboard.Service, upstream blackboard.Upstream)
}

// Proxy serves requests for one daemon. All fields but Drain, Freshness and Allowances are
// required.
type Proxy struct {
	// Dialect holds the header names of callers and upstreams.
	Dialect   *dialect.Dialect
	Board     *blackboard.Board
	Sender    upstream.Sender
	Ledger    claims.Ledger
	Directory Directory
	Forwarder Forwarder
	Notifier  Notifier
	Log       zerolog.Logger
	Metrics   *telemetry.Metrics
	// LogDecisions reports whether to log each routing decision.
	LogDecisions func() bool
	// Drain tells when the daemon stops.
	Drain *Drain
	// Freshness and Allowances are nil if they are not checked.
	Freshness  Freshness
	Allowances Allowances

	forwarded forwardedDrains
}

// maxHops limits how often a request is forwarded between daemons. A suspect (a
// request suspected of crashing upstreams) may need a second hop, from a home to
// the only home that runs it.
const maxHops = 2

// Serve routes a request and returns its answer, which is never nil.
func (p *Proxy) Serve(ctx context.Context, in *Incoming) *Answer {
	configured := p.Board.Configured()
	id, refusal := p.authorize(ctx, in, configured)
	route := id.route
	in.configurationVersion, in.unrouted = route.Version, !id.routed
	if id.routed {
		in.route = route.Name
	}
	if refusal != nil {
		return p.finish(in, "", refusalAnswer(refusal))
	}
	service, ok := route.ServiceFor(id.accountName())
	if !ok {
		in.unrouted = true
		return p.finish(in, "", refusalAnswer(routeNotFound(configured)))
	}
	if in.bodyDiscarded {
		e := verdict.Refuse(503, "route-added", "The route was added while the body of the request arrived.")
		e.RetryAfter = shedRetryAfter
		return p.finish(in, service.Name, refusalAnswer(e))
	}
	if route.ConcealsKeys {
		p.setAccount(in, id.account)
	}
	in.idempotent = route.Idempotent(service.Document(), in.Method, in.Path)
	settle, refusal := p.admitAllowance(ctx, route.Rule, in)
	if refusal != nil {
		return p.finish(in, service.Name, refusalAnswer(refusal))
	}
	answer := p.serveRule(ctx, route.Rule, service, in)
	settle(answer.Verdict)
	return answer
}

// serveRule serves a request under the given routing rule.
func (p *Proxy) serveRule(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming) *Answer {
	p.Metrics.InFlight.Inc()
	defer p.Metrics.InFlight.Dec()
	d := service.Document()
	in.route = rule.Name
	if err := checkRequest(d, in); err != nil {
		return p.finish(in, service.Name, refusalAnswer(err))
	}
	ctx, cancel := p.requestContext(ctx, rule, in)
	defer cancel()
	if p.Drain.refuses(in) || p.Drain.isTooLate(func() time.Duration { return timeToFinish(ctx, rule, service) }) {
		return p.finish(in, service.Name, refusalAnswer(stoppingError(verdict.NotRun)))
	}
	if err := p.waitForEarlierAnswers(ctx, in); err != nil {
		return p.finish(in, service.Name, refusalAnswer(err))
	}
	answer := p.serveOrForward(ctx, rule, service, in)
	if answer.Status != statusCallerGone {
		service.RecordRequest(time.Now(), answer.Status < minFailureStatus)
	}
	return p.finish(in, service.Name, answer)
}

// routeNotFound returns the error for a request that matches no route. A daemon
// without any configuration cannot conclude that the route does not exist, so it
// answers 503 instead of 404.
func routeNotFound(configured bool) *verdict.Error {
	if configured {
		return verdict.Refuse(404, "unknown-service", "No service has this name or route.")
	}
	e := verdict.Refuse(503, "no-configuration", "The daemon has not learned any route yet.")
	e.RetryAfter = shedRetryAfter
	return e
}

// requestContext limits a request to the earliest of its route's timeout, its own
// deadline, and the time at which a stopping daemon stops.
func (p *Proxy) requestContext(ctx context.Context, rule *document.Rule, in *Incoming) (context.Context, context.CancelFunc) {
	deadline := requestDeadline(rule, in)
	if stopAt, stopping := p.Drain.stopTime(); stopping && stopAt.Before(deadline) {
		deadline, in.endsWithStop = stopAt, true
	}
	return context.WithDeadline(ctx, deadline)
}

// requestDeadline returns the earlier of the route's timeout and the request's own deadline.
func requestDeadline(rule *document.Rule, in *Incoming) time.Time {
	deadline := in.Arrived.Add(rule.Timeout)
	if !in.Deadline.IsZero() && in.Deadline.Before(deadline) {
		deadline = in.Deadline
	}
	return deadline
}

// waitForEarlierAnswers delays a non-idempotent request until the earlier requests on its
// connection have been answered. If one of those closes the connection, the
// caller assumes that the later ones were not read and sends them again.
func (p *Proxy) waitForEarlierAnswers(ctx context.Context, in *Incoming) *verdict.Error {
	if in.idempotent || in.WaitForEarlierAnswers == nil {
		return nil
	}
	if err := in.WaitForEarlierAnswers(ctx); err != nil {
		e := verdict.Refuse(statusCallerGone, "connection-ended", "The connection ended before the turn of this request.")
		e.Cause = err
		return e
	}
	return nil
}

// statusCallerGone is the common non-standard status for a request whose caller
// disconnected. It is logged but reaches no caller.
const statusCallerGone = 499

const (
	maxKeyBytes    = 255
	maxCallerBytes = 128
)

func checkRequest(d *document.Service, in *Incoming) *verdict.Error {
	switch {
	case len(in.Body) > d.Requests.MaxBodyBytes:
		return verdict.Refuse(413, "body-too-large", fmt.Sprintf("The service takes bodies of at most %d bytes.", d.Requests.MaxBodyBytes))
	case !isToken(in.Caller, maxCallerBytes):
		return verdict.Refuse(400, "bad-caller", "Shallotglade-Caller must be 1 to 128 visible ASCII characters.")
	case d.Requests.Key == document.KeyNone:
	case in.Key != "" && !isToken(in.Key, maxKeyBytes):
		return verdict.Refuse(400, "bad-key", "Idempotency-Key must be at most 255 visible ASCII characters.")
	case in.Key == "" && d.Requests.Key == document.KeyRequired && !in.idempotent:
		return verdict.Refuse(400, "key-required", "This request needs an Idempotency-Key header.")
	}
	return nil
}

func isToken(s string, limit int) bool {
	if len(s) == 0 || len(s) > limit {
		return false
	}
	for i := range len(s) {
		if s[i] < '!' || s[i] > '~' {
			return false
		}
	}
	return true
}

// serveOrForward serves the request locally or forwards it to a home.
func (p *Proxy) serveOrForward(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming) *Answer {
	if in.Hops == 0 && (!service.IsHome() || !service.Reachable()) {
		answer, done := p.forwardToHome(ctx, rule, service, in)
		if done {
			return answer
		}
		if answer != nil {
			again := *in
			again.launched++
			return p.serveLocally(ctx, rule, service, &again).withEarlierVerdict(answer.Verdict)
		}
	}
	if in.launched > 0 && !p.retryAfterLostHome(ctx, rule, service, in) {
		return refusalAnswer(homeLostError(nil))
	}
	return p.serveLocally(ctx, rule, service, in)
}

// serveLocally admits the request and sends it to an upstream.
func (p *Proxy) serveLocally(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming) *Answer {
	fingerprint := in.fingerprint(service.Name)
	if len(in.Poison) > 0 {
		service.MergePoison(time.Now(), in.Poison)
	}
	suspected, answer := p.screenSuspect(ctx, rule, service, in, fingerprint)
	if answer != nil {
		return answer
	}
	start := time.Now()
	needed := func() time.Duration { return timeToFinish(ctx, rule, service) }
	startCtx, release := p.Drain.limitStart(ctx, needed)
	defer release()
	startCtx, releaseForwarder := in.forwarderDrain.limitStart(startCtx, needed)
	defer releaseForwarder()
	permit, err := service.Gate.Acquire(startCtx, limits.Request{
		Caller: in.Caller, Deadline: deadlineOf(ctx), Target: targetTime(rule, in), ReserveAfter: preferHealthyUntil(service, rule, in),
		ExpectedDuration: usualDuration(ctx, rule, service), AccountPriority: in.accountPriority(rule), Priority: rule.Priority, Weight: in.weight(),
	})
	if err != nil {
		if isStopping(startCtx) {
			err = stoppingError(verdict.NotRun)
		}
		return refusalAnswer(asVerdict(err))
	}
	defer permit.Release()
	x := &exchange{proxy: p, startCtx: startCtx, service: service, rule: rule, document: service.Document(), in: in, fingerprint: fingerprint, suspected: suspected, launched: in.launched}
	answer = x.run(ctx)
	answer.Waited += time.Since(start) - x.selectionTime
	return answer
}

// usualDuration returns the median latency of the route, or an estimate.
func usualDuration(ctx context.Context, rule *document.Rule, service *blackboard.Service) time.Duration {
	if median, _ := service.Latency(rule.Name); median > 0 {
		return median
	}
	return estimateDuration(service, time.Until(deadlineOf(ctx)))
}

// estimateDuration estimates the duration of a request on a route without
// measured latency: the service's average, but at most half of the time left.
// Without that limit, a new route with a short timeout would never be tried.
func estimateDuration(service *blackboard.Service, timeLeft time.Duration) time.Duration {
	return max(min(service.Gate.Stats().ServiceTime, timeLeft/2), 1)
}

// targetTime returns when the request reaches its target latency, or zero if its
// rule has no target.
func targetTime(rule *document.Rule, in *Incoming) time.Time {
	if rule.TargetLatency == 0 {
		return time.Time{}
	}
	return in.Arrived.Add(rule.TargetLatency)
}

// healthyWaitShare applies to requests without a target latency before their
// deadline. It is the fraction of their slack (time limit minus median latency) that
// they may spend waiting for an upstream that is unlikely to fail.
const healthyWaitShare = 0.25

// preferHealthyUntil returns the time until which a request waits for an upstream
// that is unlikely to fail: as long as it can still meet its target latency.
func preferHealthyUntil(service *blackboard.Service, rule *document.Rule, in *Incoming) time.Time {
	median, _ := service.Latency(rule.Name)
	limit := rule.Timeout
	if !in.Deadline.IsZero() {
		limit = min(limit, in.Deadline.Sub(in.Arrived))
	}
	if rule.TargetLatency == 0 || rule.TargetLatency >= limit {
		return in.Arrived.Add(time.Duration(healthyWaitShare * float64(limit-median)))
	}
	return in.Arrived.Add(rule.TargetLatency - median)
}

// suspectPollInterval is how often a waiting suspect checks whether the running
// copy has ended.
const suspectPollInterval = 10 * time.Millisecond

// screenSuspect decides how to treat a request that may crash upstreams. The bool
// is true if the request must run alone on an upstream. The answer is non-nil if
// the request does not run on this daemon.
func (p *Proxy) screenSuspect(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, fingerprint poison.Fingerprint) (bool, *Answer) {
	for {
		d := service.CheckPoison(time.Now(), fingerprint)
		switch d.Action {
		case poison.Run:
			return false, nil
		case poison.RunAlone:
			return true, nil
		case poison.Forward:
			return false, p.forwardSuspect(ctx, rule, service, in, d.Home)
		case poison.Refuse:
			err := verdict.Refuse(d.Status, d.Reason, "Upstreams crashed while this request ran.")
			err.RetryAfter = d.RetryAfter
			return false, refusalAnswer(err)
		case poison.Wait:
			if !sleep.For(ctx, suspectPollInterval) {
				return false, refusalAnswer(verdict.Refuse(503, "suspect-waits", "A copy of this request is running; no time is left to wait for it."))
			}
		}
	}
}

func deadlineOf(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}

// asVerdict returns the verdict.Error wrapped in err. Any other error is reported
// as "may have run", which is always safe.
func asVerdict(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: 500, Reason: "internal", Detail: "The daemon failed.", Cause: err}
}
