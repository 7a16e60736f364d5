package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"shallotglade/internal/bench/table"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/fleettest"
	"shallotglade/pkg/admin"
)

const (
	costUpstreams = 3
	costDuration  = 20 * time.Second
	// startupDelay keeps the start-up load out of the measurement.
	startupDelay = 10 * time.Second
	// clockTicksPerSecond is the resolution of CPU times in /proc (USER_HZ).
	clockTicksPerSecond = 100
)

func hasVersion(ctx context.Context, client *admin.Client, version uint64) bool {
	list, err := client.Status(ctx, service, false)
	return err == nil && len(list) == 1 && list[0].Status != nil && list[0].Status.Version >= version
}

// cost measures the resource use of an idle daemon at each fleet size.
func (b *bench) cost(ctx context.Context) ([]table.Result, error) {
	var rows []table.Result
	for _, n := range b.sizes {
		r, err := b.measureCost(ctx, n)
		if err != nil {
			return rows, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

func (b *bench) measureCost(ctx context.Context, n int) (table.Result, error) {
	r := table.Result{Case: fmt.Sprintf("control cost, %d daemons", n)}
	f, err := b.startFleet(ctx, fmt.Sprintf("cost%d", n), n, costUpstreams)
	if err != nil {
		return r, err
	}
	defer f.Close()
	time.Sleep(startupDelay)
	calls0, err := f.Counts()
	if err != nil {
		return r, err
	}
	cpu0, net0, err := resourceUsage(f)
	if err != nil {
		return r, err
	}
	time.Sleep(costDuration)
	cpu1, net1, err := resourceUsage(f)
	if err != nil {
		return r, err
	}
	calls1, err := f.Counts()
	if err != nil {
		return r, err
	}
	seconds := costDuration.Seconds()
	r.Set("core %", round(100*(cpu1-cpu0)/seconds/float64(n)))
	r.Set("RSS MB", round(residentBytes(f)/float64(n)/1e6))
	r.Set("loopback KB/s", round((net1-net0)/seconds/float64(n)/1e3))
	r.Set("platform calls/s", round(float64(calls1.Reads+calls1.Writes+calls1.Watches-calls0.Reads-calls0.Writes-calls0.Watches)/seconds))
	return r, nil
}

func round(x float64) float64 { return float64(int64(x*100+0.5)) / 100 }

// resourceUsage returns the CPU seconds of all daemons and the bytes received on
// the loopback interface, which include the traffic of all other processes.
func resourceUsage(f *fleettest.Fleet) (cpu, bytes float64, err error) {
	for _, d := range f.RunningDaemons() {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID()))
		if err != nil {
			return 0, 0, err
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, i := range []int{11, 12} { // utime and stime, see proc(5)
			ticks, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return 0, 0, err
			}
			cpu += ticks / clockTicksPerSecond
		}
	}
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			bytes, err = strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return cpu, bytes, err
		}
	}
	return cpu, 0, errors.New("no loopback interface in /proc/net/dev")
}

// residentBytes returns the total resident memory of all daemons.
func residentBytes(f *fleettest.Fleet) float64 {
	var sum float64
	for _, d := range f.RunningDaemons() {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.PID()))
		if err != nil {
			continue
		}
		if pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64); err == nil {
			sum += pages * float64(os.Getpagesize())
		}
	}
	return sum
}
