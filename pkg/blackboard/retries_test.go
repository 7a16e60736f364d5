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

// retryFleet is a service at six daemons, of which three are homes.
type retryFleet struct {
	t        *testing.T
	services []*Service
	requests []time.Duration
	repeats  []time.Duration
}

const (
	fleetRatio     = 0.2
	fleetAllowance = 58
	fleetSpan      = 10 * time.Second
)

var (
	fleetStart  = time.Unix(1_000_000, 0)
	homesBefore = []routing.Home{{ID: "d0"}, {ID: "d1"}, {ID: "d2"}}
	homesAfter  = []routing.Home{{ID: "d3"}, {ID: "d4"}, {ID: "d5"}}
)

func newRetryFleet(t *testing.T) *retryFleet {
	t.Helper()
	d, problems := document.Parse("test.yaml", []byte(fmt.Sprintf(
		"service: s\nretries: {budget: %v, window: %v, allowance: %d, attempts: 10}", fleetRatio, fleetSpan, fleetAllowance)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	f := &retryFleet{t: t}
	for i := range len(homesBefore) + len(homesAfter) {
		board := New(fmt.Sprintf("d%d", i), "a")
		board.PutDocument(d, 1, nil)
		s, _ := board.Service("s")
		s.SetHomes(fleetStart.Add(-fleetSpan), homesBefore)
		f.services = append(f.services, s)
	}
	return f
}

// request lets a daemon serve a request whose attempts are shed by shed upstreams
// before one takes it.
func (f *retryFleet) request(daemon int, at time.Duration, shed int) {
	s, now := f.services[daemon], fleetStart.Add(at)
	s.budget.Request(now)
	f.requests = append(f.requests, at)
	for n := 1; n <= shed; n++ {
		if !s.DecideRetry(now, retry.Attempt{Verdict: verdict.NotRun, Attempts: n, TimeLeft: time.Second}, 0).Retry {
			return
		}
		f.repeats = append(f.repeats, at)
	}
}

// replaceHomes moves the service to other homes. The new homes hear from the old
// ones after late.
func (f *retryFleet) replaceHomes(at, late time.Duration) {
	now := fleetStart.Add(at)
	for _, s := range f.services {
		s.SetHomes(now, homesAfter)
	}
	for i := range homesBefore {
		r, any := f.services[i].HandOver(now)
		if !any {
			f.t.Fatalf("d%d hands nothing over", i)
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
			f.services[len(homesBefore)+j].Merge(now.Add(late), r.Home, got)
		}
	}
}

// check compares the repeats of each span with what the users allow.
func (f *retryFleet) check(until time.Duration) {
	f.t.Helper()
	within := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if at >= from && at < from+fleetSpan {
				n++
			}
		}
		return n
	}
	worst, excess := "", 0.0
	for from := time.Duration(0); from <= until-fleetSpan; from += 50 * time.Millisecond {
		most := max(within(f.requests, from), within(f.requests, from-fleetSpan), within(f.requests, from-fleetSpan/2))
		n := within(f.repeats, from)
		if over := float64(n) - fleetRatio*float64(most) - fleetAllowance; over > excess {
			worst, excess = fmt.Sprintf("%d repeats in %v from %v for %d requests", n, fleetSpan, from, most), over
		}
	}
	if worst != "" {
		f.t.Fatal(worst)
	}
}

// TestRetriesOfNewHomes guards against new homes that spend the allowance of a span
// which the homes before have spent: a change of weights moved all homes of a service
// at once while most attempts were shed, and 206 attempts were repeated in 10 s where
// 185 were allowed.
func TestRetriesOfNewHomes(t *testing.T) {
	f := newRetryFleet(t)
	const (
		rate    = 63
		shedAt  = 13 * time.Second
		movedAt = 21150 * time.Millisecond
		end     = 40 * time.Second
	)
	first, moved := 0, false
	for i := range int(rate * end.Seconds()) {
		at := time.Duration(i) * time.Second / rate
		if at >= movedAt && !moved {
			f.replaceHomes(movedAt, 2*time.Millisecond)
			first, moved = len(homesBefore), true
		}
		shed := 0
		if at >= shedAt {
			shed = 5
		}
		f.request(first+i%len(homesBefore), at, shed)
	}
	f.check(end)
}

// TestRetriesMoveWithHomes guards against callers who get no further attempt for a
// whole span after a change of homes, although hardly any was made before.
func TestRetriesMoveWithHomes(t *testing.T) {
	f := newRetryFleet(t)
	const requests = 600
	for i := range requests {
		f.request(i%len(homesBefore), 9*time.Second, 0)
	}
	left := func(at time.Duration) (n int) {
		for _, s := range f.services {
			n += s.RepeatsLeft(fleetStart.Add(at))
		}
		return n
	}
	before := left(9500 * time.Millisecond)
	f.replaceHomes(9500*time.Millisecond, 2*time.Millisecond)
	// Each daemon has a fraction of an attempt that it cannot use.
	if after := left(9510 * time.Millisecond); after > before+len(f.services) || after < before-len(f.services) {
		t.Fatalf("%d further attempts before the change of homes and %d after it", before, after)
	}
	for i, s := range f.services[len(homesBefore):] {
		if s.RepeatsLeft(fleetStart.Add(9510*time.Millisecond)) < before/len(homesAfter)-1 {
			t.Fatalf("d%d has %d further attempts of %d", len(homesBefore)+i, s.RepeatsLeft(fleetStart.Add(9510*time.Millisecond)), before)
		}
	}
}

// TestReportWithoutHandOver guards against reports that a daemon of the version before
// refuses, as it knows no retries in them, while a fleet is replaced.
func TestReportWithoutHandOver(t *testing.T) {
	body, err := EncodeReport(Report{Service: "s", Home: "d1"})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	const retries = 10
	if value, there := fields[retries]; there {
		t.Fatalf("a report that hands nothing over has %v in it", value)
	}
}

// TestReportOfBadCounts guards against a report whose counts would make a budget
// endless.
func TestReportOfBadCounts(t *testing.T) {
	for _, h := range []retry.HandOver{
		{Allowance: math.Inf(1)}, {Allowance: -1}, {Parts: []retry.Part{{Requests: math.NaN()}}}, {Parts: []retry.Part{{Repeats: -1}}},
	} {
		body, err := EncodeReport(Report{Service: "s", Home: "d1", Retries: h})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeReport(body); !errors.Is(err, ErrReport) {
			t.Fatalf("%v is taken: %v", h, err)
		}
	}
}

// TestRetriesOfStartedHome guards against a home that starts again and spends the
// allowance of the span in which it spent it before, and against one that never gets
// it.
func TestRetriesOfStartedHome(t *testing.T) {
	f := newRetryFleet(t)
	started := newRetryFleet(t).services[0]
	started.SetHomes(fleetStart, nil)
	started.SetHomes(fleetStart, homesBefore)
	full := f.services[0].RepeatsLeft(fleetStart)
	if full == 0 {
		t.Fatal("a home of long has no allowance")
	}
	if n := started.RepeatsLeft(fleetStart.Add(fleetSpan - time.Millisecond)); n != 0 {
		t.Fatalf("%d repeats without a request in the first span", n)
	}
	if n := started.RepeatsLeft(fleetStart.Add(fleetSpan)); n != full {
		t.Fatalf("%d repeats after the first span, not %d", n, full)
	}
}
