package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"time"
)

func main() { os.Exit(runSeeds()) }

// runSeeds runs the seeds and returns the exit code.
func runSeeds() int {
	bin := flag.String("bin", "bin", "directory of the programs")
	seeds := flag.Int("seeds", 10, "number of random seeds to run")
	seed := flag.Uint64("seed", 0, "run only this seed")
	logs := flag.String("logs", filepath.Join(os.TempDir(), "soak"), "directory for the logs of failed seeds")
	cfg := runConfig{}
	flag.IntVar(&cfg.daemons, "daemons", 9, "number of daemons")
	flag.IntVar(&cfg.upstreams, "upstreams", 12, "number of upstreams")
	flag.IntVar(&cfg.callers, "callers", 12, "number of callers")
	flag.DurationVar(&cfg.duration, "length", 15*time.Second, "period in which faults start")
	flag.DurationVar(&cfg.settle, "settle", 14*time.Second, "period after the last fault in runs with accounts; it must exceed 11s for changes of allowances to be checked to the end")
	flag.BoolVar(&cfg.plannedStops, "stops", false, "only planned stops of daemons, and no faults")
	flag.Parse()
	list := []uint64{*seed}
	if *seed == 0 {
		list = list[:0]
		for range *seeds {
			list = append(list, uint64(rand.Uint32()))
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed := 0
	for _, s := range list {
		if ctx.Err() != nil || !runAndReport(ctx, *bin, *logs, s, cfg) {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, len(list))
	if failed > 0 {
		return 1
	}
	return 0
}

// runAndReport runs a seed, prints the result and reports success. The logs are kept
// if the seed failed.
func runAndReport(ctx context.Context, bin, logs string, seed uint64, cfg runConfig) bool {
	dir := filepath.Join(logs, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	run, faults := runSeed, planFaults(seed, cfg.duration, cfg.daemons, cfg.upstreams)
	if cfg.plannedStops {
		run, faults = runStops, nil
	}
	problems, err := run(ctx, bin, dir, seed, cfg)
	if err != nil {
		problems = append(problems, err.Error())
	}
	if len(problems) == 0 {
		fmt.Printf("seed %d: all checks passed\n", seed)
		os.RemoveAll(dir)
		return true
	}
	fmt.Printf("seed %d: %d problems, logs in %s\n", seed, len(problems), dir)
	for _, f := range faults {
		fmt.Println("  fault:", f)
	}
	for _, p := range problems {
		fmt.Println("  problem:", p)
	}
	return false
}
