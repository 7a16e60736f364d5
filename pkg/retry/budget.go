package retry

import (
	"cmp"
	"math"
	"time"

	"shallotglade/pkg/verdict"
)

// Defaults of Policy.
const (
	// DefaultRatio is the retries allowed per request.
	DefaultRatio = 0.1
	// DefaultBurst is the most retries saved up.
	DefaultBurst = 10
	// DefaultMaxAttempts limits the attempts of one request, first included.
	DefaultMaxAttempts = 3
	// DefaultMinTimeLeft is about what a request takes; with less time left a
	// retry would occupy a slot without helping the caller.
	DefaultMinTimeLeft = 25 * time.Millisecond
)

// Policy limits the retries of a service.
type Policy struct {
	// Ratio is how many retries each request pays for.
	Ratio float64
	// Burst is the most retries that may be saved up.
	Burst float64
	// Window makes the budget one of a sliding span instead of saved-up
	// retries: in every span of this length at most Ratio times its requests
	// plus Allowance are retries. 0 means saved-up retries.
	Window time.Duration
	// Allowance is this home's part of the retries that a span allows besides. A
	// larger part than before is in force only a span later, or as far as the
	// homes before have handed theirs over.
	Allowance float64
	// MaxAttempts limits the attempts of one request, the first included.
	MaxAttempts int
	// MinTimeLeft is the least time before the deadline for another attempt.
	MinTimeLeft time.Duration
}

// DefaultPolicy returns the policy of a service whose document has none.
func DefaultPolicy() Policy {
	return Policy{
		Ratio: DefaultRatio, Burst: DefaultBurst,
		MaxAttempts: DefaultMaxAttempts, MinTimeLeft: DefaultMinTimeLeft,
	}
}

// Attempt is an attempt that brought no usable response.
type Attempt struct {
	// Verdict is that of the attempt, not of the whole request. Ran counts as
	// MayHaveRun: only an idempotent request is sent again.
	Verdict verdict.Verdict
	// Idempotent is whether running the request twice does no harm.
	Idempotent bool
	// Attempts is how many were sent so far, this one included.
	Attempts int
	// MaxAttempts limits the attempts of the request, the first included; 0
	// means that the policy does.
	MaxAttempts int
	// EarlierMayHaveRun is whether an earlier attempt may have run.
	EarlierMayHaveRun bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// NotSent is whether no connection to the upstream could be opened. Such an
	// attempt put no load on any upstream, so that another one costs nothing
	// and is not counted; the upstreams left to try bound them.
	NotSent bool
	// Suspect is whether the request was in flight at a crash, see pkg/poison.
	Suspect bool
}

// Reason says why an attempt is repeated or not.
type Reason uint8

// Reasons of a decision.
const (
	// Idempotent means that the request is sent again, as it is idempotent.
	Idempotent Reason = iota
	// NotRun means that the request is sent again, as it certainly did not run.
	NotRun
	// MayHaveRun means that the request may have run and is not idempotent.
	MayHaveRun
	// Suspected means that the request may have crashed an upstream.
	Suspected
	// TooManyAttempts means that MaxAttempts is reached.
	TooManyAttempts
	// NoTime means that the deadline is too near.
	NoTime
	// NoBudget means that the service's retry budget is spent.
	NoBudget
)

var reasonNames = [...]string{
	Idempotent: "idempotent", NotRun: "not-run", MayHaveRun: "may-have-run", Suspected: "suspect",
	TooManyAttempts: "too-many-attempts", NoTime: "no-time", NoBudget: "no-budget",
}

// String returns the form used in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision says whether the request is sent to another upstream at once.
type Decision struct {
	Retry  bool
	Reason Reason
}

// Budget holds the retries that a service's requests have paid for.
type Budget struct {
	policy Policy
	tokens float64
	window window
	// allowance is what was granted so far of policy.Allowance, or was handed over
	// to this daemon before it became a home, at takenAt.
	allowance float64
	takenAt   time.Time
	// fullAt is when the whole of policy.Allowance is granted: what the homes before
	// have spent is then outside the span.
	fullAt time.Time
}

// NewBudget returns an empty budget: an initial credit would allow more than
// Ratio at a home that has just started, when many homes start at once. The
// allowance of a span is in force.
func NewBudget(p Policy) *Budget {
	return &Budget{policy: p, window: window{span: p.Window}, allowance: p.Allowance}
}

// SetPolicy changes the limits; what was saved stays up to the new burst.
func (b *Budget) SetPolicy(now time.Time, p Policy) {
	b.tokens = min(b.tokens, p.Burst)
	switch before := b.granted(now); {
	case b.window.span != p.Window:
		b.window, b.allowance, b.fullAt = window{span: p.Window}, 0, now.Add(p.Window)
	case p.Allowance > b.policy.Allowance:
		if b.policy.Allowance > 0 || now.Sub(b.takenAt) > p.Window {
			b.allowance = before
		}
		b.fullAt = now.Add(p.Window)
	case p.Allowance < b.policy.Allowance:
		b.allowance = min(before, p.Allowance)
	}
	b.policy = p
}

// granted is the part of the allowance that is in force.
func (b *Budget) granted(now time.Time) float64 {
	if now.Before(b.fullAt) {
		return min(b.allowance, b.policy.Allowance)
	}
	return b.policy.Allowance
}

// Request counts the first dispatch of a request.
func (b *Budget) Request(now time.Time) {
	if b.policy.Window > 0 {
		b.window.addRequest(now)
		return
	}
	b.tokens = min(b.policy.Burst, b.tokens+b.policy.Ratio)
}

// Available is the number of retries that may be made now.
func (b *Budget) Available(now time.Time) int {
	if b.policy.Window > 0 {
		return max(int(math.Floor(b.left(now)+rounding)), 0)
	}
	return int(b.tokens + rounding)
}

// scarcePart is the part of a span's retries below which those left are scarce.
const scarcePart = 0.25

// Scarce reports whether few of the retries that a span allows are left.
func (b *Budget) Scarce(now time.Time) bool {
	if b.policy.Window > 0 {
		left := b.left(now)
		requests, _ := b.window.sums()
		return left < scarcePart*(b.policy.Ratio*requests+b.granted(now))
	}
	return b.tokens < scarcePart*b.policy.Burst
}

// left is how many attempts may be repeated now.
func (b *Budget) left(now time.Time) float64 {
	b.window.advance(now)
	return b.window.left(b.policy.Ratio, b.granted(now))
}

// pay counts a retry.
func (b *Budget) pay(now time.Time) {
	if b.policy.Window > 0 {
		b.window.addRepeat(now)
		return
	}
	b.tokens = max(0, b.tokens-1)
}

// rounding absorbs the error of adding a tenth ten times.
const rounding = 1e-9

// Decide says whether the request is sent again; a retry is paid for at once.
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
	b.pay(now)
	if notRun {
		return Decision{Retry: true, Reason: NotRun}
	}
	return Decision{Retry: true, Reason: Idempotent}
}
