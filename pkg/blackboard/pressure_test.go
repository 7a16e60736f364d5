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
		// What is certainly inside the span, and what is certainly not outside it.
		requests, unserved, most := 0, 0, 0
		for _, e := range all {
			if age := now.Sub(e.at); age < pressureSpan-pressurePart {
				requests++
				if !e.served {
					unserved++
				}
			} else if age < pressureSpan && !e.served {
				most++
			}
		}
		high := p.high(now)
		if high && float64(unserved+most) < pressureShare*float64(requests) {
			t.Fatalf("high with %d of %d unserved", unserved+most, requests)
		}
		if high && requests+most < leastRequests && len(all) < leastRequests {
			t.Fatal("high with too few requests")
		}
		if p.high(now.Add(pressureSpan)) {
			t.Fatal("high although nothing was asked for a whole span")
		}
	})
}
