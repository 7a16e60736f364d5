package blackboard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/document"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/verdict"
)

// TestRetriesOfFleet guards against a fleet that repeats more than its allowance: a
// hundred daemons that are no homes had a part of it each, and a service got 787
// arrivals beyond the first of a request in a span that allowed 772.
func TestRetriesOfFleet(t *testing.T) {
	const (
		daemons   = 107
		allowance = 166
		ratio     = 0.2
	)
	homes := []routing.Home{{ID: "d0"}, {ID: "d1"}, {ID: "d2"}}
	d, problems := document.Parse("test.yaml", []byte(fmt.Sprintf("service: s\nretries: {budget: %v, window: 10s, allowance: %d, attempts: 10}", ratio, allowance)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	now, requests, repeats := time.Unix(1000, 0), 0, 0
	for i := range daemons {
		board := New(fmt.Sprintf("d%d", i), "a")
		board.PutDocument(d, 1, nil)
		s, _ := board.Service("s")
		// The homes' allowance comes into force a span later.
		s.SetHomes(now.Add(-10*time.Second), homes)
		s.budget.Request(now)
		requests++
		for s.budget.Decide(now, retry.Attempt{Verdict: verdict.NotRun, Attempts: 1, TimeLeft: time.Second}).Retry {
			repeats++
		}
	}
	if float64(repeats) > ratio*float64(requests)+allowance {
		t.Fatalf("%d repeats for %d requests", repeats, requests)
	}
	if float64(repeats) < homesAllowance*allowance-float64(len(homes)) {
		t.Fatalf("%d repeats, although the homes may use an allowance of %v", repeats, homesAllowance*allowance)
	}
}

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

// TestPressureKeepsCountsWhenATimeComesLate guards against work that is not spread
// although many requests fail: each time that was taken just before a part of the span
// began, and came after one taken in it, made the counts of the span be forgotten.
func TestPressureKeepsCountsWhenATimeComesLate(t *testing.T) {
	var p pressure
	start := time.Unix(1000, 0)
	for range 2 * leastUnserved {
		p.add(start, false)
	}
	p.add(start.Add(pressurePart), true)
	p.add(start.Add(pressurePart-time.Millisecond), true)
	if !p.high(start.Add(pressurePart)) {
		t.Fatalf("not high with %+v", p.own(start.Add(pressurePart)))
	}
}

// TestPressureKeepsCountsWhenTheTimeOfDayJumps guards against the same by a clock that is
// set while many requests fail.
func TestPressureKeepsCountsWhenTheTimeOfDayJumps(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		var p pressure
		now := time.Now()
		for range 2 * leastUnserved {
			p.add(now, false)
		}
		if later := testkit.JumpTimeOfDay(now.Add(pressurePart), jump); !p.high(later) {
			t.Errorf("jump of %v: not high with %+v", jump, p.own(later))
		}
	}
}
