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

// TestNonHomesGetNoRetryAllowance guards against a fleet that retries more than its
// budget allows. When each of a hundred daemons that were not homes also got a part of
// the allowance, a service received 787 attempts beyond the first of a request in a
// window that allowed 772.
func TestNonHomesGetNoRetryAllowance(t *testing.T) {
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
	now, requests, retries := time.Unix(1000, 0), 0, 0
	for i := range daemons {
		board := New(fmt.Sprintf("d%d", i), "a")
		board.PutDocument(d, 1, nil)
		s, _ := board.Service("s")
		// The homes get the allowance one window after they become homes.
		s.SetHomes(now.Add(-10*time.Second), homes)
		s.budget.RecordRequest(now)
		requests++
		for s.budget.Decide(now, retry.Attempt{Verdict: verdict.NotRun, Attempts: 1, TimeLeft: time.Second}).Retry {
			retries++
		}
	}
	if float64(retries) > ratio*float64(requests)+allowance {
		t.Fatalf("%d retries for %d requests", retries, requests)
	}
	if float64(retries) < homesAllowanceShare*allowance-float64(len(homes)) {
		t.Fatalf("%d retries, although the homes have an allowance of %v", retries, homesAllowanceShare*allowance)
	}
}

// TestManyUnserved guards against a service that keeps spreading its requests after a
// short disruption, and against one that spreads them after a single failure among few
// requests.
func TestManyUnserved(t *testing.T) {
	testkit.Check(t, func(t *rapid.T) {
		var w requestWindow
		type request struct {
			at     time.Time
			served bool
		}
		var requests []request
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause in ms")) * time.Millisecond)
			e := request{now, rapid.IntRange(0, 9).Draw(t, "served") > 0}
			requests = append(requests, e)
			w.add(e.at, e.served)
		}
		other := RequestCounts{Requests: rapid.IntRange(0, 100).Draw(t, "at another home")}
		other.Unserved = rapid.IntRange(0, other.Requests).Draw(t, "unserved there")
		w.merge(now, "other", other)
		// The window starts at a bucket boundary: lower counts the requests that are
		// certainly in it, upper also those that may be.
		lower, upper := other, other
		for _, e := range requests {
			age := now.Sub(e.at)
			if age < requestWindowLength-requestBucketLength {
				lower.Requests++
			}
			if age < requestWindowLength && !e.served {
				upper.Unserved++
			}
			if age < requestWindowLength-requestBucketLength && !e.served {
				lower.Unserved++
			}
			if age < requestWindowLength {
				upper.Requests++
			}
		}
		manyUnserved := w.total(now).manyUnserved()
		if manyUnserved && (upper.Unserved < minUnserved || float64(upper.Unserved) < unservedThreshold*float64(lower.Requests)) {
			t.Fatalf("many unserved reported with at most %d of at least %d unserved", upper.Unserved, lower.Requests)
		}
		if !manyUnserved && lower.Unserved >= minUnserved && float64(lower.Unserved) >= unservedThreshold*float64(upper.Requests) {
			t.Fatalf("many unserved not reported with at least %d of at most %d unserved", lower.Unserved, upper.Requests)
		}
		if w.total(now.Add(requestWindowLength)).manyUnserved() {
			t.Fatal("many unserved reported after a whole window without requests")
		}
	})
}

// TestRequestWindowKeepsCountsWhenTimesArriveOutOfOrder guards against requests that are
// not spread although many fail. The window lost its counts whenever a time just before
// the start of a bucket arrived after a time within that bucket.
func TestRequestWindowKeepsCountsWhenTimesArriveOutOfOrder(t *testing.T) {
	var w requestWindow
	start := time.Unix(1000, 0)
	for range 2 * minUnserved {
		w.add(start, false)
	}
	w.add(start.Add(requestBucketLength), true)
	w.add(start.Add(requestBucketLength-time.Millisecond), true)
	if !w.total(start.Add(requestBucketLength)).manyUnserved() {
		t.Fatalf("many unserved not reported with %+v", w.counts(start.Add(requestBucketLength)))
	}
}

// TestRequestWindowKeepsCountsWhenWallClockJumps guards against counts that are lost when
// the wall clock is set while many requests fail.
func TestRequestWindowKeepsCountsWhenWallClockJumps(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		var w requestWindow
		now := time.Now()
		for range 2 * minUnserved {
			w.add(now, false)
		}
		if later := testkit.ShiftWallClock(now.Add(requestBucketLength), jump); !w.total(later).manyUnserved() {
			t.Errorf("jump of %v: many unserved not reported with %+v", jump, w.counts(later))
		}
	}
}
