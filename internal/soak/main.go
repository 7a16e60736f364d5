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

func main() { os.Exit(execute()) }

// execute plays the seeds and returns the exit code.
func execute() int {
	bin := flag.String("bin", "bin", "folder of the programs")
	seeds := flag.Int("seeds", 10, "how many fresh seeds to play")
	seed := flag.Uint64("seed", 0, "play this seed only")
	logs := flag.String("logs", filepath.Join(os.TempDir(), "soak"), "folder for the logs of seeds that fail")
	n := size{}
	flag.IntVar(&n.daemons, "daemons", 9, "daemons")
	flag.IntVar(&n.upstreams, "upstreams", 12, "upstreams")
	flag.IntVar(&n.callers, "callers", 12, "callers")
	flag.DurationVar(&n.length, "length", 15*time.Second, "time in which faults begin")
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
		if ctx.Err() != nil || !report(ctx, *bin, *logs, s, n) {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, len(list))
	if failed > 0 {
		return 1
	}
	return 0
}

// report plays a seed and prints its result; the logs stay if it failed.
func report(ctx context.Context, bin, logs string, seed uint64, n size) bool {
	dir := filepath.Join(logs, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	problems, err := play(ctx, bin, dir, seed, n)
	if err != nil {
		problems = append(problems, err.Error())
	}
	if len(problems) == 0 {
		fmt.Printf("seed %d: all promises kept\n", seed)
		os.RemoveAll(dir)
		return true
	}
	fmt.Printf("seed %d: %d problems, logs in %s\n", seed, len(problems), dir)
	for _, f := range plan(seed, n.length, n.daemons, n.upstreams) {
		fmt.Println("  fault:", f)
	}
	for _, p := range problems {
		fmt.Println("  broken:", p)
	}
	return false
}
