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

// Peer is another daemon that is a home of a service.
type Peer struct {
	ID      string
	Address string
	Domain  string
}

// Directory names the homes of a service.
type Directory interface {
	// Homes returns the live homes other than this daemon, the best first.
	Homes(service string) []Peer
}

// Forwarder passes a request to another daemon. An error of ErrNotSent
// certainly had no effect.
type Forwarder interface {
	Forward(ctx context.Context, to Peer, in *Incoming, left time.Duration) (*Answer, error)
}

// ErrNotSent marks errors of a Forwarder whose request certainly did not leave.
var ErrNotSent = errors.New("proxy: the request was not sent to the peer")

// Notifier tells the health controller that something happened which should not
// wait for its next round.
type Notifier interface {
	// Assess asks for a new assessment of the service's upstreams.
	Assess(service *blackboard.Service)
	// Changed tells that an attempt began or ended; the other homes are told
	// within a short time.
	Changed(service *blackboard.Service)
	// Share asks for this home's report to be sent to the other homes.
	Share(service *blackboard.Service)
	// ShareNow sends the report and waits until the other homes have it, for a
	// short time at most.
	ShareNow(ctx context.Context, service *blackboard.Service)
	// Probe asks for a probe of an upstream now.
	Probe(service *blackboard.Service, upstream blackboard.Upstream)
}

// Proxy is the request path of one daemon. All fields are required.
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
	// LogDecisions tells whether each routing decision gets a line.
	LogDecisions func() bool
}

// maxHops is how often daemons may pass a request on. A suspect may need a
// second hop, from a home to the one home that runs it.
const maxHops = 2

// Serve brings back the answer to a request. It never returns nil.
func (p *Proxy) Serve(ctx context.Context, in *Incoming) *Answer {
	configured := p.Board.Configured()
	route, service, ok := p.Board.Route(in.Service, in.Host, in.Path)
	in.configuration = route.Version
	if !ok {
		in.unrouted = true
		return p.finish(in, "", refused(noRoute(configured)))
	}
	in.idempotent = route.Idempotent(service.Document(), in.Method, in.Path)
	return p.serve(ctx, route.Rule, service, in)
}

// serve brings back the answer to a request of a rule.
func (p *Proxy) serve(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming) *Answer {
	p.Metrics.InFlight.Inc()
	defer p.Metrics.InFlight.Dec()
	d := service.Document()
	in.route = rule.Name
	if err := checkRequest(d, in); err != nil {
		return p.finish(in, service.Name, refused(err))
	}
	ctx, cancel := requestContext(ctx, rule, in)
	defer cancel()
	if err := p.awaitTurn(ctx, in); err != nil {
		return p.finish(in, service.Name, refused(err))
	}
	answer := p.route(ctx, rule, service, in)
	if answer.Status != statusCallerGone {
		service.Ended(time.Now(), answer.Status < failedStatus)
	}
	return p.finish(in, service.Name, answer)
}

// noRoute is the answer to a request that fits no route. A daemon that knows no
// routes at all cannot say that the caller's is wrong.
func noRoute(configured bool) *verdict.Error {
	if configured {
		return verdict.Refuse(404, "unknown-service", "No service has this name or route.")
	}
	e := verdict.Refuse(503, "no-configuration", "The daemon has not learned any route yet.")
	e.RetryAfter = shedRetryAfter
	return e
}

// requestContext bounds a request by the time limit of its route and its own
// deadline.
func requestContext(ctx context.Context, rule *document.Rule, in *Incoming) (context.Context, context.CancelFunc) {
	deadline := in.Arrived.Add(rule.Timeout)
	if !in.Deadline.IsZero() && in.Deadline.Before(deadline) {
		deadline = in.Deadline
	}
	return context.WithDeadline(ctx, deadline)
}

// awaitTurn holds a request that is not idempotent until the earlier ones of
// its connection have been answered: if one of them ends the connection, the
// caller takes those behind it for unread and sends them again.
func (p *Proxy) awaitTurn(ctx context.Context, in *Incoming) *verdict.Error {
	if in.idempotent || in.Turn == nil {
		return nil
	}
	if err := in.Turn(ctx); err != nil {
		e := verdict.Refuse(statusCallerGone, "connection-ended", "The connection ended before the turn of this request.")
		e.Cause = err
		return e
	}
	return nil
}

// statusCallerGone is the usual non-standard status of a request whose caller
// left; it is logged and reaches nobody.
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

// route serves the request here or passes it to a home.
func (p *Proxy) route(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming) *Answer {
	if in.Hops == 0 && (!service.IsHome() || !service.Reachable()) {
		answer, sent := p.forwardToHome(ctx, rule, service, in)
		if sent {
			return answer
		}
		if answer != nil {
			return p.serveHere(ctx, rule, service, in, 1).after(answer.Verdict)
		}
	}
	return p.serveHere(ctx, rule, service, in, 0)
}

// serveHere admits the request and sends it to upstreams of this daemon. launched
// counts the attempts that a lost home may have made.
func (p *Proxy) serveHere(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, launched int) *Answer {
	fp := in.fingerprint(service.Name)
	if len(in.Poison) > 0 {
		service.MergePoison(time.Now(), in.Poison)
	}
	alone, answer := p.screen(ctx, rule, service, in, fp)
	if answer != nil {
		return answer
	}
	start := time.Now()
	takes, _ := service.Latency(rule.Name)
	if takes == 0 {
		takes = unknownTakes(service, time.Until(deadlineOf(ctx)))
	}
	permit, err := service.Gate.Acquire(ctx, limits.Request{
		Caller: in.Caller, Deadline: deadlineOf(ctx), Target: targetOf(rule, in), Settle: settleOf(service, rule, in),
		Takes: takes, Priority: rule.Priority,
	})
	if err != nil {
		return refused(asVerdict(err))
	}
	defer permit.Release()
	x := &exchange{proxy: p, service: service, rule: rule, document: service.Document(), in: in, fingerprint: fp, alone: alone, launched: launched}
	answer = x.run(ctx)
	answer.Waited += time.Since(start) - x.own
	return answer
}

// unknownTakes is how long a request of a route without answers so far is
// expected to take: as long as others of the service, but no more than half of
// its time, or a new route with a short time limit would never be tried.
func unknownTakes(service *blackboard.Service, left time.Duration) time.Duration {
	return max(min(service.Gate.Stats().ServiceTime, left/2), 1)
}

// targetOf is when the answer to a request earns most, zero without a target.
func targetOf(rule *document.Rule, in *Incoming) time.Time {
	if rule.Target == 0 {
		return time.Time{}
	}
	return in.Arrived.Add(rule.Target)
}

// waitShare is the part of the time until its latest start for which a request
// without a target latency before its deadline waits for a better upstream.
const waitShare = 0.25

// settleOf is until when a request waits for an upstream that probably serves it:
// as long as it can still be answered within its target latency.
func settleOf(service *blackboard.Service, rule *document.Rule, in *Incoming) time.Time {
	median, _ := service.Latency(rule.Name)
	limit := rule.Timeout
	if !in.Deadline.IsZero() {
		limit = min(limit, in.Deadline.Sub(in.Arrived))
	}
	if rule.Target == 0 || rule.Target >= limit {
		return in.Arrived.Add(time.Duration(waitShare * float64(limit-median)))
	}
	return in.Arrived.Add(rule.Target - median)
}

// suspectPoll is how often a suspect checks whether the copy before it ended.
const suspectPoll = 10 * time.Millisecond

// screen holds back requests that are suspected of crashing upstreams. It
// returns an answer if the request does not run here.
func (p *Proxy) screen(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, fp poison.Fingerprint) (bool, *Answer) {
	for {
		d := service.CheckPoison(time.Now(), fp)
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
			return false, refused(err)
		case poison.Wait:
			if !sleep.For(ctx, suspectPoll) {
				return false, refused(verdict.Refuse(503, "suspect-waits", "A copy of this request is running; no time is left to wait for it."))
			}
		}
	}
}

func deadlineOf(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}

// asVerdict returns the verdict.Error behind err. An error without one is told
// as "may have run", which is never false.
func asVerdict(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: 500, Reason: "internal", Detail: "The daemon failed.", Cause: err}
}
