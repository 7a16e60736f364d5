package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"shallotglade/internal/bench/table"

	"github.com/cockroachdb/errors"
)

const (
	// workers is the number of requests that the closed loop keeps in flight.
	workers            = 32
	closedLoopDuration = 3 * time.Second
	// clockTicksPerSecond is the resolution of CPU times in /proc (USER_HZ).
	clockTicksPerSecond = 100
)

// core measures requests per second of CPU time for a daemon, with the decision
// log on and off, and for the naive proxy.
func (b *bench) core(ctx context.Context) ([]table.Result, error) {
	var rows []table.Result
	for _, logDecisions := range []bool{true, false} {
		r, err := b.measureCore(ctx, logDecisions, !logDecisions)
		rows = append(rows, r...)
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

func (b *bench) measureCore(ctx context.Context, logDecisions, withNaive bool) ([]table.Result, error) {
	f, err := b.startFleet(ctx, fmt.Sprintf("core-%v", logDecisions), 1, logDecisions)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	home, _, err := findHomeAndOther(ctx, f)
	if err != nil {
		return nil, err
	}
	name := "closed loop, home, log off"
	if logDecisions {
		name = "closed loop, home, log on"
	}
	r, err := closedLoop(name, home.CallerAddress, home.PID())
	rows := []table.Result{r}
	if err != nil || !withNaive {
		return rows, err
	}
	address, naive, err := startNaive(ctx, f)
	if err != nil {
		return rows, err
	}
	defer func() { _ = naive.Process.Kill(); _ = naive.Wait() }()
	r, err = closedLoop("closed loop, naive proxy", address, naive.Process.Pid)
	return append(rows, r), err
}

// closedLoop measures the proxy with the given process ID while a fixed number
// of workers send requests to its address.
func closedLoop(name, address string, pid int) (table.Result, error) {
	r := table.Result{Case: name}
	c := newClient()
	var completed atomic.Int64
	var failed atomic.Pointer[error]
	var wg sync.WaitGroup
	cpu0, err := cpuSeconds(pid)
	if err != nil {
		return r, err
	}
	start := time.Now()
	for range workers {
		wg.Go(func() {
			for n := 0; time.Since(start) < closedLoopDuration; n++ {
				if _, err := c.send(requestKind{addresses: []string{address}}, n); err != nil {
					failed.Store(&err)
					return
				}
				completed.Add(1)
			}
		})
	}
	wg.Wait()
	took := time.Since(start).Seconds()
	if err := failed.Load(); err != nil {
		return r, errors.Wrap(*err, name)
	}
	cpu1, err := cpuSeconds(pid)
	if err != nil {
		return r, err
	}
	requests := float64(completed.Load())
	r.Set("requests/s per core", round(requests/(cpu1-cpu0)))
	r.Set("requests/s", round(requests/took))
	r.Set("cores", round((cpu1-cpu0)/took))
	return r, nil
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// cpuSeconds returns the CPU time that a process has used, in seconds.
func cpuSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var sum float64
	for _, i := range []int{11, 12} { // utime and stime, see proc(5)
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, err
		}
		sum += ticks / clockTicksPerSecond
	}
	return sum, nil
}
