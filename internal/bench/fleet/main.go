// Command fleet measures pkg/membership, pkg/placement and pkg/peer and prints
// a table, or JSON with -json. It runs with GOMAXPROCS 4.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"
)

// Result is one measured value.
type Result struct {
	Group string  `json:"area"`
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// report collects results.
type report struct{ results []Result }

func (r *report) add(group, name string, value float64, unit string) {
	r.results = append(r.results, Result{Group: group, Name: name, Value: value, Unit: unit})
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the simulations")
	asJSON := flag.Bool("json", false, "print JSON")
	flag.Parse()
	runtime.GOMAXPROCS(4)
	start := time.Now()
	r := &report{}
	benchPlacement(r)
	benchMembership(r, *seed)
	if err := benchPeer(r); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
	r.add("run", "elapsed", time.Since(start).Seconds(), "s")
	if err := r.write(*asJSON); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func (r *report) write(asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r.results)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, x := range r.results {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\n", x.Group, x.Name, x.Value, x.Unit); err != nil {
			return err
		}
	}
	return w.Flush()
}
