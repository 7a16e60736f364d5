package proxy

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// ForwardKind is the kind of the message that passes a request to a home.
const ForwardKind = "forward"

// forwardTries is how many homes a request is offered to. Further ones would
// cost a caller more time than serving the request right here.
const forwardTries = 3

// forwardMargin is how much earlier than here a forwarded request ends at the
// home, so that the home's own verdict arrives before the time is over.
const forwardMargin = 20 * time.Millisecond

// forwardToHome passes the request to a home. sent is false if this daemon serves
// the request itself: no home could be reached, or one was lost, and answer says
// what that one may have done.
func (p *Proxy) forwardToHome(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming) (answer *Answer, sent bool) {
	homes := p.Directory.Homes(service.Name)
	for _, home := range homes[:min(len(homes), forwardTries)] {
		answer, err := p.forward(ctx, rule, service, in, home)
		if err == nil {
			return answer, true
		}
		if !errors.Is(err, ErrNotSent) {
			return p.afterLostHome(ctx, rule, service, in, answer)
		}
	}
	p.Metrics.Forwards.WithLabelValues("served-here").Inc()
	return nil, false
}

// afterLostHome serves an idempotent request here after a home did not answer,
// as far as the retry budget allows; any other request may have run.
func (p *Proxy) afterLostHome(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, answer *Answer) (*Answer, bool) {
	d := service.DecideRetry(time.Now(), retry.Attempt{
		Verdict: verdict.MayHaveRun, Idempotent: in.idempotent,
		Attempts: 1, MaxAttempts: rule.Attempts, EarlierMayHaveRun: true, TimeLeft: time.Until(deadlineOf(ctx)),
	}, in.fingerprint(service.Name))
	return answer, !d.Retry
}

// forwardSuspect passes a suspect to the one home that may run it.
func (p *Proxy) forwardSuspect(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, home string) *Answer {
	homes := p.Directory.Homes(service.Name)
	i := slices.IndexFunc(homes, func(h Peer) bool { return h.ID == home })
	if i >= 0 && in.Hops < maxHops {
		if answer, err := p.forward(ctx, rule, service, in, homes[i]); !errors.Is(err, ErrNotSent) {
			return answer
		}
	}
	e := verdict.Refuse(503, "suspect-home-away", "Upstreams crashed while this request ran, and the only daemon that may run it again cannot be reached.")
	e.RetryAfter = shedRetryAfter
	return refused(e)
}

// forward passes the request to one home. An error of ErrNotSent means that it
// certainly did not arrive.
func (p *Proxy) forward(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, home Peer) (*Answer, error) {
	left := time.Until(deadlineOf(ctx)) - forwardMargin
	if left <= 0 {
		return nil, errors.Mark(errors.New("no time left for the way to the home"), ErrNotSent)
	}
	passed := *in
	passed.Service, passed.Hops, passed.rule = service.Name, in.Hops+1, rule
	passed.Poison = service.AboutPoison(time.Now(), in.fingerprint(service.Name))
	answer, err := p.Forwarder.Forward(ctx, home, &passed, left)
	result := "answered"
	switch {
	case errors.Is(err, ErrNotSent):
		result = "not-sent"
	case err != nil:
		result = "no-reply"
		answer = refused(&verdict.Error{
			Verdict: verdict.MayHaveRun, Status: 502, Reason: "home-lost",
			Detail: "The daemon that served the request did not answer.", Cause: err,
		})
	}
	p.Metrics.Forwards.WithLabelValues(result).Inc()
	if p.LogDecisions() {
		p.Log.Info().Str("request", in.ID).Str("service", service.Name).Str("home", home.ID).
			Str("domain", home.Domain).Str("result", result).AnErr("cause", err).Msg("routing: passed to home")
	}
	return answer, err
}

// forwardRequest and forwardAnswer are the bodies of the message.
type forwardRequest struct {
	ID      string            `cbor:"1,keyasint"`
	Caller  string            `cbor:"2,keyasint"`
	Service string            `cbor:"3,keyasint"`
	Method  string            `cbor:"4,keyasint"`
	Host    string            `cbor:"5,keyasint"`
	URI     string            `cbor:"6,keyasint"`
	Path    string            `cbor:"7,keyasint"`
	Query   string            `cbor:"8,keyasint"`
	Headers []upstream.Header `cbor:"9,keyasint"`
	Body    []byte            `cbor:"10,keyasint"`
	Key     string            `cbor:"11,keyasint"`
	// LeftMS is the time left in milliseconds; a time of day would depend on
	// both hosts' clocks.
	LeftMS int64 `cbor:"12,keyasint"`
	Hops   int   `cbor:"13,keyasint"`
	// Poison is an encoded poison.Summary.
	Poison []byte `cbor:"14,keyasint,omitempty"`
	// Rule is how the daemon that took the request treats it. The home follows
	// it, so that a request is treated by one configuration on its whole way.
	Rule forwardRule `cbor:"15,keyasint"`
	// HasBody means that the request came with a body, which may be empty.
	HasBody bool `cbor:"16,keyasint,omitempty"`
}

// forwardRule is the part of a rule that a home follows.
type forwardRule struct {
	Name       string `cbor:"1,keyasint"`
	Idempotent bool   `cbor:"2,keyasint,omitempty"`
	Attempts   int    `cbor:"3,keyasint"`
	Priority   int    `cbor:"4,keyasint,omitempty"`
	// TargetMS is the time left to the target latency; it may be negative.
	TargetMS int64 `cbor:"5,keyasint,omitempty"`
}

type forwardAnswer struct {
	Status       int               `cbor:"1,keyasint"`
	Headers      []upstream.Header `cbor:"2,keyasint"`
	Body         []byte            `cbor:"3,keyasint"`
	Verdict      string            `cbor:"4,keyasint"`
	Upstream     string            `cbor:"5,keyasint"`
	Replayed     bool              `cbor:"6,keyasint"`
	Refused      bool              `cbor:"7,keyasint"`
	Reason       string            `cbor:"8,keyasint"`
	Detail       string            `cbor:"9,keyasint"`
	RetryAfterMS int64             `cbor:"10,keyasint"`
	WaitedUS     int64             `cbor:"11,keyasint"`
}

var forwardDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeForward returns the body of a forward message.
func EncodeForward(in *Incoming, left time.Duration) ([]byte, error) {
	m := forwardRequest{
		ID: in.ID, Caller: in.Caller, Service: in.Service, Method: in.Method, Host: in.Host, URI: in.URI, Path: in.Path,
		Query: in.Query, Headers: in.Headers, Body: in.Body, Key: in.Key, LeftMS: left.Milliseconds(), Hops: in.Hops, Poison: in.Poison,
		HasBody: in.HasBody,
	}
	if r := in.rule; r != nil {
		m.Rule = forwardRule{Name: r.Name, Idempotent: in.idempotent, Attempts: r.Attempts, Priority: r.Priority}
		if r.Target > 0 {
			m.Rule.TargetMS = (r.Target - time.Since(in.Arrived)).Milliseconds()
		}
	}
	return cbor.Marshal(m)
}

// DecodeForward reads the body of a forward message that arrived at a time.
func DecodeForward(b []byte, arrived time.Time) (*Incoming, error) {
	var m forwardRequest
	if err := forwardDecoder.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "proxy: decode forwarded request")
	}
	if m.Hops < 1 || m.Hops > maxHops || m.LeftMS < 0 || m.LeftMS > math.MaxInt32 || m.Rule.Attempts < 0 {
		return nil, errors.New("proxy: forwarded request out of range")
	}
	left := time.Duration(m.LeftMS) * time.Millisecond
	return &Incoming{
		ID: m.ID, Caller: m.Caller, Service: m.Service, Method: m.Method, Host: m.Host, URI: m.URI, Path: m.Path,
		Query: m.Query, Headers: m.Headers, Body: m.Body, Key: m.Key, Hops: m.Hops, Poison: m.Poison,
		Arrived: arrived, Deadline: arrived.Add(left), HasBody: m.HasBody, idempotent: m.Rule.Idempotent,
		rule: &document.Rule{
			Name: m.Rule.Name, Timeout: left, Target: time.Duration(m.Rule.TargetMS) * time.Millisecond,
			Attempts: m.Rule.Attempts, Priority: m.Rule.Priority,
		},
	}, nil
}

// EncodeForwardAnswer returns the reply to a forward message.
func EncodeForwardAnswer(a *Answer) ([]byte, error) {
	m := forwardAnswer{
		Status: a.Status, Headers: a.Headers, Body: a.Body, Verdict: a.Verdict.String(), Upstream: a.Upstream,
		Replayed: a.Replayed, WaitedUS: a.Waited.Microseconds(),
	}
	if a.Refusal != nil {
		m.Refused, m.Reason, m.Detail, m.RetryAfterMS = true, a.Refusal.Reason, a.Refusal.Detail, a.Refusal.RetryAfter.Milliseconds()
	}
	return cbor.Marshal(m)
}

// DecodeForwardAnswer reads the reply to a forward message.
func DecodeForwardAnswer(b []byte) (*Answer, error) {
	var m forwardAnswer
	if err := forwardDecoder.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "proxy: decode forwarded answer")
	}
	a := &Answer{
		Status: m.Status, Headers: m.Headers, Body: m.Body, Verdict: verdict.Parse(m.Verdict), Upstream: m.Upstream,
		Replayed: m.Replayed, Waited: time.Duration(m.WaitedUS) * time.Microsecond,
	}
	if m.Refused {
		refusal := refused(&verdict.Error{
			Verdict: a.Verdict, Status: m.Status, Reason: m.Reason, Detail: m.Detail,
			RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		})
		refusal.Waited = a.Waited
		return refusal, nil
	}
	return a, nil
}

// HandleForward serves a forwarded request and returns the reply.
func (p *Proxy) HandleForward(ctx context.Context, body []byte) ([]byte, error) {
	in, err := DecodeForward(body, time.Now())
	if err != nil {
		return EncodeForwardAnswer(refused(verdict.Refuse(400, "bad-forward", "The forwarded request could not be read.")))
	}
	service, ok := p.Board.Service(in.Service)
	if !ok {
		return nil, errors.Wrapf(ErrUnknownHere, "service %.64q", in.Service)
	}
	return EncodeForwardAnswer(p.serve(ctx, in.rule, service, in))
}

// ErrUnknownHere means that a request that was passed on certainly did not run,
// since this daemon does not know its service.
var ErrUnknownHere = errors.New("proxy: the service is not known here")
