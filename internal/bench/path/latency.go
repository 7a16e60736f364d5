package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"shallotglade/internal/bench/table"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// runDuration is the length of one run at one rate. Rates up to maxSlowRate
	// use slowRunDuration, because the 99th percentile needs a few hundred
	// requests.
	runDuration     = 1500 * time.Millisecond
	slowRunDuration = 4 * time.Second
	maxSlowRate     = 100
	warmUpRate      = 300
	maxLatency      = 10 * time.Second
)

// sample holds the latencies of one kind of request in one run.
type sample struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed int
	// err is the first error.
	err error
}

func newSample() *sample {
	return &sample{hist: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (s *sample) add(took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		err = s.hist.RecordValue(took.Microseconds())
	}
	if err != nil {
		s.failed++
		s.err = cmp.Or(s.err, err)
	}
}

// openLoop sends requests of all kinds in turn, each kind at the given rate,
// without waiting for earlier requests to complete.
func openLoop(c *client, rate int, duration time.Duration, kinds []requestKind) []*sample {
	samples := make([]*sample, len(kinds))
	for i := range samples {
		samples[i] = newSample()
	}
	gap := time.Second / time.Duration(rate*len(kinds))
	var wg sync.WaitGroup
	start := time.Now()
	for n := range int(duration / gap) {
		time.Sleep(time.Until(start.Add(time.Duration(n) * gap)))
		i := n % len(kinds)
		wg.Go(func() { samples[i].add(c.send(kinds[i], n/len(kinds))) })
	}
	wg.Wait()
	for i, s := range samples {
		if s.err != nil {
			fmt.Fprintf(os.Stderr, "%s at %d/s: %d requests failed, first error: %v\n", kinds[i].name, rate, s.failed, s.err)
		}
	}
	return samples
}

// addedLatency holds the latency that a proxy added in one run, at p50 and p99,
// and the latency of the direct requests. All values are in milliseconds.
type addedLatency struct {
	p50, p99, direct50, direct99 float64
	failed                       int
}

func difference(direct, proxied *sample) addedLatency {
	quantileMs := func(s *sample, q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1e3 }
	return addedLatency{quantileMs(proxied, 50) - quantileMs(direct, 50), quantileMs(proxied, 99) - quantileMs(direct, 99), quantileMs(direct, 50), quantileMs(direct, 99), direct.failed + proxied.failed}
}

// latency measures the latency that each path adds at each rate. Every run
// alternates proxied requests with direct requests of the same method.
func (b *bench) latency(ctx context.Context) ([]table.Result, error) {
	f, err := b.startFleet(ctx, "latency", 2, true)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	home, other, err := findHomeAndOther(ctx, f)
	if err != nil {
		return nil, err
	}
	address, naive, err := startNaive(ctx, f)
	if err != nil {
		return nil, err
	}
	defer func() { _ = naive.Process.Kill(); _ = naive.Wait() }()
	var direct []string
	for _, u := range f.Upstreams {
		direct = append(direct, u.Address)
	}
	reads, orders := requestKind{name: "direct", addresses: direct}, requestKind{name: "direct order", addresses: direct, keyed: true}
	pairs := [][2]requestKind{
		{reads, {name: "naive", addresses: []string{address}}},
		{reads, {name: "home", addresses: []string{home.CallerAddress}}},
		{reads, {name: "other", addresses: []string{other.CallerAddress}}},
		{orders, {name: "keyed", addresses: []string{home.CallerAddress}, keyed: true}},
	}
	pairs = slices.DeleteFunc(pairs, func(p [2]requestKind) bool { return !slices.Contains(b.paths, p[1].name) })
	c := newClient()
	for _, p := range pairs {
		openLoop(c, warmUpRate, time.Second, p[:])
	}
	var rows []table.Result
	for _, rate := range b.rates {
		rows = append(rows, b.latencyRows(c, pairs, rate)...)
	}
	return rows, nil
}

// latencyRows measures the pairs one after the other, or all pairs in one loop at
// rates up to maxSlowRate, where runs are longer.
func (b *bench) latencyRows(c *client, pairs [][2]requestKind, rate int) []table.Result {
	pairResults := make([][]addedLatency, len(pairs))
	for range b.runs {
		var samples []*sample
		if rate <= maxSlowRate {
			samples = openLoop(c, rate, slowRunDuration, slices.Concat(kindSlices(pairs)...))
		} else {
			for _, p := range pairs {
				samples = append(samples, openLoop(c, rate, runDuration, p[:])...)
			}
		}
		for i := range pairs {
			pairResults[i] = append(pairResults[i], difference(samples[2*i], samples[2*i+1]))
		}
	}
	var rows []table.Result
	for i, p := range pairs {
		rows = append(rows, summaryRow(fmt.Sprintf("added, %s, %d/s", p[1].name, rate), pairResults[i]))
	}
	return rows
}

func kindSlices(pairs [][2]requestKind) [][]requestKind {
	out := make([][]requestKind, len(pairs))
	for i, p := range pairs {
		out[i] = p[:]
	}
	return out
}

// summaryRow returns the medians over all runs and the range of the 99th
// percentile.
func summaryRow(name string, runs []addedLatency) table.Result {
	r := table.Result{Case: name}
	sortedValues := func(pick func(addedLatency) float64) []float64 {
		var out []float64
		for _, a := range runs {
			out = append(out, round(pick(a)))
		}
		slices.Sort(out)
		return out
	}
	p99 := sortedValues(func(a addedLatency) float64 { return a.p99 })
	r.Set("p50 ms", median(sortedValues(func(a addedLatency) float64 { return a.p50 })))
	r.Set("p99 ms", median(p99))
	r.Set("least p99", p99[0])
	r.Set("most p99", p99[len(p99)-1])
	failed := 0
	for _, a := range runs {
		failed += a.failed
	}
	r.Set("failed", float64(failed))
	r.Set("direct p50", median(sortedValues(func(a addedLatency) float64 { return a.direct50 })))
	r.Set("direct p99", median(sortedValues(func(a addedLatency) float64 { return a.direct99 })))
	return r
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }
