package daemon

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Drain makes the daemon leave: Run then returns once nothing is in flight.
func (d *Daemon) Drain() { d.leaveOnce.Do(func() { close(d.leave) }) }

// Ready reports whether the daemon serves callers and does not leave.
func (d *Daemon) Ready() bool {
	select {
	case <-d.leave:
		return false
	default:
		return d.serving.Load()
	}
}

// Run serves until ctx ends or Drain is called, and then leaves: other daemons
// stop naming this one, answers that name it run out, connections end between
// requests, the last request ends, outcomes are stored.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	runs := []func(context.Context){d.syncer.Run, d.roster.run, d.health.Run}
	if d.registration != nil {
		runs = append(runs, d.registration.Run, d.lookup.Run)
	}
	for _, run := range runs {
		background.Add(1)
		go func() {
			defer background.Done()
			run(work)
		}()
	}
	failed := make(chan error, 2+len(d.questions))
	go func() { failed <- errors.Wrap(d.admin.Run(), "administration server") }()
	for _, q := range d.questions {
		go func() { failed <- errors.Wrap(q.Run(), "question server") }()
	}
	if err := d.serveWhenReady(ctx, failed); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		d.Drain()
	case <-d.leave:
	case err := <-failed:
		return err
	}
	err := d.exit()
	stop()
	background.Wait()
	d.health.Cleanup()
	return err
}

// serveWhenReady takes callers' requests once this daemon holds what the fleet
// holds. An old document served meanwhile would be a change that reverts.
func (d *Daemon) serveWhenReady(ctx context.Context, failed chan<- error) error {
	select {
	case <-d.syncer.ReadyC():
	case <-ctx.Done():
		return nil
	case <-d.leave:
		return nil
	}
	d.roster.refresh()
	go func() { failed <- errors.Wrap(d.callers.Run(), "callers' server") }()
	d.serving.Store(true)
	d.log.Info().Str("callers", d.settings.Listen.Callers).Str("peers", d.node.Addr()).Msg("daemon: serves callers")
	return nil
}
