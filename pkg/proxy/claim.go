package proxy

import (
	"context"
	"time"

	"shallotglade/pkg/claims"
	"shallotglade/pkg/document"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// storeOutcomeTimeout limits how long the answer waits for the outcome of its claim
// to be stored.
const storeOutcomeTimeout = 2 * time.Second

// storedHeaders lists the answer headers that are stored with the claim.
var storedHeaders = map[string]bool{"Content-Type": true, "Location": true, "Etag": true}

func (x *exchange) key() claims.Key {
	return claims.Key{Service: x.service.Name, Caller: x.in.Caller, Key: x.in.Key}
}

// claim claims the request's idempotency key. It returns an answer if the request
// must not run.
func (x *exchange) claim(ctx context.Context) *Answer {
	x.claimAttempt = claims.Attempt{ID: claims.NewAttemptID(), Fingerprint: claims.FingerprintOf(x.in.Method, x.in.URI, x.in.Body)}
	result, err := x.proxy.Ledger.Claim(ctx, x.key(), x.claimAttempt)
	if err != nil {
		return x.claimFailed(err)
	}
	switch result.State {
	case claims.Won:
		x.claimed = true
		return nil
	case claims.Ran:
		return replayedAnswer(result.Response)
	case claims.Mismatch:
		return refusalAnswer(verdict.Refuse(422, "key-mismatch", "The Idempotency-Key belongs to a request with other content."))
	default:
		return refusalAnswer(&verdict.Error{
			Verdict: verdict.MayHaveRun, Status: 409, Reason: "key-unsettled",
			Detail: "A request with this Idempotency-Key is running or may have run.",
		})
	}
}

// claimFailed handles a keyed request whose claim could not be stored: depending on
// the document, it returns a refusal, or nil to run the request without a claim.
func (x *exchange) claimFailed(cause error) *Answer {
	if x.document.Requests.WhenPlatformAway == document.PlatformUnavailableRun {
		x.proxy.Log.Warn().Str("request", x.in.ID).Str("service", x.service.Name).Err(cause).Msg("claims: running without a claim, as the document allows")
		return nil
	}
	e := verdict.Refuse(503, "claim-unavailable", "The claim could not be stored, so this request was not run. Send it again with the same Idempotency-Key.")
	e.RetryAfter, e.Cause = shedRetryAfter, cause
	return refusalAnswer(e)
}

func replayedAnswer(r *claims.Response) *Answer {
	if r == nil {
		return refusalAnswer(&verdict.Error{
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

// storeOutcome stores the outcome of the claimed request.
func (x *exchange) storeOutcome(ctx context.Context, answer *Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeOutcomeTimeout)
	defer cancel()
	outcome := claims.Outcome{Verdict: answer.Verdict}
	if answer.Verdict == verdict.Ran && answer.Refusal == nil {
		outcome.Response = &claims.Response{Status: answer.Status, Body: answer.Body}
		for _, h := range answer.Headers {
			if storedHeaders[h.Name] {
				outcome.Response.Headers = append(outcome.Response.Headers, claims.Header{Name: h.Name, Value: h.Value})
			}
		}
	}
	if err := x.proxy.Ledger.RecordOutcome(ctx, x.key(), x.claimAttempt, outcome); err != nil {
		x.proxy.Log.Debug().Str("request", x.in.ID).Str("service", x.service.Name).Err(err).Msg("claims: outcome will be stored later")
	}
}
