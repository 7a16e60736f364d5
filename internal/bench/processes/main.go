// Command processes measures a fleet of real processes on loopback: the resource
// use of a daemon as the fleet grows, the time until a change is in force, and
// the requests that fail when daemons are replaced or killed.
//
//	go run ./internal/bench/processes -run rolling,kill,change,cost -json out.json
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
	requests    int
	sizes       []int
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	cases := flag.String("run", "rolling,kill,domain,change,cost", "comma-separated list of cases")
	out := flag.String("json", "", "write the results to this file as JSON")
	requests := flag.Int("requests", 100_000, "minimum number of requests in the case rolling")
	sizes := flag.String("sizes", "36,100,200", "comma-separated fleet sizes of the case cost")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	dir, err := os.MkdirTemp("", "processes")
	if err != nil {
		return err
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	}
	b := &bench{binDir: dir, dir: dir, requests: *requests}
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			return errors.Wrap(err, "-sizes")
		}
		b.sizes = append(b.sizes, n)
	}
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", b.binDir, "shallotglade/cmd/...").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", output)
	}
	results, err := b.runCases(ctx, strings.Split(*cases, ","))
	if *out != "" && len(results) > 0 {
		data, _ := json.MarshalIndent(results, "", "  ")
		err = errors.CombineErrors(err, os.WriteFile(*out, data, 0o600))
	}
	return err
}

func (b *bench) runCases(ctx context.Context, names []string) ([]table.Result, error) {
	benchCases := map[string]func(context.Context) ([]table.Result, error){
		"rolling": b.rolling, "kill": b.killThird, "domain": b.killDomain, "change": b.change, "cost": b.cost,
	}
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
