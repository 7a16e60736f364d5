// Command path measures what the request path adds to a request: real daemons,
// a platform stand-in and upstream stand-ins on loopback, each proxied request
// next to a direct one to the same upstreams.
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

// bench is what all cases share.
type bench struct {
	bin, dir string
	runs     int
	rates    []int
	paths    []string
}

func main() {
	naive := flag.String("naive", "", "serve the naive proxy on this address; the bench starts itself so")
	upstreams := flag.String("upstreams", "", "addresses of the naive proxy's upstreams, comma-separated")
	cases := flag.String("run", "latency,core,allocs", "cases, comma-separated")
	out := flag.String("json", "", "file for the results in JSON")
	runs := flag.Int("runs", 3, "runs of each latency case, of which the median counts")
	rates := flag.String("rates", "50,200,1000", "proxied requests a second of the case latency")
	paths := flag.String("paths", "naive,home,other,keyed", "paths of the case latency: the naive proxy, a home, a daemon that is none, a home with keyed orders")
	keep := flag.String("dir", "", "directory for programs, settings and logs, which is kept; by default a temporary one")
	flag.Parse()
	var err error
	if *naive != "" {
		err = serveNaive(*naive, strings.Split(*upstreams, ","))
	} else {
		b := &bench{dir: *keep, runs: max(*runs, 1), paths: strings.Split(*paths, ",")}
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
	b.bin = b.dir
	for _, text := range rates {
		rate, err := strconv.Atoi(text)
		if err != nil || rate < 1 {
			return errors.Newf("-rates: found %q, allowed: whole numbers above 0", text)
		}
		b.rates = append(b.rates, rate)
	}
	if text, err := exec.CommandContext(ctx, "go", "build", "-o", b.bin, "shallotglade/cmd/...").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", text)
	}
	all, err := b.runCases(ctx, cases)
	if out != "" && len(all) > 0 {
		data, _ := json.MarshalIndent(all, "", "  ")
		err = errors.CombineErrors(err, os.WriteFile(out, append(data, '\n'), 0o600))
	}
	return err
}

func (b *bench) runCases(ctx context.Context, names []string) ([]table.Result, error) {
	known := map[string]func(context.Context) ([]table.Result, error){"latency": b.latency, "core": b.core, "allocs": b.allocs}
	var all []table.Result
	for _, name := range names {
		f, ok := known[name]
		if !ok {
			return all, errors.Newf("-run: unknown case %q", name)
		}
		rows, err := f(ctx)
		for i := range rows {
			rows[i].Print()
		}
		all = append(all, rows...)
		if err != nil {
			return all, errors.Wrap(err, name)
		}
	}
	return all, nil
}
