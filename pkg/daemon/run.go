package daemon

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Drain starts a graceful shutdown. Run returns when the requests in flight have
// ended or the time limits of the shutdown have passed.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// Ready reports whether the daemon serves callers and is not draining.
func (d *Daemon) Ready() bool {
	select {
	case <-d.drainRequested:
		return false
	default:
		return d.serving.Load()
	}
}

// Run serves until ctx ends or Drain is called, and then shuts down gracefully;
// see exit for the steps.
func (d *Daemon) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var background sync.WaitGroup
	loops := []func(context.Context){d.syncer.Run, d.roster.run, d.health.Run, d.allowances.Run}
	if d.registration != nil {
		loops = append(loops, d.registration.Run, d.lookup.Run)
	}
	for _, loop := range loops {
		background.Add(1)
		go func() {
			defer background.Done()
			loop(workCtx)
		}()
	}
	serverErrors := make(chan error, 2+len(d.infoServers))
	go func() { serverErrors <- errors.Wrap(d.admin.Run(), "administration server") }()
	for _, server := range d.infoServers {
		go func() { serverErrors <- errors.Wrap(server.Run(), "address and readiness server") }()
	}
	if err := d.serveWhenReady(ctx, serverErrors); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		d.Drain()
	case <-d.drainRequested:
	case err := <-serverErrors:
		return err
	}
	err := d.exit()
	stopWork()
	background.Wait()
	d.health.Cleanup()
	return err
}

// serveWhenReady starts to serve callers once this daemon has the fleet's current
// documents. Earlier, it could serve an old document, and callers would see a
// change revert.
func (d *Daemon) serveWhenReady(ctx context.Context, serverErrors chan<- error) error {
	select {
	case <-d.syncer.ReadyC():
	case <-ctx.Done():
		return nil
	case <-d.drainRequested:
		return nil
	}
	d.roster.refresh()
	go func() { serverErrors <- errors.Wrap(d.callerServer.Run(), "caller server") }()
	d.serving.Store(true)
	d.log.Info().Str("callers", d.settings.Listen.Callers).Str("peers", d.node.Addr()).Msg("daemon: serving callers")
	return nil
}
