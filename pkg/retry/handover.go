package retry

import (
	"math"
	"time"
)

// HandOver is what a daemon that is no longer a home passes to each of the current
// homes. Without it, the new homes would spend the allowance of a window a second
// time.
type HandOver struct {
	// Allowance is the receiver's share of the daemon's allowance.
	Allowance float64 `cbor:"1,keyasint,omitempty"`
	// Parts holds the receiver's share of the counts in the daemon's window.
	Buckets []BucketCounts `cbor:"2,keyasint,omitempty"`
}

// Part holds the counts of one bucket of a window. Shares of counts may be fractions.
type BucketCounts struct {
	_ struct{} `cbor:",toarray"`
	// AgeMs is the age of the middle of the bucket in milliseconds. An age, unlike a
	// timestamp, does not depend on the clocks of both hosts.
	AgeMs             uint32
	Requests, Retries float64
}

// Empty reports whether there is nothing to hand over.
func (h HandOver) Empty() bool { return h.Allowance == 0 && len(h.Buckets) == 0 }

// Valid reports whether all numbers are finite and not negative.
func (h HandOver) Valid() bool {
	valid := func(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
	for _, p := range h.Buckets {
		if !valid(p.Requests) || !valid(p.Retries) {
			return false
		}
	}
	return valid(h.Allowance)
}

// HandOver gives up the allowance and returns the share of each home. It keeps as
// many of the latest requests as are still in flight here, because those may still be
// retried. All retries are handed over: those that used the allowance would otherwise
// be lost. Call it before SetPolicy removes the allowance.
func (b *Budget) HandOver(now time.Time, homes, inFlight int) HandOver {
	if b.policy.Window <= 0 || homes <= 0 {
		return HandOver{}
	}
	shares := float64(homes)
	h := HandOver{Allowance: b.effectiveAllowance(now) / shares, Buckets: b.window.split(now, shares, float64(inFlight))}
	b.allowance, b.fullAllowanceAt = 0, now.Add(b.policy.Window)
	return h
}

// TakeOver adds what a former home hands over. It may be called before this daemon
// knows that it is a home.
func (b *Budget) TakeOver(now time.Time, h HandOver) {
	if b.policy.Window <= 0 || h.Empty() {
		return
	}
	for _, p := range h.Buckets {
		b.window.add(now, p)
	}
	if b.policy.Allowance > 0 {
		b.allowance = min(b.effectiveAllowance(now)+h.Allowance, b.policy.Allowance)
		return
	}
	if now.Sub(b.takenOverAt) > b.policy.Window {
		b.allowance = 0
	}
	b.allowance, b.takenOverAt = b.allowance+h.Allowance, now
}
