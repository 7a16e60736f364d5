package proxy

import (
	"context"
	"net/http"
	"time"

	"shallotglade/pkg/document"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// Header names that callers and daemons exchange.
const (
	HeaderService  = "Shallotglade-Service"
	HeaderCaller   = "Shallotglade-Caller"
	HeaderKey      = "Idempotency-Key"
	HeaderReplayed = "Shallotglade-Replayed"
)

// Incoming is a caller's request, copied out of the HTTP library's memory.
type Incoming struct {
	// ID is unique to the request and is passed to upstreams.
	ID string
	// Caller is the account that the request counts against.
	Caller string
	// Service is the service that the request names; empty means that Host and
	// Path decide.
	Service string
	Method  string
	Host    string
	// URI is the path and query as the caller sent them, Path the path alone.
	URI     string
	Path    string
	Query   string
	Headers []upstream.Header
	Body    []byte
	// HasBody means that the request came with a body, which may be empty.
	HasBody bool
	// Turn waits until the earlier requests of the caller's connection have
	// been answered; nil means that there are none.
	Turn func(context.Context) error
	// Key is the Idempotency-Key, or empty.
	Key string
	// Arrived is when the request had arrived, Deadline when its answer is
	// due; a zero Deadline means that the document's time limit alone counts.
	Arrived  time.Time
	Deadline time.Time
	// Poison is what the daemon that passed the request on knows of crashes
	// while it ran, as an encoded poison.Summary.
	Poison []byte
	// Hops is how many daemons have passed the request on.
	Hops int

	// rule is the rule of the daemon that passed the request on.
	rule *document.Rule
	// route is the name of the request's rule, configuration the platform version
	// that it is from, or that had none for it, for logs.
	route         string
	configuration uint64
	// unrouted means that no route fits the request.
	unrouted bool
	// idempotent is whether the request may run more than once, by its route.
	idempotent bool
}

func (in *Incoming) fingerprint(service string) poison.Fingerprint {
	return poison.Of(poison.Request{
		Service: service, Method: in.Method, Path: in.Path, Query: in.Query, IdempotencyKey: in.Key, Body: in.Body,
	})
}

// Answer is what the caller gets: a whole answer of an upstream, or a refusal.
type Answer struct {
	Status  int
	Headers []upstream.Header
	Body    []byte
	Verdict verdict.Verdict
	// Upstream is the id of the upstream that answered, or empty.
	Upstream string
	// Replayed means that the answer was stored when an earlier request with
	// the same key ran.
	Replayed bool
	// Refusal is set when there is no answer of an upstream.
	Refusal *verdict.Error
	// Waited is the time spent in the queue and at upstreams.
	Waited time.Duration
}

// refused is the answer that states err. A status that promises that the request
// has not run is replaced where that is not known: callers that go by the status
// alone would take the promise for true.
func refused(err *verdict.Error) *Answer {
	if err.Verdict != verdict.NotRun && verdict.Promises(err.Status) {
		told := *err
		told.Status, told.RetryAfter = http.StatusBadGateway, 0
		err = &told
	}
	return &Answer{Status: err.Status, Verdict: err.Verdict, Refusal: err}
}

// after adds to a refusal what is known of the attempts before it. An answer of an
// upstream stands as it is.
func (a *Answer) after(earlier verdict.Verdict) *Answer {
	if a.Refusal == nil || earlier == verdict.NotRun {
		return a
	}
	err := *a.Refusal
	err.Verdict = verdict.Join(earlier, err.Verdict)
	joined := refused(&err)
	joined.Waited = a.Waited
	return joined
}

func answered(r *upstream.Response, v verdict.Verdict, id string) *Answer {
	return &Answer{Status: r.Status, Headers: r.Headers, Body: r.Body, Verdict: v, Upstream: id}
}
