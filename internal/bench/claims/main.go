// Command claims measures what the at-most-once ledger costs the platform, with
// an object per key and with batched buckets, against a memstore with injected
// latency and a limit on writes.
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
	// busy bounds the goroutines that run at a time.
	busy = 4
	// atOnce is how many scenarios run at a time; they mostly wait.
	atOnce = 8
)

func main() {
	out := flag.String("json", "", "file for the results as JSON")
	sustained := flag.Bool("sustained", false, "measure 40 s runs around the limit instead of short ones")
	flag.Parse()
	runtime.GOMAXPROCS(busy)
	started := time.Now()
	all := scenarios()
	if *sustained {
		all = sustainedScenarios()
	}
	results := measureAll(all)
	printTable(results)
	printSizes()
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
	var all []scenario
	add := func(layout string, buckets int, latency time.Duration, daemons int) {
		for _, same := range []bool{false, true} {
			// 130 lies between what 2 and 3 writes an order allow.
			for _, rate := range []int{1, 10, 50, 130, 200, 1000} {
				duration := 2 * time.Second
				if rate == 1 || rate == 130 {
					duration = 4 * time.Second
				}
				all = append(all, scenario{layout, buckets, latency, daemons, same, rate, duration})
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
	return all
}

// sustainedScenarios run long enough for outcomes and clean-up to be paid for
// and for buckets to be met again.
func sustainedScenarios() []scenario {
	const duration, latency, daemons = 40 * time.Second, 10 * time.Millisecond, 6
	var all []scenario
	for _, rate := range []int{100, 145, 200, 280} {
		all = append(all,
			scenario{"buckets", claims.DefaultBuckets, latency, daemons, false, rate, duration},
			scenario{"objects", claims.MaxBuckets, latency, daemons, false, rate, duration})
	}
	return all
}

func measureAll(all []scenario) []measurement {
	results := make([]measurement, len(all))
	slots := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	for i, s := range all {
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
		per := func(n int64) float64 { return float64(n) / float64(max(m.Won, 1)) }
		fmt.Printf("| %s | %v | %d | %d | %v | %d | %d | %.2f | %.2f | %.2f | %.1f | %.1f | %d | %d |\n",
			layout, m.Latency, m.Rate, m.Daemons, m.SameHome, m.Won, m.Refused,
			per(m.Writes), per(m.Deletes), per(m.Reads), ms(m.P50), ms(m.P99), m.Conflicts, m.BytesPerOrder)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// printSizes shows what a claim costs in a bucket that holds n entries.
func printSizes() {
	fmt.Println("\n| entries in the bucket | value bytes | claim ms (no latency) |")
	fmt.Println("|---|---|---|")
	ctx := context.Background()
	store := memstore.New()
	s := scenario{Layout: "buckets", Buckets: 1}
	ledger := s.open(claims.Config{Store: store, MaxAttempts: 1 << 20})
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
		fmt.Printf("| %d | %d | %.2f |\n", n, len(o.Value), ms(took))
	}
}
