// Command detection measures detection time and false ejections of
// pkg/detector and pkg/ejection against two naive detectors, with seeded
// outcomes in virtual time. It prints a table and writes JSON.
//
//	go run ./internal/bench/detection -seed 1 -json out.json -plot dir
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// workers is the number of simulations that run concurrently.
const workers = 4

// options holds the command-line flags.
type options struct {
	Seed   uint64  `json:"seed"`
	Trials int     `json:"trialsPerCell"`
	Days   float64 `json:"upstreamDaysPerService"`
	Hours  float64 `json:"hoursOfMisleadingProbes"`
	// Weight replaces the weights of the deployments if it is not negative.
	Weight float64 `json:"weight"`
	json   string
	plot   string
}

func main() {
	var o options
	flag.Uint64Var(&o.Seed, "seed", 20261204, "seed of all random numbers")
	flag.IntVar(&o.Trials, "trials", 30, "trials per service, fault and detector")
	flag.Float64Var(&o.Days, "days", 2, "upstream-days of healthy work per service")
	flag.Float64Var(&o.Hours, "hours", 0.5, "hours of misleading probes with 36 daemons")
	flag.Float64Var(&o.Weight, "weight", -1, "weight of all services instead of the deployments' weights, 0 to 1")
	flag.StringVar(&o.json, "json", "", "file for the results as JSON")
	flag.StringVar(&o.plot, "plot", "", "directory for plots (PNG)")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "detection:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	start := time.Now()
	for i := range services {
		if o.Weight >= 0 {
			services[i].Weight = o.Weight
		}
	}
	r := measure(o)
	r.print(os.Stdout)
	fmt.Printf("\nseed %d, %d trials per cell, wall time %.0f s\n", o.Seed, o.Trials, time.Since(start).Seconds())
	if o.json != "" {
		value, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.json, append(value, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.plot != "" {
		return r.plot(o.plot)
	}
	return nil
}

// newDetector creates a detector by name.
func newDetector(name string, s service, homes int, seed uint64) failureDetector {
	switch name {
	case "consecutive-5":
		return newConsecutive(s, homes)
	case "outlier-10s":
		return newOutlier(s, homes)
	default:
		return newFleetDetector(s, homes, seed)
	}
}

var detectorNames = []string{"consecutive-5", "outlier-10s", fleetDetectorName}

// measure runs all cells, at most four at a time. The seed of a cell depends
// only on its service and fault, so all detectors see the same random numbers
// and the result does not depend on scheduling.
func measure(o options) *report {
	r := newReport(o)
	var jobs []func()
	for si, s := range services {
		jobs = append(jobs, func() { r.Healthy[si] = healthyCell(o, si, s) })
		for fi, f := range faults {
			for di, name := range detectorNames {
				jobs = append(jobs, func() { r.Cells[si][fi][di] = faultCell(o, si, fi, s, f, name) })
			}
		}
	}
	for i := range r.Probes {
		jobs = append(jobs, func() { r.Probes[i] = misleadingProbesCell(o, i) })
	}
	next := make(chan func())
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for job := range next {
				job()
			}
		})
	}
	for _, job := range jobs {
		next <- job
	}
	close(next)
	group.Wait()
	return r
}

func healthyCell(o options, si int, s service) healthyResult {
	var detectors []failureDetector
	for _, name := range detectorNames {
		detectors = append(detectors, newDetector(name, s, homesPerService, o.Seed))
	}
	return healthyResult{Service: s.Name, Rates: runHealthy(s, homesPerService, detectors, o.Days, 0, o.Seed+uint64(si))}
}

func faultCell(o options, si, fi int, s service, f fault, name string) cell {
	trials := make([]trial, 0, o.Trials)
	for i := range o.Trials {
		seed := o.Seed + uint64(si*1_000_000+fi*10_000+i)
		trials = append(trials, runTrial(s, f, newDetector(name, s, homesPerService, seed), seed))
	}
	return summarise(s, f, name, trials)
}

// misleadingProbesCell simulates a healthy service of 6 upstreams, of which 2
// fail all probes. All 36 daemons send requests and detect failures.
func misleadingProbesCell(o options, i int) probeResult {
	const daemons, misleading = 36, 2
	s := services[[]int{0, 3}[i]]
	days := o.Hours / 24 * float64(s.Upstreams)
	d := newDetector(fleetDetectorName, s, daemons, o.Seed)
	rate := runHealthy(s, daemons, []failureDetector{d}, days, misleading, o.Seed+99)[0]
	return probeResult{Service: s.Name, Weight: s.Weight, Daemons: daemons, Hours: o.Hours, Rates: rate}
}
