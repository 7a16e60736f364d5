package blackboard

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"shallotglade/pkg/document"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/verdict"
)

// retryFleet is a service on six daemons, three of which are its homes. It records the
// times of all requests and retries since fleetStart.
type retryFleet struct {
	t        *testing.T
	services []*Service
	requests []time.Duration
	retries  []time.Duration
}

const (
	fleetRatio     = 0.2
	fleetAllowance = 58
	fleetWindow    = 10 * time.Second
)

var (
	fleetStart  = time.Unix(1_000_000, 0)
	homesBefore = []routing.Home{{ID: "d0"}, {ID: "d1"}, {ID: "d2"}}
	homesAfter  = []routing.Home{{ID: "d3"}, {ID: "d4"}, {ID: "d5"}}
)

func newRetryFleet(t *testing.T) *retryFleet {
	t.Helper()
	d, problems := document.Parse("test.yaml", []byte(fmt.Sprintf(
		"service: s\nretries: {budget: %v, window: %v, allowance: %d, attempts: 10}", fleetRatio, fleetWindow, fleetAllowance)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	f := &retryFleet{t: t}
	for i := range len(homesBefore) + len(homesAfter) {
		board := New(fmt.Sprintf("d%d", i), "a")
		board.PutDocument(d, 1, nil)
		s, _ := board.Service("s")
		s.SetHomes(fleetStart.Add(-fleetWindow), homesBefore)
		f.services = append(f.services, s)
	}
	return f
}

// request sends a request to a daemon. The upstreams shed the request's first
// shedAttempts attempts.
func (f *retryFleet) request(daemon int, at time.Duration, shedAttempts int) {
	s, now := f.services[daemon], fleetStart.Add(at)
	s.budget.RecordRequest(now)
	f.requests = append(f.requests, at)
	for n := 1; n <= shedAttempts; n++ {
		if !s.DecideRetry(now, retry.Attempt{Verdict: verdict.NotRun, Attempts: n, TimeLeft: time.Second}, 0).Retry {
			return
		}
		f.retries = append(f.retries, at)
	}
}

// replaceHomes moves the service from homesBefore to homesAfter. The reports of the old
// homes reach the new ones after delay.
func (f *retryFleet) replaceHomes(at, delay time.Duration) {
	now := fleetStart.Add(at)
	for _, s := range f.services {
		s.SetHomes(now, homesAfter)
	}
	for i := range homesBefore {
		r, any := f.services[i].HandOver(now)
		if !any {
			f.t.Fatalf("d%d handed over no retry counts", i)
		}
		r.Home = homesBefore[i].ID
		body, err := EncodeReport(r)
		if err != nil {
			f.t.Fatal(err)
		}
		for j := range homesAfter {
			got, err := DecodeReport(body)
			if err != nil {
				f.t.Fatal(err)
			}
			f.services[len(homesBefore)+j].Merge(now.Add(delay), r.Home, got)
		}
	}
}

// check fails the test if any window contains more retries than the users' limit.
func (f *retryFleet) check(until time.Duration) {
	f.t.Helper()
	within := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if at >= from && at < from+fleetWindow {
				n++
			}
		}
		return n
	}
	worst, excess := "", 0.0
	for from := time.Duration(0); from <= until-fleetWindow; from += 50 * time.Millisecond {
		maxRequests := max(within(f.requests, from), within(f.requests, from-fleetWindow), within(f.requests, from-fleetWindow/2))
		n := within(f.retries, from)
		if exceeded := float64(n) - fleetRatio*float64(maxRequests) - fleetAllowance; exceeded > excess {
			worst, excess = fmt.Sprintf("%d retries in %v from %v for %d requests", n, fleetWindow, from, maxRequests), exceeded
		}
	}
	if worst != "" {
		f.t.Fatal(worst)
	}
}

// TestNewHomesDoNotSpendAllowanceAgain guards against new homes that spend the allowance
// which the previous homes already spent in the same window. A change of weights moved
// all homes of a service at once while most attempts were shed, and the service made 206
// retries in 10 s where 185 were allowed.
func TestNewHomesDoNotSpendAllowanceAgain(t *testing.T) {
	f := newRetryFleet(t)
	const (
		rate    = 63
		shedAt  = 13 * time.Second
		movedAt = 21150 * time.Millisecond
		end     = 40 * time.Second
	)
	firstHome, moved := 0, false
	for i := range int(rate * end.Seconds()) {
		at := time.Duration(i) * time.Second / rate
		if at >= movedAt && !moved {
			f.replaceHomes(movedAt, 2*time.Millisecond)
			firstHome, moved = len(homesBefore), true
		}
		shedAttempts := 0
		if at >= shedAt {
			shedAttempts = 5
		}
		f.request(firstHome+i%len(homesBefore), at, shedAttempts)
	}
	f.check(end)
}

// TestRetryAllowanceMovesWithHomes guards against callers who get no retries for a whole
// window after a change of homes, although hardly any were made before.
func TestRetryAllowanceMovesWithHomes(t *testing.T) {
	f := newRetryFleet(t)
	const requests = 600
	for i := range requests {
		f.request(i%len(homesBefore), 9*time.Second, 0)
	}
	available := func(at time.Duration) (n int) {
		for _, s := range f.services {
			n += s.RetriesAvailable(fleetStart.Add(at))
		}
		return n
	}
	before := available(9500 * time.Millisecond)
	f.replaceHomes(9500*time.Millisecond, 2*time.Millisecond)
	// Each daemon may have a fraction of a retry that it cannot use.
	if after := available(9510 * time.Millisecond); after > before+len(f.services) || after < before-len(f.services) {
		t.Fatalf("%d retries available before the change of homes and %d after it", before, after)
	}
	for i, s := range f.services[len(homesBefore):] {
		if s.RetriesAvailable(fleetStart.Add(9510*time.Millisecond)) < before/len(homesAfter)-1 {
			t.Fatalf("d%d has %d of %d available retries", len(homesBefore)+i, s.RetriesAvailable(fleetStart.Add(9510*time.Millisecond)), before)
		}
	}
}

// TestReportOmitsEmptyHandOver guards against reports that daemons of the previous version
// reject during a rolling update, because they do not know the field of the hand-over.
func TestReportOmitsEmptyHandOver(t *testing.T) {
	body, err := EncodeReport(Report{Service: "s", Home: "d1"})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	const retriesField = 10
	if value, ok := fields[retriesField]; ok {
		t.Fatalf("report without a hand-over encodes it as %v", value)
	}
}

// TestReportRejectsInvalidHandOver guards against a report whose counts would make a retry
// budget unlimited.
func TestReportRejectsInvalidHandOver(t *testing.T) {
	for _, h := range []retry.HandOver{
		{Allowance: math.Inf(1)}, {Allowance: -1}, {Buckets: []retry.BucketCounts{{Requests: math.NaN()}}}, {Buckets: []retry.BucketCounts{{Retries: -1}}},
	} {
		body, err := EncodeReport(Report{Service: "s", Home: "d1", RetryHandOver: h})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeReport(body); !errors.Is(err, ErrReport) {
			t.Fatalf("DecodeReport accepts %v: %v", h, err)
		}
	}
}

// TestRestartedHomeWaitsForAllowance guards against a home that restarts and spends the
// allowance of the current window again, and against one that never gets the allowance
// back.
func TestRestartedHomeWaitsForAllowance(t *testing.T) {
	f := newRetryFleet(t)
	restarted := newRetryFleet(t).services[0]
	restarted.SetHomes(fleetStart, nil)
	restarted.SetHomes(fleetStart, homesBefore)
	full := f.services[0].RetriesAvailable(fleetStart)
	if full == 0 {
		t.Fatal("a home that has not restarted has no allowance")
	}
	if n := restarted.RetriesAvailable(fleetStart.Add(fleetWindow - time.Millisecond)); n != 0 {
		t.Fatalf("%d retries available without a request in the first window", n)
	}
	if n := restarted.RetriesAvailable(fleetStart.Add(fleetWindow)); n != full {
		t.Fatalf("%d retries available after the first window, not %d", n, full)
	}
}
