package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/placement"
)

const (
	// It takes spreadTime until the daemons of a fleet of up to smallFleet know
	// that this one leaves and name it in no new answer, and largeSpreadTime in
	// a larger one, where the news goes over several others
	// (docs/decisions/membership.md).
	spreadTime      = 3 * time.Second
	largeSpreadTime = 12 * time.Second
	smallFleet      = 48
	// closeTimeout bounds each of the last steps of an exit.
	closeTimeout = 10 * time.Second
	drainPoll    = 50 * time.Millisecond
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
		runs = append(runs, d.registration.Run)
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

func (d *Daemon) exit() error {
	start := time.Now()
	d.log.Info().Msg("drain: leaves; other daemons are told")
	d.roster.leave()
	// Callers' connections end with their next answer from now on, so that those
	// that are still open at the end of the wait have no more use.
	d.callers.EndAfterAnswer()
	time.Sleep(d.spreadTime() + scaledLifetime(placement.MaxLifetime, d.settings.Addresses.Lifetime))
	d.log.Info().Int("connections", d.callers.Open()).Msg("drain: answers that name this daemon have run out")
	d.callers.Drain()
	deadline := time.Now().Add(d.settings.Drain.Requests)
	for d.callers.Open() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	left := d.callers.Open()
	// Requests that other daemons passed on end before the ledger closes, since
	// they may still claim and settle.
	var err error
	for _, end := range []func(context.Context) error{d.callers.Shutdown, d.node.Close, d.ledger.Close, d.admin.Shutdown} {
		err = errors.CombineErrors(err, within(end))
	}
	d.sender.Close()
	d.log.Info().Int("cut", left).Dur("ms", time.Since(start)).Err(err).Msg("drain: left")
	if left > 0 {
		return errors.Newf("%d connections were still open at the time limit", left)
	}
	return nil
}

// spreadTime is how long the news that this daemon leaves takes to all others.
func (d *Daemon) spreadTime() time.Duration {
	if len(d.Daemons()) > smallFleet {
		return largeSpreadTime
	}
	return spreadTime
}

func within(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return f(ctx)
}
