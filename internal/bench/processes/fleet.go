package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"shallotglade/internal/fleettest"
	"shallotglade/internal/standin"
)

var domains = []string{"tetouan", "rabat", "fes"}

const service = "batch-ledger"

const startTimeout = 60 * time.Second

// startFleet starts the platform stand-in, the upstreams of one service and the
// daemons.
func (b *bench) startFleet(ctx context.Context, name string, daemons, upstreams int) (*fleettest.Fleet, error) {
	dir := filepath.Join(b.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f := fleettest.New(b.binDir, dir)
	if err := populate(ctx, f, daemons, upstreams); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func populate(ctx context.Context, f *fleettest.Fleet, daemons, upstreams int) error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	for i := range upstreams {
		if _, err := f.StartUpstream(service, fmt.Sprintf("w%d", i), domains[i%3], 6, "--service-time", "10ms"); err != nil {
			return err
		}
	}
	for i := range daemons {
		if _, err := f.StartDaemon(fmt.Sprintf("d%d", i), domains[i%3]); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(startTimeout); err != nil {
		return err
	}
	version, err := f.Apply(ctx, "service: "+service+"\nfloor: {share: 75%}\n")
	if err != nil {
		return err
	}
	_, err = f.AwaitInForce(ctx, service, version, startTimeout)
	return err
}

// startLoad runs callers until stop is called. The returned load records their
// results.
func startLoad(ctx context.Context, f *fleettest.Fleet, callers int) (l *standin.Load, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	l = standin.NewLoad()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		l.Run(ctx, f.NewCallers("caller", callers), 0, func(c *standin.Caller, _ int) standin.Outcome {
			return c.Do(context.WithoutCancel(ctx), service, "GET", "/x", "", nil)
		})
	}()
	return l, func() { cancel(); wg.Wait() }
}
