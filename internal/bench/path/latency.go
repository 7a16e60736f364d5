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
	// window is how long one run of one rate lasts; slow rates get longer ones,
	// since the 99th percentile needs a few hundred requests.
	window     = 1500 * time.Millisecond
	slowWindow = 4 * time.Second
	slowRate   = 100
	warmRate   = 300
	maxLatency = 10 * time.Second
)

// sample is the latencies of one kind of request in one run.
type sample struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed int
	// err is the first failure.
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
// whether or not earlier ones have ended.
func openLoop(c *client, rate int, length time.Duration, kinds []kind) []*sample {
	samples := make([]*sample, len(kinds))
	for i := range samples {
		samples[i] = newSample()
	}
	gap := time.Second / time.Duration(rate*len(kinds))
	var wg sync.WaitGroup
	start := time.Now()
	for n := range int(length / gap) {
		time.Sleep(time.Until(start.Add(time.Duration(n) * gap)))
		i := n % len(kinds)
		wg.Go(func() { samples[i].add(c.send(kinds[i], n/len(kinds))) })
	}
	wg.Wait()
	for i, s := range samples {
		if s.err != nil {
			fmt.Fprintf(os.Stderr, "%s at %d/s: %d failed, the first with: %v\n", kinds[i].name, rate, s.failed, s.err)
		}
	}
	return samples
}

// added are the differences of one run at p50 and p99, in milliseconds.
type added struct {
	p50, p99, direct50, direct99 float64
	failed                       int
}

func difference(direct, proxied *sample) added {
	at := func(s *sample, q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1e3 }
	return added{at(proxied, 50) - at(direct, 50), at(proxied, 99) - at(direct, 99), at(direct, 50), at(direct, 99), direct.failed + proxied.failed}
}

// latency measures the time added at each rate, each proxied request after a
// direct one of the same method in the same run.
func (b *bench) latency(ctx context.Context) ([]table.Result, error) {
	f, err := b.start(ctx, "latency", 2, true)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	home, other, err := split(ctx, f)
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
	reads, orders := kind{name: "direct", to: direct}, kind{name: "direct order", to: direct, keyed: true}
	pairs := [][2]kind{
		{reads, {name: "naive", to: []string{address}}},
		{reads, {name: "home", to: []string{home.Callers}}},
		{reads, {name: "other", to: []string{other.Callers}}},
		{orders, {name: "keyed", to: []string{home.Callers}, keyed: true}},
	}
	pairs = slices.DeleteFunc(pairs, func(p [2]kind) bool { return !slices.Contains(b.paths, p[1].name) })
	c := newClient()
	for _, p := range pairs {
		openLoop(c, warmRate, time.Second, p[:])
	}
	var rows []table.Result
	for _, rate := range b.rates {
		rows = append(rows, b.latencyRows(c, pairs, rate)...)
	}
	return rows, nil
}

// latencyRows measures the pairs one after the other, slow rates at once.
func (b *bench) latencyRows(c *client, pairs [][2]kind, rate int) []table.Result {
	seen := make([][]added, len(pairs))
	for range b.runs {
		var samples []*sample
		if rate <= slowRate {
			samples = openLoop(c, rate, slowWindow, slices.Concat(flat(pairs)...))
		} else {
			for _, p := range pairs {
				samples = append(samples, openLoop(c, rate, window, p[:])...)
			}
		}
		for i := range pairs {
			seen[i] = append(seen[i], difference(samples[2*i], samples[2*i+1]))
		}
	}
	var rows []table.Result
	for i, p := range pairs {
		rows = append(rows, row(fmt.Sprintf("added, %s, %d/s", p[1].name, rate), seen[i]))
	}
	return rows
}

func flat(pairs [][2]kind) [][]kind {
	out := make([][]kind, len(pairs))
	for i, p := range pairs {
		out[i] = p[:]
	}
	return out
}

// row gives the medians over runs, and the range of the 99th percentile.
func row(name string, runs []added) table.Result {
	r := table.Result{Case: name}
	of := func(pick func(added) float64) []float64 {
		var out []float64
		for _, a := range runs {
			out = append(out, round(pick(a)))
		}
		slices.Sort(out)
		return out
	}
	p99 := of(func(a added) float64 { return a.p99 })
	r.Set("p50 ms", median(of(func(a added) float64 { return a.p50 })))
	r.Set("p99 ms", median(p99))
	r.Set("least p99", p99[0])
	r.Set("most p99", p99[len(p99)-1])
	failed := 0
	for _, a := range runs {
		failed += a.failed
	}
	r.Set("failed", float64(failed))
	r.Set("direct p50", median(of(func(a added) float64 { return a.direct50 })))
	r.Set("direct p99", median(of(func(a added) float64 { return a.direct99 })))
	return r
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }
