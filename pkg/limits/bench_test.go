package limits_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"shallotglade/pkg/limits"
)

func BenchmarkGate(b *testing.B) {
	g := limits.NewGate(limits.DefaultPolicy(), 24, time.Now, newRand())
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		p, err := g.Acquire(ctx, limits.Request{Caller: "caller"})
		if err != nil {
			b.Fatal(err)
		}
		p.Release()
	}
}

// BenchmarkCallers reports the memory used per caller.
func BenchmarkCallers(b *testing.B) {
	const callers = 62000
	var before, after runtime.MemStats
	for b.Loop() {
		names := make([]string, callers)
		for i := range names {
			names[i] = fmt.Sprint("caller-", i)
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		q := limits.NewQueue(limits.DefaultPolicy(), 24)
		for i, name := range names {
			t := limits.Ticket{ID: uint64(i), Caller: name}
			q.Offer(epoch, t)
			q.Done(epoch, t)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(q.Callers()), "B/caller")
	}
}

// BenchmarkWaiting measures a ticket that is refused (offer), and one that ends and lets
// another start (done), while many tickets wait, some of which have missed their target.
func BenchmarkWaiting(b *testing.B) {
	for _, n := range []int{100, 1000} {
		for _, callers := range []int{10, 500} {
			now := epoch
			q := limits.NewQueue(limits.Policy{MaxQueue: 4 * n, MaxWait: time.Hour}, 1)
			id := uint64(0)
			offer := func(deadline time.Duration) (limits.Ticket, limits.Decision) {
				id++
				t := limits.Ticket{ID: id, Caller: fmt.Sprint("c", id%uint64(callers)), Deadline: now.Add(deadline), Target: now.Add(time.Duration(id%7) * time.Minute)}
				return t, q.Offer(now, t)
			}
			running, _ := offer(time.Hour)
			for q.Waiting() < n {
				offer(time.Hour)
			}
			now = now.Add(time.Second)
			b.Run(fmt.Sprintf("offer/%d/%d", n, callers), func(b *testing.B) {
				for b.Loop() {
					if _, d := offer(26 * time.Millisecond); d.Action != limits.Refuse {
						b.Fatal("not refused")
					}
				}
			})
			b.Run(fmt.Sprintf("done/%d/%d", n, callers), func(b *testing.B) {
				for b.Loop() {
					running = q.Done(now, running)[0]
					for q.Waiting() < n {
						offer(time.Hour)
					}
				}
			})
		}
	}
}
