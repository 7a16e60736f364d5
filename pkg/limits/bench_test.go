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
	g := limits.NewGate(limits.DefaultPolicy(), 24, time.Now)
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
