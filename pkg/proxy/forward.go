package proxy

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"shallotglade/pkg/account"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// ForwardKind is the kind of message that forwards a request to a home.
const ForwardKind = "forward"

// maxHomesTried limits how many homes a request is offered to. Trying more would
// take longer than serving the request locally.
const maxHomesTried = 3

// forwardMargin is subtracted from the time left that the home is given, so that
// the home's verdict arrives before the local deadline.
const forwardMargin = 20 * time.Millisecond

// forwardToHome forwards the request to a home. done is false if this daemon must
// serve the request: either no home could be reached or all are stopping, or the home was
// lost and the request may be retried. In the last case, answer carries the lost home's
// verdict.
func (p *Proxy) forwardToHome(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming) (answer *Answer, done bool) {
	var lost *Answer
	var tried []string
	for len(tried) < maxHomesTried {
		home, found := p.nextHome(service.Name, tried)
		if !found {
			break
		}
		tried = append(tried, home.ID)
		answer, err := p.forward(ctx, rule, service, in, home)
		switch p.afterForward(answer, err, lost != nil || in.Account != nil) {
		case forwardAnswered:
			if lost != nil {
				answer = answer.withEarlierVerdict(lost.Verdict)
			}
			return answer, true
		case forwardLost:
			if lost != nil || !in.idempotent || p.Drain.isTooLate(func() time.Duration { return timeToFinish(ctx, rule, service) }) {
				return answer, true
			}
			lost = answer
			again := *in
			again.launched++
			in = &again
		}
	}
	if lost != nil {
		return p.decideAfterLostHome(ctx, rule, service, in, lost)
	}
	p.Metrics.Forwards.WithLabelValues("served-here").Inc()
	return nil, false
}

// nextHome returns the best home that is not among those tried. The homes are read again each
// time, because one that was lost may have been replaced.
func (p *Proxy) nextHome(service string, tried []string) (home Peer, found bool) {
	homes := p.Directory.Homes(service)
	i := slices.IndexFunc(homes, func(h Peer) bool { return !slices.Contains(tried, h.ID) })
	if i < 0 {
		return Peer{}, false
	}
	return homes[i], true
}

// forwardResult is what a forwarded request came to.
type forwardResult int

const (
	// forwardAnswered means that the answer is the caller's.
	forwardAnswered forwardResult = iota
	// forwardNotRun means that the request did not run and another home may take it.
	forwardNotRun
	// forwardLost means that the home ended before the request did, which may have run.
	forwardLost
)

// afterForward classifies the outcome of forward. newFields is true if the message has
// fields that builds before them refuse: that another home was lost before, or an account.
func (p *Proxy) afterForward(answer *Answer, err error, newFields bool) forwardResult {
	_, stoppingHere := p.Drain.stopTime()
	switch {
	case errors.Is(err, ErrNotSent):
		return forwardNotRun
	case err != nil:
		return forwardLost
	case newFields && answer.hasReason(reasonBadForward):
		return forwardNotRun
	case answer.hasReason(reasonNoMemory):
		return forwardNotRun
	case stoppingHere || !answer.hasReason(reasonStopping):
		return forwardAnswered
	case answer.Verdict == verdict.NotRun:
		return forwardNotRun
	default:
		return forwardLost
	}
}

// decideAfterLostHome decides what follows when a home did not answer an idempotent request
// and no other home could take it. It is served locally if the retry budget allows it.
func (p *Proxy) decideAfterLostHome(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, lost *Answer) (*Answer, bool) {
	return lost, !p.retryAfterLostHome(ctx, rule, service, in)
}

// retryAfterLostHome reports whether the retry budget allows this daemon to serve an
// idempotent request that lost homes may have sent to upstreams.
func (p *Proxy) retryAfterLostHome(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming) bool {
	return service.DecideRetry(time.Now(), retry.Attempt{
		Verdict: verdict.MayHaveRun, Idempotent: in.idempotent,
		Attempts: in.launched, MaxAttempts: rule.Attempts, EarlierMayHaveRun: true, TimeLeft: time.Until(deadlineOf(ctx)),
	}, in.fingerprint(service.Name)).Retry
}

// homeLostError returns the error for a request whose home did not answer.
func homeLostError(cause error) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.MayHaveRun, Status: 502, Reason: "home-lost",
		Detail: "The daemon that served the request did not answer.", Cause: cause,
	}
}

// forwardSuspect forwards a suspect to the only home that may run it. A home that stops counts
// as away: after its own refusal, the daemon that forwarded the suspect here would serve it.
func (p *Proxy) forwardSuspect(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, home string) *Answer {
	if peer, known := p.Directory.Home(service.Name, home); known && in.Hops < maxHops {
		answer, err := p.forward(ctx, rule, service, in, peer)
		stopping := err == nil && answer.hasReason(reasonStopping) && answer.Verdict == verdict.NotRun
		if !stopping && !errors.Is(err, ErrNotSent) {
			return answer
		}
	}
	e := verdict.Refuse(503, "suspect-home-away", "Upstreams crashed while this request ran, and the only daemon that may run it again cannot be reached.")
	e.RetryAfter = shedRetryAfter
	return refusalAnswer(e)
}

// forward forwards the request to one home. An error marked ErrNotSent means that
// the request was definitely not sent.
func (p *Proxy) forward(ctx context.Context, rule *document.Rule, service *blackboard.Service, in *Incoming, home Peer) (*Answer, error) {
	timeLeft := time.Until(deadlineOf(ctx)) - forwardMargin
	if timeLeft <= 0 {
		return nil, errors.Mark(errors.New("no time left to forward the request"), ErrNotSent)
	}
	forwarded := *in
	forwarded.Service, forwarded.Hops, forwarded.rule = service.Name, in.Hops+1, rule
	forwarded.Poison = service.PoisonSummary(time.Now(), in.fingerprint(service.Name))
	cancelAnnouncement := p.announceStop(home, in.ID)
	answer, err := p.Forwarder.Forward(ctx, home, &forwarded, timeLeft)
	cancelAnnouncement()
	result := "answered"
	switch {
	case errors.Is(err, ErrNotSent):
		result = "not-sent"
	case err != nil:
		result = "no-reply"
		answer = refusalAnswer(homeLostError(err))
	}
	if err == nil && answer.LeavingIncarnation != nil && service.MarkLeaving(time.Now(), answer.Upstream, *answer.LeavingIncarnation) {
		p.Log.Info().Str("service", service.Name).Str("upstream", answer.Upstream).Str("home", home.ID).
			Msg("health: upstream announced to a home that it is leaving")
	}
	p.Metrics.Forwards.WithLabelValues(result).Inc()
	if p.LogDecisions() {
		p.Log.Info().Str("request", in.ID).Str("service", service.Name).Str("home", home.ID).
			Str("domain", home.Domain).Str("result", result).AnErr("cause", err).Msg("routing: forwarded to home")
	}
	return answer, err
}

// forwardRequest and forwardAnswer are the bodies of a forward message and its
// reply.
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
	// TimeLeftMS is relative because an absolute deadline would depend on both
	// hosts' clocks.
	TimeLeftMS int64 `cbor:"12,keyasint"`
	Hops       int   `cbor:"13,keyasint"`
	// Poison is an encoded poison.Summary.
	Poison []byte `cbor:"14,keyasint,omitempty"`
	// Rule is the rule that the forwarding daemon applies. The home follows it, so
	// that a single configuration governs the request on both daemons.
	Rule forwardRule `cbor:"15,keyasint"`
	// HasBody is true if the request has a body, which may be empty.
	HasBody bool `cbor:"16,keyasint,omitempty"`
	// Launched is that of the Incoming.
	Launched int `cbor:"17,keyasint,omitempty"`
	// Account is the name of the account; empty if the request has none. AccountPriority is
	// its priority; nil if it has none. Weight is its weight in the fair queue. Builds that
	// do not know these fields refuse a message with them.
	Account         string  `cbor:"18,keyasint,omitempty"`
	AccountPriority *int    `cbor:"19,keyasint,omitempty"`
	Weight          float64 `cbor:"20,keyasint,omitempty"`
}

// setAccount sets the fields of the account. The key is not forwarded.
func (m *forwardRequest) setAccount(a *account.Account) {
	if a != nil {
		m.Account, m.AccountPriority, m.Weight = a.Name, a.Priority, a.Weight()
	}
}

// account returns the account as a home knows it, or nil if the request has none.
func (m *forwardRequest) account() (*account.Account, error) {
	if m.Account == "" {
		return nil, nil
	}
	a := &account.Account{Name: m.Account, Priority: m.AccountPriority, Rate: m.Weight}
	return a, a.Check()
}

// forwardRule is the part of a routing rule that a home applies.
type forwardRule struct {
	Name       string `cbor:"1,keyasint"`
	Idempotent bool   `cbor:"2,keyasint,omitempty"`
	Attempts   int    `cbor:"3,keyasint"`
	Priority   int    `cbor:"4,keyasint,omitempty"`
	// TimeToTargetMS is the time left until the target latency; it may be negative.
	TimeToTargetMS int64 `cbor:"5,keyasint,omitempty"`
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
	// LeavingIncarnation is that of the Answer.
	LeavingIncarnation *uint64 `cbor:"12,keyasint,omitempty"`
}

// forwardDecoder accepts text that is not UTF-8: header fields and paths may have any byte.
var forwardDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, DupMapKey: cbor.DupMapKeyEnforcedAPF, UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeForward returns the body of a forward message.
func EncodeForward(in *Incoming, timeLeft time.Duration) ([]byte, error) {
	m := forwardRequest{
		ID: in.ID, Caller: in.Caller, Service: in.Service, Method: in.Method, Host: in.Host, URI: in.URI, Path: in.Path,
		Query: in.Query, Headers: in.Headers, Body: in.Body, Key: in.Key, TimeLeftMS: timeLeft.Milliseconds(), Hops: in.Hops, Poison: in.Poison,
		HasBody: in.HasBody, Launched: in.launched,
	}
	if r := in.rule; r != nil {
		m.Rule = forwardRule{Name: r.Name, Idempotent: in.idempotent, Attempts: r.Attempts, Priority: r.Priority}
		if r.TargetLatency > 0 {
			m.Rule.TimeToTargetMS = (r.TargetLatency - time.Since(in.Arrived)).Milliseconds()
		}
	}
	m.setAccount(in.Account)
	return cbor.Marshal(m)
}

// DecodeForward decodes the body of a forward message received at the given time.
func DecodeForward(b []byte, arrived time.Time) (*Incoming, error) {
	var m forwardRequest
	if err := forwardDecoder.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "proxy: decode forwarded request")
	}
	if m.Hops < 1 || m.Hops > maxHops || m.TimeLeftMS < 0 || m.TimeLeftMS > math.MaxInt32 || m.Rule.Attempts < 0 || m.Launched < 0 || m.Launched > maxHomesTried {
		return nil, errors.New("proxy: forwarded request has a field out of range")
	}
	account, err := m.account()
	if err != nil {
		return nil, errors.Wrap(err, "proxy: account of a forwarded request")
	}
	timeLeft := time.Duration(m.TimeLeftMS) * time.Millisecond
	return &Incoming{
		Account: account,
		ID:      m.ID, Caller: m.Caller, Service: m.Service, Method: m.Method, Host: m.Host, URI: m.URI, Path: m.Path,
		Query: m.Query, Headers: m.Headers, Body: m.Body, Key: m.Key, Hops: m.Hops, Poison: m.Poison,
		Arrived: arrived, Deadline: arrived.Add(timeLeft), HasBody: m.HasBody, idempotent: m.Rule.Idempotent, launched: m.Launched,
		rule: &document.Rule{
			Name: m.Rule.Name, Timeout: timeLeft, TargetLatency: time.Duration(m.Rule.TimeToTargetMS) * time.Millisecond,
			Attempts: m.Rule.Attempts, Priority: m.Rule.Priority,
		},
	}, nil
}

// EncodeForwardAnswer returns the body of the reply to a forward message.
func EncodeForwardAnswer(a *Answer) ([]byte, error) {
	m := forwardAnswer{
		Status: a.Status, Headers: a.Headers, Body: a.Body, Verdict: a.Verdict.String(), Upstream: a.Upstream,
		Replayed: a.Replayed, WaitedUS: a.Waited.Microseconds(), LeavingIncarnation: a.LeavingIncarnation,
	}
	if a.Refusal != nil {
		m.Refused, m.Reason, m.Detail, m.RetryAfterMS = true, a.Refusal.Reason, a.Refusal.Detail, a.Refusal.RetryAfter.Milliseconds()
	}
	return cbor.Marshal(m)
}

// maxStatus is the largest status of an answer.
const maxStatus = 599

// DecodeForwardAnswer decodes the reply to a forward message.
func DecodeForwardAnswer(b []byte) (*Answer, error) {
	var m forwardAnswer
	if err := forwardDecoder.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "proxy: decode forwarded answer")
	}
	if m.Status < http.StatusOK || m.Status > maxStatus {
		return nil, errors.Newf("proxy: forwarded answer has the status %d", m.Status)
	}
	a := &Answer{
		Status: m.Status, Headers: m.Headers, Body: m.Body, Verdict: verdict.Parse(m.Verdict), Upstream: m.Upstream,
		Replayed: m.Replayed, Waited: time.Duration(m.WaitedUS) * time.Microsecond, LeavingIncarnation: m.LeavingIncarnation,
	}
	if m.Refused {
		refusal := refusalAnswer(&verdict.Error{
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
		return EncodeForwardAnswer(refusalAnswer(verdict.Refuse(400, reasonBadForward, "The forwarded request could not be read.")))
	}
	service, ok := p.Board.Service(in.Service)
	if !ok {
		return nil, errors.Wrapf(ErrUnknownService, "service %.64q", in.Service)
	}
	in.forwarderDrain = NewDrain()
	defer p.forwarded.add(in.ID, in.forwarderDrain)()
	return EncodeForwardAnswer(p.serveRule(ctx, in.rule, service, in))
}

// RefuseForward returns the reply to a forward message that this daemon has no memory for. It
// answers so that the daemon that forwarded the request does not take this one for unreachable.
func RefuseForward() ([]byte, error) {
	e := verdict.Refuse(503, reasonNoMemory, "A home of the service has no memory for the request.")
	e.RetryAfter = shedRetryAfter
	return EncodeForwardAnswer(refusalAnswer(e))
}

// reasonNoMemory is the reason of refusals of forwarded requests for which there is no memory.
const reasonNoMemory = "no-memory"

// reasonBadForward is the reason of refusals of forward messages that cannot be decoded.
const reasonBadForward = "bad-forward"

// ErrUnknownService means that a forwarded request definitely did not run, because
// this daemon does not know its service.
var ErrUnknownService = errors.New("proxy: the service is not known here")
