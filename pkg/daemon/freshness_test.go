package daemon

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/placement"
	"shallotglade/pkg/verdict"
)

// fakeAges is a source whose confirmations take 50 ms, if there is a path to the store.
type fakeAges struct {
	confirmedAt atomic.Pointer[time.Time]
	noPath      atomic.Bool
	asked       atomic.Int32
}

func (a *fakeAges) ConfirmedAge() (time.Duration, bool) {
	if at := a.confirmedAt.Load(); at != nil {
		return time.Since(*at), true
	}
	return 0, false
}

func (a *fakeAges) confirmNow() {
	now := time.Now()
	a.confirmedAt.Store(&now)
}

func (a *fakeAges) Confirm(ctx context.Context, maxAge time.Duration) bool {
	if age, known := a.ConfirmedAge(); known && age <= maxAge {
		return true
	}
	a.asked.Add(1)
	if a.noPath.Load() {
		<-ctx.Done()
		return false
	}
	time.Sleep(50 * time.Millisecond)
	a.confirmNow()
	return true
}

func runWithAges(t *testing.T, failClosed bool, play func(f *freshness, a *fakeAges)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		a := &fakeAges{}
		play(newFreshness(freshnessConfig{
			Source: a, Stats: func() confsync.Stats { return confsync.Stats{} }, Needed: func() bool { return true }, FailClosed: failClosed, Bound: 5 * time.Second,
			Registerer: prometheus.NewRegistry(), Log: zerolog.Nop(),
		}), a)
		time.Sleep(refreshTimeout) // the last refresh ends
		synctest.Wait()
	})
}

func reasonOf(e *verdict.Error) string {
	if e == nil {
		return ""
	}
	return e.Reason
}

// TestKeysAreAcceptedWithinTheBoundOnly guards against a host without contact that accepts
// a revoked key, and against requests that wait while the age is still usable.
func TestKeysAreAcceptedWithinTheBoundOnly(t *testing.T) {
	runWithAges(t, true, func(f *freshness, a *fakeAges) {
		ctx := context.Background()
		check := func(want string, wantWait time.Duration) {
			t.Helper()
			start := time.Now()
			err := f.Check(ctx)
			if got, waited := reasonOf(err), time.Since(start); got != want || waited != wantWait {
				t.Errorf("refusal %q after %v, want %q after %v", got, waited, want, wantWait)
			}
			if err != nil && (err.Status != 503 || err.Verdict != verdict.NotRun || err.RetryAfter <= 0) {
				t.Errorf("refusal %+v", err)
			}
			synctest.Wait()
		}
		check("", 50*time.Millisecond) // unknown: confirmed while the request waits
		time.Sleep(1500 * time.Millisecond)
		check("", 0)
		if n := a.asked.Load(); n != 1 {
			t.Errorf("asked %d times at 1.5 s", n)
		}
		time.Sleep(time.Millisecond)
		check("", 0) // refreshed in the background
		if n := a.asked.Load(); n != 2 {
			t.Errorf("asked %d times", n)
		}
		time.Sleep(time.Second)
		a.noPath.Store(true)
		time.Sleep(3550 * time.Millisecond) // 4.5 s after the last confirmation
		check("", 0)
		time.Sleep(time.Millisecond)
		check(reasonAccountsStale, confirmWait)
		a.noPath.Store(false)
		check("", 50*time.Millisecond)
	})
}

// TestKeysAreAcceptedAtAnyAgeIfNotFailClosed guards against refusals that the settings
// do not ask for.
func TestKeysAreAcceptedAtAnyAgeIfNotFailClosed(t *testing.T) {
	runWithAges(t, false, func(f *freshness, a *fakeAges) {
		a.noPath.Store(true)
		if err := f.Check(context.Background()); err != nil || f.omitsSelf() {
			t.Errorf("refusal %v, omitted %t", err, f.omitsSelf())
		}
		if err := f.CheckUnknown(context.Background()); reasonOf(err) != reasonKeyNotConfirmed {
			t.Errorf("refusal %v of an unknown key", err)
		}
	})
}

// TestUnknownKeysAreRefusedOnlyIfCertain guards against 401 for a key that was added
// recently, and against a read for each unknown key.
func TestUnknownKeysAreRefusedOnlyIfCertain(t *testing.T) {
	runWithAges(t, true, func(f *freshness, a *fakeAges) {
		a.confirmNow()
		time.Sleep(maxUnknownKeyAge)
		if err := f.CheckUnknown(context.Background()); err != nil || a.asked.Load() != 0 {
			t.Errorf("refusal %v, asked %d times", err, a.asked.Load())
		}
		time.Sleep(time.Millisecond)
		if err := f.CheckUnknown(context.Background()); err != nil || a.asked.Load() != 1 {
			t.Errorf("refusal %v, asked %d times", err, a.asked.Load())
		}
		a.noPath.Store(true)
		time.Sleep(maxUnknownKeyAge + time.Millisecond)
		if err := f.CheckUnknown(context.Background()); reasonOf(err) != reasonKeyNotConfirmed {
			t.Errorf("refusal %v", err)
		}
	})
}

// TestAddressesOmitADaemonThatRefuses guards against callers that are sent to a host which
// refuses them, against answers without any address, and against an idle daemon that is
// omitted only because it has not asked.
func TestAddressesOmitADaemonThatRefuses(t *testing.T) {
	runWithAges(t, true, func(f *freshness, a *fakeAges) {
		resolve := func(all ...string) []string {
			synctest.Wait()
			return f.addresses(placement.Query{}, "own", func(q placement.Query) placement.Answer {
				return placement.Answer{Addresses: slices.Clone(all)}
			}).Addresses
		}
		if got := resolve("own", "other"); len(got) != 2 {
			t.Errorf("idle: %v", got)
		}
		time.Sleep(time.Second)
		a.noPath.Store(true)
		time.Sleep(5 * time.Second)
		resolve("own", "other")
		time.Sleep(refreshTimeout + time.Millisecond)
		if got := resolve("own", "other"); len(got) != 1 || got[0] != "other" {
			t.Errorf("without a path: %v", got)
		}
		if got := resolve("own"); len(got) != 1 {
			t.Errorf("the only address: %v", got)
		}
		a.noPath.Store(false)
		time.Sleep(refreshTimeout + time.Millisecond)
		resolve("own", "other")
		time.Sleep(time.Second)
		if got := resolve("own", "other"); len(got) != 2 {
			t.Errorf("with a path again: %v", got)
		}
	})
}
