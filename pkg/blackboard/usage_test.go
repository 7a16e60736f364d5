package blackboard

import (
	"testing"
	"time"

	"shallotglade/pkg/document"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// newTestService returns a service whose only home is this daemon.
func newTestService(t *testing.T, upstreams ...Upstream) *Service {
	t.Helper()
	d, problems := document.Parse("test.yaml", []byte("service: s\ndetection: {eject: never}"))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	board := New("home", "a")
	board.PutDocument(d, 1, nil)
	s, _ := board.Service("s")
	s.SetUpstreams(fleetStart.Add(-time.Minute), upstreams)
	return s
}

var successfulResult = upstream.Result{Kind: upstream.Success, Verdict: verdict.Ran, Response: &upstream.Response{}}

// TestUsageCountsUnusedUpstreams guards against an upstream without requests that no
// metric shows.
func TestUsageCountsUnusedUpstreams(t *testing.T) {
	s := newTestService(t, Upstream{ID: "u0", Domain: "a", Slots: 1}, Upstream{ID: "u1", Domain: "a", Slots: 1})
	a, _, ok := s.Begin(fleetStart, AttemptRequest{Route: "r", First: true})
	if !ok {
		t.Fatal("no upstream for the first request")
	}
	if got := s.Usage(fleetStart.Add(time.Second)); got.Unused != 1 {
		t.Fatalf("%d unused upstreams with a request in flight at one of two", got.Unused)
	}
	s.End(fleetStart, a, successfulResult)
	s.RecordRequest(fleetStart, true)
	s.RecordRequest(fleetStart, false)
	if got := s.Usage(fleetStart.Add(time.Second)); got.Unused != 1 || got.UnservedShare != 0.5 {
		t.Fatalf("usage a second after the request: %+v", got)
	}
	if got := s.Usage(fleetStart.Add(requestWindowLength)); got.Unused != 2 {
		t.Fatalf("%d unused upstreams %v after the request", got.Unused, requestWindowLength)
	}
}

// TestHangingRequestsCountAsUnserved guards against a share of unserved requests that rises
// only when lost requests reach their timeout, longer than the window in which they count.
func TestHangingRequestsCountAsUnserved(t *testing.T) {
	const usual, requests, hanging = 100 * time.Millisecond, 40, 8
	s := newTestService(t, Upstream{ID: "u0", Domain: "a", Slots: requests}, Upstream{ID: "u1", Domain: "a", Slots: requests})
	now := fleetStart
	serve := func() {
		a, _, ok := s.Begin(now, AttemptRequest{Route: "r", First: true})
		if !ok {
			t.Fatal("no upstream has a free slot")
		}
		now = now.Add(usual)
		s.End(now, a, successfulResult)
		s.RecordRequest(now, true)
	}
	for range requests {
		serve()
	}
	for range hanging {
		if _, _, ok := s.Begin(now, AttemptRequest{Route: "r", First: true}); !ok {
			t.Fatal("no upstream has a free slot")
		}
	}
	for end := now.Add(time.Second); now.Before(end); {
		serve()
	}
	s.Refresh(now)
	if got := s.Usage(now).UnservedShare; got < unservedThreshold {
		t.Fatalf("unserved share %.2f a second after %d requests began to hang", got, hanging)
	}
}
