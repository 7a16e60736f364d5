// Command path measures the latency, CPU time and allocations that the request
// path adds to a request. It runs real daemons, a platform stand-in and upstream
// stand-ins on loopback, and sends direct requests to the same upstreams for
// comparison.
//
//	go run ./internal/bench/path -run latency,core,allocs -runs 3 -json out.json
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"

	"shallotglade/internal/bench/table"

	"github.com/cockroachdb/errors"
)

// bench holds the settings that all cases share.
type bench struct {
	binDir, dir string
	runs        int
	rates       []int
	paths       []string
}

func main() {
	naive := flag.String("naive", "", "run as the naive proxy on this address (used by the benchmark itself)")
	upstreams := flag.String("upstreams", "", "comma-separated upstream addresses of the naive proxy")
	cases := flag.String("run", "latency,core,allocs", "comma-separated list of cases")
	out := flag.String("json", "", "write the results to this file as JSON")
	runs := flag.Int("runs", 3, "number of runs per latency case; the median is reported")
	rates := flag.String("rates", "50,200,1000", "comma-separated rates of the case latency, in proxied requests per second")
	paths := flag.String("paths", "naive,home,other,keyed", "comma-separated paths of the case latency: naive (naive proxy), home, other (a daemon that is not a home), keyed (orders with an idempotency key to a home)")
	workDir := flag.String("dir", "", "directory for programs, settings and logs, kept after the run; the default is a temporary directory")
	flag.Parse()
	var err error
	if *naive != "" {
		err = serveNaive(*naive, strings.Split(*upstreams, ","))
	} else {
		b := &bench{dir: *workDir, runs: max(*runs, 1), paths: strings.Split(*paths, ",")}
		err = b.run(strings.Split(*cases, ","), strings.Split(*rates, ","), *out)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "path:", err)
		os.Exit(1)
	}
}

func (b *bench) run(cases, rates []string, out string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if b.dir == "" {
		dir, err := os.MkdirTemp("", "path")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		b.dir = dir
	}
	b.binDir = b.dir
	for _, value := range rates {
		rate, err := strconv.Atoi(value)
		if err != nil || rate < 1 {
			return errors.Newf("-rates: found %q, allowed: whole numbers above 0", value)
		}
		b.rates = append(b.rates, rate)
	}
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", b.binDir, "shallotglade/cmd/...").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", output)
	}
	results, err := b.runCases(ctx, cases)
	if out != "" && len(results) > 0 {
		data, _ := json.MarshalIndent(results, "", "  ")
		err = errors.CombineErrors(err, os.WriteFile(out, append(data, '\n'), 0o600))
	}
	return err
}

func (b *bench) runCases(ctx context.Context, names []string) ([]table.Result, error) {
	benchCases := map[string]func(context.Context) ([]table.Result, error){"latency": b.latency, "core": b.core, "allocs": b.allocs}
	var results []table.Result
	for _, name := range names {
		f, ok := benchCases[name]
		if !ok {
			return results, errors.Newf("-run: unknown case %q", name)
		}
		rows, err := f(ctx)
		for i := range rows {
			rows[i].Print()
		}
		results = append(results, rows...)
		if err != nil {
			return results, errors.Wrap(err, name)
		}
	}
	return results, nil
}
