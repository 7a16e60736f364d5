package blackboard

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
)

// TestPressure guards against a service that spreads its work for good after one
// bad moment, and against one that does so for a single failure among few.
func TestPressure(t *testing.T) {
	testkit.Check(t, func(t *rapid.T) {
		var p pressure
		type ended struct {
			at     time.Time
			served bool
		}
		var all []ended
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause in ms")) * time.Millisecond)
			e := ended{now, rapid.IntRange(0, 9).Draw(t, "served") > 0}
			all = append(all, e)
			p.add(e.at, e.served)
		}
		other := Tally{Requests: rapid.IntRange(0, 100).Draw(t, "at another home")}
		other.Unserved = rapid.IntRange(0, other.Requests).Draw(t, "unserved there")
		p.merge(now, "other", other)
		// What is certainly inside the span, and what may be outside it.
		sum, most := other, other
		for _, e := range all {
			age := now.Sub(e.at)
			if age < pressureSpan-pressurePart {
				sum.Requests++
			}
			if age < pressureSpan && !e.served {
				most.Unserved++
			}
			if age < pressureSpan-pressurePart && !e.served {
				sum.Unserved++
			}
			if age < pressureSpan {
				most.Requests++
			}
		}
		high := p.high(now)
		if high && (most.Unserved < leastUnserved || float64(most.Unserved) < pressureShare*float64(sum.Requests)) {
			t.Fatalf("high with at most %d of at least %d unserved", most.Unserved, sum.Requests)
		}
		if !high && sum.Unserved >= leastUnserved && float64(sum.Unserved) >= pressureShare*float64(most.Requests) {
			t.Fatalf("not high with at least %d of at most %d unserved", sum.Unserved, most.Requests)
		}
		if p.high(now.Add(pressureSpan)) {
			t.Fatal("high although nothing was asked for a whole span")
		}
	})
}
