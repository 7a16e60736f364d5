package proxy

import (
	"context"
	"time"

	"shallotglade/pkg/claims"
	"shallotglade/pkg/document"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// settleTimeout bounds how long a caller waits for its key to be released.
const settleTimeout = 2 * time.Second

// keptHeaders are the headers of an answer that are stored with its claim.
var keptHeaders = map[string]bool{"Content-Type": true, "Location": true, "Etag": true}

func (x *exchange) key() claims.Key {
	return claims.Key{Service: x.service.Name, Caller: x.in.Caller, Key: x.in.Key}
}

// claim wins the request's key, or returns the answer that the caller gets in
// place of a run.
func (x *exchange) claim(ctx context.Context) *Answer {
	x.attempt = claims.Attempt{ID: claims.NewAttemptID(), Fingerprint: claims.FingerprintOf(x.in.Method, x.in.URI, x.in.Body)}
	result, err := x.proxy.Ledger.Claim(ctx, x.key(), x.attempt)
	if err != nil {
		return x.unclaimed(err)
	}
	switch result.State {
	case claims.Won:
		x.claimed = true
		return nil
	case claims.Ran:
		return replay(result.Response)
	case claims.Mismatch:
		return refused(verdict.Refuse(422, "key-mismatch", "The Idempotency-Key belongs to a request with other content."))
	default:
		return refused(&verdict.Error{
			Verdict: verdict.MayHaveRun, Status: 409, Reason: "key-unsettled",
			Detail: "A request with this Idempotency-Key is running or may have run.",
		})
	}
}

// unclaimed is what happens to a keyed request whose claim could not be stored.
func (x *exchange) unclaimed(cause error) *Answer {
	if x.document.Requests.WhenPlatformAway == document.AwayRun {
		x.proxy.Log.Warn().Str("request", x.in.ID).Str("service", x.service.Name).Err(cause).Msg("claims: runs without a claim as the document says")
		return nil
	}
	e := verdict.Refuse(503, "claim-unavailable", "The claim could not be stored, so this request was not run. Send it again with the same Idempotency-Key.")
	e.RetryAfter, e.Cause = shedRetryAfter, cause
	return refused(e)
}

func replay(r *claims.Response) *Answer {
	if r == nil {
		return refused(&verdict.Error{
			Verdict: verdict.Ran, Status: 409, Reason: "already-ran",
			Detail: "A request with this Idempotency-Key ran; its answer was not kept.",
		})
	}
	a := &Answer{Status: r.Status, Body: r.Body, Verdict: verdict.Ran, Replayed: true}
	for _, h := range r.Headers {
		a.Headers = append(a.Headers, upstream.Header{Name: h.Name, Value: h.Value})
	}
	return a
}

// settle stores the outcome of the claimed request.
func (x *exchange) settle(ctx context.Context, answer *Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	outcome := claims.Outcome{Verdict: answer.Verdict}
	if answer.Verdict == verdict.Ran && answer.Refusal == nil {
		outcome.Response = &claims.Response{Status: answer.Status, Body: answer.Body}
		for _, h := range answer.Headers {
			if keptHeaders[h.Name] {
				outcome.Response.Headers = append(outcome.Response.Headers, claims.Header{Name: h.Name, Value: h.Value})
			}
		}
	}
	if err := x.proxy.Ledger.Settle(ctx, x.key(), x.attempt, outcome); err != nil {
		x.proxy.Log.Debug().Str("request", x.in.ID).Str("service", x.service.Name).Err(err).Msg("claims: outcome is stored later")
	}
}
