package proxy

import (
	"context"
	"net/http"
	"time"

	"shallotglade/pkg/account"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// Names of HTTP headers exchanged between callers and daemons.
const (
	HeaderService  = "Shallotglade-Service"
	HeaderCaller   = "Shallotglade-Caller"
	HeaderKey      = "Idempotency-Key"
	HeaderReplayed = "Shallotglade-Replayed"
)

// Incoming is a caller's request, copied out of the HTTP library's memory.
type Incoming struct {
	// ID is the unique request ID, which upstreams also receive.
	ID string
	// Caller is the account that the request counts against.
	Caller string
	// Account is the account of the request's key; nil if the request needs none. At the home
	// of a forwarded request, Rate is the weight of the account, and Keys and Burst are empty.
	Account *account.Account
	// Service is the service named by the request; if empty, the request is
	// routed by Host and Path.
	Service string
	Method  string
	Host    string
	// URI is the path and query as the caller sent them; Path and Query are its
	// parts.
	URI     string
	Path    string
	Query   string
	Headers []upstream.Header
	Body    []byte
	// HasBody is true if the request has a body, which may be empty.
	HasBody bool
	// WaitForEarlierAnswers blocks until the earlier requests on the caller's
	// connection have been answered; nil means that there are none.
	WaitForEarlierAnswers func(context.Context) error
	// Key is the Idempotency-Key, or empty.
	Key string
	// Arrived is when the request was received, Deadline when its answer is
	// due. With a zero Deadline, only the route's timeout applies.
	Arrived  time.Time
	Deadline time.Time
	// Poison is an encoded poison.Summary: the crashes that the forwarding
	// daemon has seen while this request ran.
	Poison []byte
	// Hops counts the daemons that have forwarded the request.
	Hops int

	// remote is the address and port from which the caller sent the request.
	remote string
	// rule is the routing rule of the forwarding daemon.
	rule *document.Rule
	// route is the name of the matched rule. configurationVersion is the platform
	// version of the configuration that was consulted, even if no rule matched.
	// Both are used only in logs.
	route                string
	configurationVersion uint64
	// unrouted is true if no route matches the request.
	unrouted bool
	// bodyDiscarded is true if the body was not kept, because no route matched the header.
	bodyDiscarded bool
	// forwarderDrain tells when the daemon that forwarded the request stops. It is nil for a
	// request that was not forwarded.
	forwarderDrain *Drain
	// endsWithStop is true if the stop of this daemon is what limits the time of the request.
	endsWithStop bool
	// launched is the number of attempts that lost homes may have made.
	launched int
	// idempotent is true if the route allows the request to run more than once.
	idempotent bool
}

func (in *Incoming) fingerprint(service string) poison.Fingerprint {
	return poison.NewFingerprint(poison.Request{
		Service: service, Method: in.Method, Path: in.Path, Query: in.Query, IdempotencyKey: in.Key, Body: in.Body,
	})
}

// Answer is sent to the caller: either a complete upstream answer or a refusal.
type Answer struct {
	Status  int
	Headers []upstream.Header
	Body    []byte
	Verdict verdict.Verdict
	// Upstream is the id of the upstream that answered, or empty.
	Upstream string
	// LeavingIncarnation is the incarnation of Upstream if it announced in this answer
	// that it is leaving, or nil.
	LeavingIncarnation *uint64
	// Replayed is true if the answer was stored by an earlier request with the
	// same key.
	Replayed bool
	// Refusal is set if there is no upstream answer.
	Refusal *verdict.Error
	// Waited is the time spent in the queue and at upstreams.
	Waited time.Duration
}

// refusalAnswer returns the answer for err. If the request ran or may have run, a
// status that implies the opposite is replaced by 502, because some callers look
// only at the status.
func refusalAnswer(err *verdict.Error) *Answer {
	if err.Verdict != verdict.NotRun && verdict.StatusImpliesNotRun(err.Status) {
		corrected := *err
		corrected.Status, corrected.RetryAfter = http.StatusBadGateway, 0
		err = &corrected
	}
	return &Answer{Status: err.Status, Verdict: err.Verdict, Refusal: err}
}

// hasReason reports whether the answer is a refusal for the reason.
func (a *Answer) hasReason(reason string) bool {
	return a.Refusal != nil && a.Refusal.Reason == reason
}

// withEarlierVerdict combines the verdict of a refusal with that of earlier
// attempts. It returns an upstream answer unchanged.
func (a *Answer) withEarlierVerdict(earlier verdict.Verdict) *Answer {
	if a.Refusal == nil || earlier == verdict.NotRun {
		return a
	}
	err := *a.Refusal
	err.Verdict = verdict.Join(earlier, err.Verdict)
	joined := refusalAnswer(&err)
	joined.Waited = a.Waited
	return joined
}

func upstreamAnswer(r *upstream.Response, u blackboard.Upstream) *Answer {
	a := &Answer{Status: r.Status, Headers: r.Headers, Body: r.Body, Verdict: verdict.Ran, Upstream: u.ID}
	if r.Leaving {
		a.LeavingIncarnation = &u.Incarnation
	}
	return a
}
