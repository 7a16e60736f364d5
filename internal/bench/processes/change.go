package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"shallotglade/internal/bench/table"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/fleettest"
)

const (
	changeDaemons = 36
	changes       = 20
	changeTimeout = 30 * time.Second
)

// change measures the time until an accepted change is in force at all daemons,
// first without faults and then with one daemon killed before each change.
func (b *bench) change(ctx context.Context) ([]table.Result, error) {
	f, err := b.startFleet(ctx, "change", changeDaemons, 3)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var rows []table.Result
	for _, killsPerChange := range []int{0, 1} {
		durations, err := b.changeSeries(ctx, f, killsPerChange)
		if err != nil {
			return rows, err
		}
		r := table.Result{Case: fmt.Sprintf("change in force, %d daemons, %d killed each", len(f.RunningDaemons()), killsPerChange)}
		slices.Sort(durations)
		r.Set("changes", float64(len(durations)))
		r.Set("p50 ms", millis(durations[len(durations)/2]))
		r.Set("max ms", millis(durations[len(durations)-1]))
		rows = append(rows, r)
	}
	return rows, nil
}

func millis(d time.Duration) float64 { return float64(d.Milliseconds()) }

func (b *bench) changeSeries(ctx context.Context, f *fleettest.Fleet, killsPerChange int) ([]time.Duration, error) {
	var durations []time.Duration
	for n := range changes {
		for range killsPerChange {
			f.RunningDaemons()[0].Kill()
		}
		client, err := f.Client()
		if err != nil {
			return nil, err
		}
		s, err := client.Service(ctx, service)
		if err != nil {
			return nil, err
		}
		updated, err := client.Put(ctx, service, s.Version, fmt.Appendf(nil, "service: %s\nretries: {attempts: %d}\n", service, 1+n%9))
		if err != nil {
			return nil, err
		}
		d, err := awaitInForce(ctx, f, updated.Version)
		if err != nil {
			return nil, err
		}
		durations = append(durations, d)
	}
	return durations, nil
}

// awaitInForce polls all daemons concurrently and returns the time until the
// slowest one has the version in force.
func awaitInForce(ctx context.Context, f *fleettest.Fleet, version uint64) (time.Duration, error) {
	start := time.Now()
	var wg sync.WaitGroup
	live := f.RunningDaemons()
	errs := make([]error, len(live))
	for i, d := range live {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client, err := f.Client(d)
			for err == nil && !hasVersion(ctx, client, version) {
				if time.Since(start) > changeTimeout {
					err = errors.Newf("version %d not in force at %s after %v", version, d.ID, changeTimeout)
				}
				time.Sleep(5 * time.Millisecond)
			}
			errs[i] = err
		}()
	}
	wg.Wait()
	took := time.Since(start)
	for _, err := range errs {
		if err != nil {
			return took, err
		}
	}
	return took, nil
}
