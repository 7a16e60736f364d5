// Command processes measures a fleet of real processes on loopback: what a
// daemon costs as the fleet grows, how soon a change is in force, and what is
// lost when daemons are replaced or killed.
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

// bench is what all cases share.
type bench struct {
	bin, dir string
	requests int
	sizes    []int
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	cases := flag.String("run", "rolling,kill,domain,change,cost", "cases, comma-separated")
	out := flag.String("json", "", "file for the results in JSON")
	requests := flag.Int("requests", 100_000, "least requests of the case rolling")
	sizes := flag.String("sizes", "36,100,200", "numbers of daemons of the case cost")
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
	b := &bench{bin: dir, dir: dir, requests: *requests}
	for _, s := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			return errors.Wrap(err, "-sizes")
		}
		b.sizes = append(b.sizes, n)
	}
	if text, err := exec.CommandContext(ctx, "go", "build", "-o", b.bin, "shallotglade/cmd/...").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", text)
	}
	all, err := b.runCases(ctx, strings.Split(*cases, ","))
	if *out != "" && len(all) > 0 {
		data, _ := json.MarshalIndent(all, "", "  ")
		err = errors.CombineErrors(err, os.WriteFile(*out, data, 0o600))
	}
	return err
}

func (b *bench) runCases(ctx context.Context, names []string) ([]table.Result, error) {
	known := map[string]func(context.Context) ([]table.Result, error){
		"rolling": b.rolling, "kill": b.killThird, "domain": b.killDomain, "change": b.change, "cost": b.cost,
	}
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
