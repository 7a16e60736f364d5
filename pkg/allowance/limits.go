package allowance

import "time"

// Defaults of Limits.
const (
	DefaultWindow    = 5 * time.Second
	DefaultOvershoot = 0.1
	DefaultExtra     = 20
)

const (
	// minTokenLifetime and maxTokenLifetime bound the time in which an entry daemon may use
	// a token. The lower bound leaves time for the round trip.
	minTokenLifetime = 50 * time.Millisecond
	maxTokenLifetime = 250 * time.Millisecond
	// askGap (seconds) is how much of the rate a bucket holds at least, because the tokens
	// that accrue between two messages would be lost otherwise.
	askGap = 0.25
)

// Limits states what an allowance permits: at most (rate x Window + burst) x
// (1 + Overshoot) + Extra requests in every window.
type Limits struct {
	Window           time.Duration
	Overshoot, Extra float64
}

// withDefaults replaces an unset window, and with it the other fields, by the defaults.
func (l Limits) withDefaults() Limits {
	if l.Window <= 0 {
		return Limits{Window: DefaultWindow, Overshoot: DefaultOvershoot, Extra: DefaultExtra}
	}
	return l
}

// Most returns the largest number of requests that may run in a window.
func (l Limits) Most(rate, burst float64) float64 {
	return (rate*l.Window.Seconds()+burst)*(1+l.Overshoot) + l.Extra
}

// TokenLifetime is how long an entry daemon may use a token, from the time when it asked.
// Half of the overshoot covers the tokens that were granted before a window and are used
// in it; the other half covers reserve tokens.
func (l Limits) TokenLifetime() time.Duration {
	covered := time.Duration(l.Overshoot / 2 * float64(l.Window))
	return min(max(covered, minTokenLifetime), maxTokenLifetime)
}

// bucketRate returns the rate at which tokens accrue. It is below the rate of the allowance
// only if half of the overshoot does not cover the lifetime of the tokens.
func (l Limits) bucketRate(rate float64) float64 {
	window := l.Window.Seconds()
	return min(rate, rate*window*(1+l.Overshoot/2)/(window+l.TokenLifetime().Seconds()))
}

// bucketSize returns the largest number of tokens in a bucket: the burst and, for small
// bursts, a part of what the bound leaves after the rate, the burst and the reserve tokens.
func (l Limits) bucketSize(rate, burst float64) float64 {
	return max(1, burst+max(0, min(max(askGap*rate, 1), l.unused(rate, burst)/2)))
}

// unused returns what half of the overshoot leaves after the tokens that were granted before
// a window and are used in it.
func (l Limits) unused(rate, burst float64) float64 {
	window := l.Window.Seconds()
	late := l.bucketRate(rate)*(window+l.TokenLifetime().Seconds()) - rate*window
	return (l.Overshoot*(rate*window+burst)+l.Extra)/2 - late
}

// headStart returns the number of tokens in a bucket at the start of a tenure that follows
// another one: what half of the overshoot leaves after late tokens and a larger bucket. The
// other half covers reserves. Without it, all requests that arrived while there was no
// grantor would be refused after a loss of power.
func (l Limits) headStart(rate, burst float64) float64 {
	return max(0, l.unused(rate, burst)-(l.bucketSize(rate, burst)-burst))
}

// reserveSize returns the largest number of reserve tokens of an account that all entry
// daemons together may hold or have used within the last window.
func (l Limits) reserveSize(rate, burst float64) float64 {
	return (l.Overshoot*(rate*l.Window.Seconds()+burst) + l.Extra) / 2
}

// reserveCharge is how long a reserve token counts that was handed out and of which nothing
// more was heard: it can be used for one window, and the use counts for another.
func (l Limits) reserveCharge() time.Duration { return 2 * l.Window }
