package retry

import (
	"math"
	"time"
)

// HandOver is what a daemon that is no longer a home passes to each of the homes.
// Without it, the homes that take over would spend the allowance of a span a second
// time.
type HandOver struct {
	// Allowance is the share of the allowance that the daemon gives up.
	Allowance float64 `cbor:"1,keyasint,omitempty"`
	// Parts is the share of what the daemon counted in the present span.
	Parts []Part `cbor:"2,keyasint,omitempty"`
}

// Part is what was counted in one part of a span. Shares of counts are fractions.
type Part struct {
	_ struct{} `cbor:",toarray"`
	// AgeMs is the age of the middle of the part in milliseconds: a time of day
	// would depend on both hosts' clocks.
	AgeMs             uint32
	Requests, Repeats float64
}

// Empty reports whether there is nothing to pass on.
func (h HandOver) Empty() bool { return h.Allowance == 0 && len(h.Parts) == 0 }

// Valid reports whether all numbers are finite and none is negative.
func (h HandOver) Valid() bool {
	valid := func(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
	for _, p := range h.Parts {
		if !valid(p.Requests) || !valid(p.Repeats) {
			return false
		}
	}
	return valid(h.Allowance)
}

// HandOver gives up the allowance and returns what each of the homes gets. The
// requests that are still under way here keep what they have paid. All repeats go: those
// that the allowance paid for would be forgotten here. It is called before SetPolicy
// takes the allowance away.
func (b *Budget) HandOver(now time.Time, homes, underWay int) HandOver {
	if b.policy.Window <= 0 || homes <= 0 {
		return HandOver{}
	}
	n := float64(homes)
	h := HandOver{Allowance: b.granted(now) / n, Parts: b.window.split(now, n, float64(underWay))}
	b.allowance, b.fullAt = 0, now.Add(b.policy.Window)
	return h
}

// TakeOver takes what a daemon that was a home hands over. It may arrive before this
// daemon knows that it is a home.
func (b *Budget) TakeOver(now time.Time, h HandOver) {
	if b.policy.Window <= 0 || h.Empty() {
		return
	}
	for _, p := range h.Parts {
		b.window.add(now, p)
	}
	if b.policy.Allowance > 0 {
		b.allowance = min(b.granted(now)+h.Allowance, b.policy.Allowance)
		return
	}
	if now.Sub(b.takenAt) > b.policy.Window {
		b.allowance = 0
	}
	b.allowance, b.takenAt = b.allowance+h.Allowance, now
}
