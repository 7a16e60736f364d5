// Command confsync measures the time until a change is in force at every daemon
// and the cost of distributing changes. It compares confsync with a naive
// variant, in which each daemon keeps its own watch on the platform.
//
// All daemons run in one process. The CPU time therefore includes the in-memory
// transport and platform. Byte counts cover message bodies without the overhead
// of QUIC.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

type options struct {
	daemons, domains, changes, docs int
	window                          time.Duration
}

// report is the JSON output.
type report struct {
	Latency []latencyResult `json:"latency"`
	Cost    []costResult    `json:"cost"`
}

func main() {
	var o options
	flag.IntVar(&o.daemons, "daemons", 36, "number of daemons in the latency cases")
	flag.IntVar(&o.domains, "domains", 3, "number of failure domains")
	flag.IntVar(&o.changes, "changes", 200, "number of changes per latency case; 0 skips the latency cases")
	flag.IntVar(&o.docs, "docs", 380, "number of documents, of 4 KiB each")
	flag.DurationVar(&o.window, "window", 10*time.Second, "duration of each cost measurement")
	sizes := flag.String("sizes", "36,100,300,1600", "comma-separated fleet sizes of the cost measurements")
	out := flag.String("out", "", "write the results to this file as JSON")

	var c churnOptions
	flag.IntVar(&c.upstreams, "upstreams", 0, "measure only the cost of changing entries, of this many upstreams")
	flag.Float64Var(&c.changes, "churn", 50, "changed entries per second with -upstreams")
	flag.Float64Var(&c.rewrites, "rewrites", 0, "entries per second that are written again unchanged, with -upstreams")
	flag.Parse()
	if c.upstreams > 0 {
		c.daemons, c.domains, c.window = o.daemons, o.domains, o.window
		fmt.Print(measureChurn(c))
		return
	}

	var r report
	fmt.Println("| case | way | p50 ms | p99 ms | max ms | not in force after 5 s | restart ms |\n|---|---|---|---|---|---|---|")
	for _, name := range []string{"all well", "relays killed", "domain cut in one direction", "platform down at start"} {
		for _, naive := range []bool{false, true} {
			if o.changes > 0 {
				r.Latency = append(r.Latency, measureLatency(name, o, naive))
				fmt.Println(r.Latency[len(r.Latency)-1])
			}
		}
	}
	fmt.Println("\n| daemons | way | idle messages/s | idle B/s | idle CPU % | messages/s | B/s | B/s of the busiest | CPU % | pending watches | platform calls per change |\n|---|---|---|---|---|---|---|---|---|---|---|")
	for size := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			continue
		}
		for _, naive := range []bool{false, true} {
			r.Cost = append(r.Cost, measureCost(n, o, naive))
			fmt.Println(r.Cost[len(r.Cost)-1])
		}
	}
	if *out == "" {
		return
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		err = os.WriteFile(*out, b, 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
