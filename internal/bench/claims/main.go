// Command claims measures the load that the at-most-once ledger puts on the
// platform. It compares one object per key with batched buckets, on a memstore
// with injected latency and a write rate limit.
//
//	go run ./internal/bench/claims [-json file] [-sustained]
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"shallotglade/pkg/claims"
	"shallotglade/pkg/platform/memstore"
)

const (
	// maxProcs limits the goroutines that run in parallel.
	maxProcs = 4
	// More scenarios than maxProcs can run concurrently, because they spend most
	// of their time waiting.
	maxConcurrentScenarios = 8
)

func main() {
	out := flag.String("json", "", "write the results to this file as JSON")
	sustained := flag.Bool("sustained", false, "measure 40 s runs around the write limit instead of short runs")
	flag.Parse()
	runtime.GOMAXPROCS(maxProcs)
	started := time.Now()
	selected := scenarios()
	if *sustained {
		selected = sustainedScenarios()
	}
	results := measureAll(selected)
	printTable(results)
	printBucketSizes()
	fmt.Printf("\ntook %.0f s\n", time.Since(started).Seconds())
	if *out != "" {
		data, err := json.MarshalIndent(results, "", " ")
		if err == nil {
			err = os.WriteFile(*out, data, 0o600)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func scenarios() []scenario {
	var list []scenario
	add := func(layout string, buckets int, latency time.Duration, daemons int) {
		for _, sameHome := range []bool{false, true} {
			// At 2 writes per order the write limit allows 150 orders/s, at 3
			// writes 100 orders/s; 130 lies between.
			for _, rate := range []int{1, 10, 50, 130, 200, 1000} {
				duration := 2 * time.Second
				if rate == 1 || rate == 130 {
					duration = 4 * time.Second
				}
				list = append(list, scenario{layout, buckets, latency, daemons, sameHome, rate, duration})
			}
		}
	}
	for _, latency := range []time.Duration{2 * time.Millisecond, 10 * time.Millisecond} {
		for _, daemons := range []int{3, 6, 12} {
			add("objects", claims.MaxBuckets, latency, daemons)
			add("buckets", claims.DefaultBuckets, latency, daemons)
		}
		add("buckets", 16, latency, 6)
	}
	return list
}

// sustainedScenarios returns runs that are long enough to include the writes of
// outcomes and clean-up, and to hit buckets that already hold entries.
func sustainedScenarios() []scenario {
	const duration, latency, daemons = 40 * time.Second, 10 * time.Millisecond, 6
	var list []scenario
	for _, rate := range []int{100, 145, 200, 280} {
		list = append(list,
			scenario{"buckets", claims.DefaultBuckets, latency, daemons, false, rate, duration},
			scenario{"objects", claims.MaxBuckets, latency, daemons, false, rate, duration})
	}
	return list
}

func measureAll(list []scenario) []measurement {
	results := make([]measurement, len(list))
	slots := make(chan struct{}, maxConcurrentScenarios)
	var group sync.WaitGroup
	for i, s := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), s.Duration+3*time.Second)
			defer cancel()
			results[i] = s.measure(ctx)
		})
	}
	group.Wait()
	slices.SortStableFunc(results, func(a, b measurement) int {
		return cmp.Or(cmp.Compare(a.Layout, b.Layout), cmp.Compare(a.Buckets, b.Buckets),
			cmp.Compare(a.Latency, b.Latency), cmp.Compare(a.Rate, b.Rate), cmp.Compare(a.Daemons, b.Daemons))
	})
	return results
}

func printTable(results []measurement) {
	fmt.Println("| layout | latency | orders/s | daemons | same home | won | refused | writes/order | clean-up/order | reads/order | p50 ms | p99 ms | conflicts | bytes/order |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, m := range results {
		layout := m.Layout
		if m.Layout == "buckets" {
			layout = fmt.Sprint(m.Layout, " ", m.Buckets)
		}
		perOrder := func(n int64) float64 { return float64(n) / float64(max(m.Won, 1)) }
		fmt.Printf("| %s | %v | %d | %d | %v | %d | %d | %.2f | %.2f | %.2f | %.1f | %.1f | %d | %d |\n",
			layout, m.Latency, m.Rate, m.Daemons, m.SameHome, m.Won, m.Refused,
			perOrder(m.Writes), perOrder(m.Deletes), perOrder(m.Reads), milliseconds(m.P50), milliseconds(m.P99), m.Conflicts, m.BytesPerOrder)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// printBucketSizes prints the size of a bucket with n entries and the time of a
// claim in it.
func printBucketSizes() {
	fmt.Println("\n| entries in the bucket | value bytes | claim ms (no latency) |")
	fmt.Println("|---|---|---|")
	ctx := context.Background()
	store := memstore.New()
	s := scenario{Layout: "buckets", Buckets: 1}
	ledger := s.newLedger(claims.Config{Store: store, MaxAttempts: 1 << 20})
	claim := func(i int) {
		_, _ = ledger.Claim(ctx, claims.Key{Service: service, Key: fmt.Sprint(i)}, claims.Attempt{ID: claims.NewAttemptID()})
	}
	filled := 0
	for _, n := range []int{10, 100, 1000, 10_000} {
		var group sync.WaitGroup
		for ; filled < n; filled++ {
			i := filled
			group.Go(func() { claim(i) })
		}
		group.Wait()
		const repeats = 20
		started := time.Now()
		for i := range repeats {
			claim(1_000_000 + n + i)
		}
		took := time.Since(started) / repeats
		o, err := store.Get(ctx, "claims/"+service+"/0000")
		if err != nil {
			panic(err)
		}
		fmt.Printf("| %d | %d | %.2f |\n", n, len(o.Value), milliseconds(took))
	}
}
