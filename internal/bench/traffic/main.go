// Command traffic simulates pkg/routing, pkg/limits, pkg/retry and pkg/poison in
// virtual time. It measures how many homes a service should have, what its
// callers see under overload, how much load retries add, and how many upstreams
// one request takes down. It prints tables and, with -json, writes the same rows.
//
//	go run ./internal/bench/traffic -seed 20261204 -json traffic.json
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// workers is the number of rows computed concurrently. It is small because the
// machine is shared.
const workers = 4

type table struct {
	Title  string     `json:"title"`
	Header []string   `json:"header"`
	Rows   [][]string `json:"rows"`
	jobs   []func(*rand.Rand) []string
}

func main() {
	seed := flag.Uint64("seed", 20261204, "seed of the simulations")
	duration := flag.Duration("span", 12*time.Second, "virtual time of each run")
	path := flag.String("json", "", "file to write the rows to as JSON")
	flag.Parse()
	tables := []*table{
		homesTable(*duration), choiceTable(*duration), callersTable(*duration),
		orderTable(*duration), retriesTable(*duration), poisonTable(),
	}
	run(tables, *seed)
	for _, t := range tables {
		t.print()
	}
	if *path == "" {
		return
	}
	b, err := json.MarshalIndent(tables, "", "  ")
	if err == nil {
		err = os.WriteFile(*path, append(b, '\n'), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "traffic:", err)
		os.Exit(1)
	}
}

// run computes the rows of all tables. Each row has its own random source, so
// the result does not depend on the order of computation.
func run(tables []*table, seed uint64) {
	free := make(chan struct{}, workers)
	var wg sync.WaitGroup
	for ti, t := range tables {
		t.Rows = make([][]string, len(t.jobs))
		for ri, job := range t.jobs {
			free <- struct{}{}
			wg.Go(func() {
				t.Rows[ri] = job(rand.New(rand.NewPCG(seed, uint64(ti<<16|ri))))
				<-free
			})
		}
	}
	wg.Wait()
}

func (t *table) print() {
	fmt.Printf("\n%s\n", t.Title)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		_, _ = w.Write([]byte(strings.Join(row, "\t") + "\t\n"))
	}
	_ = w.Flush()
}

func formatMs(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

func formatPercent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", 100*float64(part)/float64(whole))
}

func formatCount(n int) string { return fmt.Sprint(n) }
