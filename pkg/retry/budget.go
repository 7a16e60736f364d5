package retry

import (
	"cmp"
	"math"
	"time"

	"shallotglade/pkg/verdict"
)

// Defaults of Policy.
const (
	// DefaultRatio is the number of retries allowed per request.
	DefaultRatio = 0.1
	// DefaultBurst is the maximum number of saved retries.
	DefaultBurst = 10
	// DefaultMaxAttempts limits the attempts of one request, including the first.
	DefaultMaxAttempts = 3
	// DefaultMinTimeLeft is about the duration of a request. With less time left, a
	// retry would occupy a slot without helping the caller.
	DefaultMinTimeLeft = 25 * time.Millisecond
)

// Policy limits the retries of a service.
type Policy struct {
	// Ratio is how many retries each request adds to the budget.
	Ratio float64
	// Burst is the maximum number of saved retries.
	Burst float64
	// Window selects a sliding-window budget: in every window of this length, retries
	// are limited to Ratio times the requests of the window plus Allowance. Zero
	// selects a token bucket with Ratio and Burst.
	Window time.Duration
	// Allowance is this home's share of the retries that every window allows
	// independent of its requests. An increase takes effect one window later, or
	// earlier to the extent that former homes have handed over their shares.
	Allowance float64
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts int
	// MinTimeLeft is the minimum time until the deadline for another attempt.
	MinTimeLeft time.Duration
}

// DefaultPolicy returns the policy of a service whose document sets none.
func DefaultPolicy() Policy {
	return Policy{
		Ratio: DefaultRatio, Burst: DefaultBurst,
		MaxAttempts: DefaultMaxAttempts, MinTimeLeft: DefaultMinTimeLeft,
	}
}

// Attempt describes an attempt that returned no usable response.
type Attempt struct {
	// Verdict is the verdict of this attempt, not of the whole request. Ran is
	// handled like MayHaveRun: only an idempotent request is retried.
	Verdict verdict.Verdict
	// Idempotent is true if running the request twice does no harm.
	Idempotent bool
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// MaxAttempts limits the attempts of the request, including the first; 0 means
	// that Policy.MaxAttempts applies.
	MaxAttempts int
	// EarlierMayHaveRun is true if an earlier attempt may have run.
	EarlierMayHaveRun bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// NotSent is true if no connection to the upstream could be opened. Such an
	// attempt put no load on any upstream, so another one is not counted against the
	// budget; the number of untried upstreams limits these attempts.
	NotSent bool
	// Suspect is true if the request was in flight during a crash, see pkg/poison.
	Suspect bool
}

// Reason is the reason of a Decision.
type Reason uint8

// Reasons for or against a retry.
const (
	// Idempotent means that the request is retried because it is idempotent.
	Idempotent Reason = iota
	// NotRun means that the request is retried because it certainly did not run.
	NotRun
	// MayHaveRun means that the request may have run and is not idempotent.
	MayHaveRun
	// Suspected means that the request may have crashed an upstream.
	Suspected
	// TooManyAttempts means that MaxAttempts is reached.
	TooManyAttempts
	// NoTime means that the deadline is too close.
	NoTime
	// NoBudget means that the service's retry budget is exhausted.
	NoBudget
)

var reasonNames = [...]string{
	Idempotent: "idempotent", NotRun: "not-run", MayHaveRun: "may-have-run", Suspected: "suspect",
	TooManyAttempts: "too-many-attempts", NoTime: "no-time", NoBudget: "no-budget",
}

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the result of Decide. If Retry is true, the request is sent to another
// upstream at once.
type Decision struct {
	Retry  bool
	Reason Reason
}

// Budget limits the retries of a service, in proportion to its requests.
type Budget struct {
	policy Policy
	tokens float64
	window window
	// allowance is the part of policy.Allowance in effect before fullAllowanceAt.
	// Before this daemon becomes a home, it is the allowance that former homes have
	// handed over. takenOverAt is the time of the latest hand-over.
	allowance   float64
	takenOverAt time.Time
	// fullAllowanceAt is when all of policy.Allowance takes effect: the retries of
	// the former homes are then outside the window.
	fullAllowanceAt time.Time
}

// NewBudget returns an empty budget: with an initial credit, the retries would exceed
// Ratio when many homes start at once. The full allowance of a sliding window is in
// effect at once.
func NewBudget(p Policy) *Budget {
	return &Budget{policy: p, window: window{length: p.Window}, allowance: p.Allowance}
}

// SetPolicy replaces the limits. Saved retries are kept up to the new burst.
func (b *Budget) SetPolicy(now time.Time, p Policy) {
	b.tokens = min(b.tokens, p.Burst)
	switch effective := b.effectiveAllowance(now); {
	case b.window.length != p.Window:
		b.window, b.allowance, b.fullAllowanceAt = window{length: p.Window}, 0, now.Add(p.Window)
	case p.Allowance > b.policy.Allowance:
		if b.policy.Allowance > 0 || now.Sub(b.takenOverAt) > p.Window {
			b.allowance = effective
		}
		b.fullAllowanceAt = now.Add(p.Window)
	case p.Allowance < b.policy.Allowance:
		b.allowance = min(effective, p.Allowance)
	}
	b.policy = p
}

// effectiveAllowance returns the part of the allowance that is in effect.
func (b *Budget) effectiveAllowance(now time.Time) float64 {
	if now.Before(b.fullAllowanceAt) {
		return min(b.allowance, b.policy.Allowance)
	}
	return b.policy.Allowance
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	if b.policy.Window > 0 {
		b.window.addRequest(now)
		return
	}
	b.tokens = min(b.policy.Burst, b.tokens+b.policy.Ratio)
}

// Available returns the number of retries that are allowed now.
func (b *Budget) Available(now time.Time) int {
	if b.policy.Window > 0 {
		return max(int(math.Floor(b.remaining(now)+roundingTolerance)), 0)
	}
	return int(b.tokens + roundingTolerance)
}

// scarceFraction is the fraction of the allowed retries below which the remaining ones
// are scarce.
const scarceFraction = 0.25

// NearlyExhausted reports whether few of the allowed retries remain.
func (b *Budget) NearlyExhausted(now time.Time) bool {
	if b.policy.Window > 0 {
		remaining := b.remaining(now)
		requests, _ := b.window.sums()
		return remaining < scarceFraction*(b.policy.Ratio*requests+b.effectiveAllowance(now))
	}
	return b.tokens < scarceFraction*b.policy.Burst
}

// remaining returns the number of retries that the sliding window allows now.
func (b *Budget) remaining(now time.Time) float64 {
	b.window.advance(now)
	return b.window.remaining(b.policy.Ratio, b.effectiveAllowance(now))
}

// spend records a retry.
func (b *Budget) spend(now time.Time) {
	if b.policy.Window > 0 {
		b.window.addRetry(now)
		return
	}
	b.tokens = max(0, b.tokens-1)
}

// roundingTolerance absorbs the floating-point error of adding 0.1 ten times.
const roundingTolerance = 1e-9

// Decide decides whether the request is retried. A retry is recorded at once.
func (b *Budget) Decide(now time.Time, a Attempt) Decision {
	notRun := a.Verdict == verdict.NotRun && !a.EarlierMayHaveRun
	switch {
	case a.Suspect:
		return Decision{Reason: Suspected}
	case !notRun && !a.Idempotent:
		return Decision{Reason: MayHaveRun}
	case a.TimeLeft < b.policy.MinTimeLeft:
		return Decision{Reason: NoTime}
	case a.NotSent:
		return Decision{Retry: true, Reason: NotRun}
	case a.Attempts >= cmp.Or(a.MaxAttempts, b.policy.MaxAttempts):
		return Decision{Reason: TooManyAttempts}
	case b.Available(now) < 1:
		return Decision{Reason: NoBudget}
	}
	b.spend(now)
	if notRun {
		return Decision{Retry: true, Reason: NotRun}
	}
	return Decision{Retry: true, Reason: Idempotent}
}
