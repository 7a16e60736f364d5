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
	changeLimit   = 30 * time.Second
)

// change measures how soon accepted changes are in force at all daemons, with
// nothing wrong and with two daemons frozen or killed each time.
func (b *bench) change(ctx context.Context) ([]table.Result, error) {
	f, err := b.start(ctx, "change", changeDaemons, 3)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var rows []table.Result
	for _, kills := range []int{0, 1} {
		took, err := b.changeSeries(ctx, f, kills)
		if err != nil {
			return rows, err
		}
		r := table.Result{Case: fmt.Sprintf("change in force, %d daemons, %d killed each", len(f.Live()), kills)}
		slices.Sort(took)
		r.Set("changes", float64(len(took)))
		r.Set("p50 ms", millis(took[len(took)/2]))
		r.Set("max ms", millis(took[len(took)-1]))
		rows = append(rows, r)
	}
	return rows, nil
}

func millis(d time.Duration) float64 { return float64(d.Milliseconds()) }

func (b *bench) changeSeries(ctx context.Context, f *fleettest.Fleet, kills int) ([]time.Duration, error) {
	var took []time.Duration
	for n := range changes {
		for range kills {
			f.Live()[0].Kill()
		}
		client, err := f.Client()
		if err != nil {
			return nil, err
		}
		s, err := client.Service(ctx, service)
		if err != nil {
			return nil, err
		}
		next, err := client.Put(ctx, service, s.Version, fmt.Appendf(nil, "service: %s\nretries: {attempts: %d}\n", service, 1+n%9))
		if err != nil {
			return nil, err
		}
		d, err := inForce(ctx, f, next.Version)
		if err != nil {
			return nil, err
		}
		took = append(took, d)
	}
	return took, nil
}

// inForce asks all daemons at once, so that the time is that of the slowest.
func inForce(ctx context.Context, f *fleettest.Fleet, version uint64) (time.Duration, error) {
	start := time.Now()
	var wg sync.WaitGroup
	live := f.Live()
	failed := make([]error, len(live))
	for i, d := range live {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client, err := f.Client(d)
			for err == nil && !versionAt(ctx, client, version) {
				if time.Since(start) > changeLimit {
					err = errors.Newf("version %d not in force at %s after %v", version, d.ID, changeLimit)
				}
				time.Sleep(5 * time.Millisecond)
			}
			failed[i] = err
		}()
	}
	wg.Wait()
	took := time.Since(start)
	for _, err := range failed {
		if err != nil {
			return took, err
		}
	}
	return took, nil
}
