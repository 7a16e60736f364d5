package daemon

import (
	"context"
	"fmt"
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

// fakeAges is a source whose confirmations take 50 ms if there is a path to the store.
type fakeAges struct {
	confirmedAt atomic.Int64
	noPath      bool
}

func (a *fakeAges) ConfirmedAge() (time.Duration, bool) {
	return time.Since(time.Unix(0, a.confirmedAt.Load())), true
}

func (a *fakeAges) Confirm(ctx context.Context, maxAge time.Duration) bool {
	if age, _ := a.ConfirmedAge(); age > maxAge && a.noPath {
		<-ctx.Done()
		return false
	} else if age > maxAge {
		time.Sleep(50 * time.Millisecond)
		a.confirmedAt.Store(time.Now().UnixNano())
	}
	return true
}

// TestFreshness guards against a host without contact that accepts a revoked key, against
// 401 for a key that was added lately, against requests that wait while the age is usable,
// against callers that are sent to a host that refuses them, and against an idle host that
// is left out of address answers only because it has not asked.
func TestFreshness(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		age                time.Duration
		noPath, failClosed bool
		// check and unknown are the refusals of known and unknown keys and their waits;
		// addresses are the answers to two queries.
		check, unknown, addresses string
	}{
		{1501 * ms, true, true, "<nil> 0s", "<nil> 0s", "[own other] [own other]"},
		{2001 * ms, false, true, "<nil> 0s", "<nil> 50ms", "[own other] [own other]"},
		{4500 * ms, true, true, "<nil> 0s", "key-not-confirmed 300ms", "[own other] [other]"},
		{4501 * ms, true, true, "accounts-stale 300ms", "key-not-confirmed 300ms", "[own other] [other]"},
		{4501 * ms, false, true, "<nil> 50ms", "<nil> 50ms", "[own other] [own other]"},
		{time.Hour, true, false, "<nil> 0s", "key-not-confirmed 300ms", "[own other] [own other]"},
	} {
		run := func(want string, play func(f *freshness) string) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAges{noPath: c.noPath}
				a.confirmedAt.Store(time.Now().Add(-c.age).UnixNano())
				got := play(newFreshness(freshnessConfig{
					Source: a, Stats: func() confsync.Stats { return confsync.Stats{} }, Needed: func() bool { return true },
					FailClosed: c.failClosed, Bound: 5 * time.Second, Registerer: prometheus.NewRegistry(), Log: zerolog.Nop(),
				}))
				if got != want {
					t.Errorf("age %v, no path %t: %s, want %s", c.age, c.noPath, got, want)
				}
				time.Sleep(refreshTimeout) // the last refresh ends
			})
		}
		timed := func(check func(context.Context) *verdict.Error) string {
			start, reason := time.Now(), "<nil>"
			if refusal := check(context.Background()); refusal != nil {
				reason = refusal.Reason
			}
			return fmt.Sprint(reason, " ", time.Since(start))
		}
		run(c.check, func(f *freshness) string { return timed(f.Check) })
		run(c.unknown, func(f *freshness) string { return timed(f.CheckUnknown) })
		run(c.addresses, func(f *freshness) string {
			resolve := func() []string {
				return f.addresses(placement.Query{}, "own", func(placement.Query) placement.Answer {
					return placement.Answer{Addresses: []string{"own", "other"}}
				}).Addresses
			}
			first := resolve()
			time.Sleep(refreshTimeout + ms)
			return fmt.Sprint(first, resolve())
		})
	}
}
