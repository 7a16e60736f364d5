package memory_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/memory"
)

var start = time.Unix(1_000_000, 0)

// holder is a holder whose progress the test sets. An evicted one closes its reservation when the
// test says so.
type holder struct {
	reservation *memory.Reservation
	since       time.Time
	waits       bool
	evicted     bool
}

func (h *holder) StalledSince() (time.Time, bool) { return h.since, h.waits }
func (h *holder) Evict()                          { h.evicted = true }

func open(b *memory.Budget, response bool, bytes int64, since time.Time, waits bool) *holder {
	h := &holder{since: since, waits: waits}
	h.reservation = b.Open(response, h)
	h.reservation.Add(bytes)
	return h
}

func grow(t *testing.T, a *memory.Reservation, now time.Time, class memory.Class, n int64, want memory.Result) {
	t.Helper()
	if got, _ := a.Grow(now, class, n); got != want {
		t.Fatalf("result %d, want %d", got, want)
	}
}

// Guards against closing a caller that makes progress, or one that waits for the daemon, while
// another one has stalled; and against closing more of them than needed.
func TestLongestWithoutProgressIsEvictedFirst(t *testing.T) {
	b := memory.New(16) // 8 MB, 7 MB of them for requests
	now := start.Add(time.Minute)
	fresh := open(b, false, 1_000_000, now.Add(-memory.StalledAfter/2), true)
	working := open(b, false, 1_000_000, start, false)
	stalled := open(b, false, 2_000_000, now.Add(-2*memory.StalledAfter), true)
	longer := open(b, false, 3_000_000, now.Add(-3*memory.StalledAfter), true)
	requester := open(b, false, 0, now, true)
	grow(t, requester.reservation, now, memory.Small, 1_000_000, memory.Evicting)
	if !longer.evicted || stalled.evicted || fresh.evicted || working.evicted {
		t.Fatal("another holder than the longest stalled one was evicted")
	}
	longer.reservation.Close()
	grow(t, requester.reservation, now, memory.Small, 1_000_000, memory.Granted)
	grow(t, requester.reservation, now.Add(time.Second/10), memory.Small, 4_000_000, memory.Evicting)
	stalled.reservation.Close()
	now = now.Add(time.Second / 4)
	grow(t, requester.reservation, now, memory.Small, 6_000_000, memory.Short)
	if fresh.evicted || working.evicted {
		t.Fatal("a holder that has not stalled was evicted")
	}
}

// Guards against stalled holders that keep their memory because an evicted one, whose request goes
// on at its upstream, has not released its own: its bytes counted as about to be released for ever.
func TestOthersAreEvictedIfOneDoesNotRelease(t *testing.T) {
	b := memory.New(16) // 8 MB, 7 MB of them for requests
	now := start.Add(time.Minute)
	open(b, false, 3_000_000, start, true) // never releases
	stalled := []*holder{open(b, false, 2_000_000, start.Add(time.Second), true), open(b, false, 1_500_000, start.Add(2*time.Second), true)}
	requester := open(b, false, 0, now, true)
	grow(t, requester.reservation, now, memory.Small, 1_000_000, memory.Evicting)
	if stalled[0].evicted || stalled[1].evicted {
		t.Fatal("more holders were evicted than needed")
	}
	now = now.Add(time.Second)
	grow(t, requester.reservation, now, memory.Small, 1_000_000, memory.Evicting)
	if !stalled[0].evicted || stalled[1].evicted {
		t.Fatal("the next stalled holder was not evicted, or more than that")
	}
	stalled[0].reservation.Close()
	grow(t, requester.reservation, now, memory.Small, 1_000_000, memory.Granted)
}

// Guards against an endless response that keeps others from completing.
func TestLargestResponseIsEvictedWhereNoneHasStalled(t *testing.T) {
	b := memory.New(16)
	large, small := open(b, true, 7_000_000, start, false), open(b, true, 500_000, start, false)
	grow(t, small.reservation, start, memory.Response, 1_000_000, memory.Evicting)
	if !large.evicted {
		t.Fatal("the largest response was not evicted")
	}
	grow(t, large.reservation, start, memory.Response, 1, memory.Evicted)
	large.reservation.Close()
	grow(t, small.reservation, start, memory.Response, 1_000_000, memory.Granted)
	grow(t, small.reservation, start, memory.Response, 8_000_000, memory.Evicted)
}

// Guards against a host of 184 MB that cannot take the users' largest body of 64 MiB beside small
// requests, and against requests that leave nothing for their responses.
func TestLargestLegalBodyFits(t *testing.T) {
	b := memory.New(184)
	others := open(b, false, 5_000_000, start, false)
	body, response := open(b, false, 0, start, false), open(b, true, 0, start, false)
	grow(t, body.reservation, start, memory.Large, 64<<20, memory.Granted)
	grow(t, others.reservation, start, memory.Small, 20_000_000, memory.Short)
	grow(t, response.reservation, start, memory.Response, 10_000_000, memory.Granted)
	body.reservation.Release(64<<20, 64<<20)
	response.reservation.Close()
	grow(t, others.reservation, start, memory.Large, 64<<20, memory.Granted)
}

// Guards against reservations beyond the budget, and against bytes that stay counted after their
// reservation was closed.
func TestReservationsStayWithinTheBudget(t *testing.T) {
	testkit.Check(t, func(r *rapid.T) {
		b := memory.New(float64(rapid.IntRange(0, 200).Draw(r, "memory")))
		now := start
		var holders []*holder
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * time.Millisecond)
			class := memory.Class(rapid.IntRange(0, 2).Draw(r, "class"))
			if len(holders) == 0 || rapid.Bool().Draw(r, "open") {
				holders = append(holders, open(b, class == memory.Response, 0, now, rapid.Bool().Draw(r, "waits")))
			}
			i := rapid.IntRange(0, len(holders)-1).Draw(r, "holder")
			result, released := holders[i].reservation.Grow(now, class, rapid.Int64Range(0, 70_000_000).Draw(r, "bytes"))
			if used := b.Stats().UsedBytes; used < 0 || used > b.Total() {
				r.Fatalf("%d bytes used of %d", used, b.Total())
			}
			if waits := result == memory.Short || result == memory.Evicting; waits != (released != nil) {
				r.Fatalf("result %d, channel %v", result, released)
			}
			for j := len(holders) - 1; j >= 0; j-- {
				if holders[j].reservation.Evicted() && rapid.Bool().Draw(r, "close") {
					holders[j].reservation.Close()
					holders = append(holders[:j], holders[j+1:]...)
				}
			}
		}
		for _, h := range holders {
			h.reservation.Close()
		}
		if used := b.Stats().UsedBytes; used != 0 {
			r.Fatalf("%d bytes used after all reservations were closed", used)
		}
	})
}

func BenchmarkReserve(b *testing.B) {
	budget := memory.New(0)
	for range 100 {
		open(budget, false, 1000, start, true)
	}
	h := open(budget, false, 0, start, true)
	for b.Loop() {
		_, _ = h.reservation.Grow(start, memory.Small, 1000)
		h.reservation.Release(1000, 0)
	}
}

// Guards against a host that runs out of memory because the buffers of aborted responses wait for the
// garbage collector, which lets them grow to the size of the live heap.
func TestGarbageOfLargeBuffersStaysLimited(t *testing.T) {
	testkit.Check(t, func(r *rapid.T) {
		b := memory.New(184)
		garbage, limit := int64(0), b.Total()/4*5
		b.Collect = func() {
			if b.Stats().UsedBytes+garbage <= limit {
				r.Fatalf("collected with %d bytes of garbage", garbage)
			}
			garbage = 0
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			h := open(b, true, 0, start, false)
			n := rapid.Int64Range(memory.SmallBytes+1, b.Total()).Draw(r, "bytes")
			if result, _ := h.reservation.Grow(start, memory.Response, n); result != memory.Granted {
				r.Fatalf("result %d", result)
			}
			if used := b.Stats().UsedBytes; used+garbage > limit {
				r.Fatalf("%d bytes used and %d of garbage, limit %d", used, garbage, limit)
			}
			h.reservation.Close()
			garbage += n
		}
	})
}
