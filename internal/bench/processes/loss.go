package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"shallotglade/internal/bench/table"

	"shallotglade/internal/fleettest"
	"shallotglade/internal/standin"
)

const (
	lossDaemons   = 9
	lossUpstreams = 12
	lossCallers   = 24
	exitTimeout   = 60 * time.Second
)

func lossRow(name string, l *standin.Load) table.Result {
	r := table.Result{Case: name}
	for status, n := range l.ByStatus {
		if status != 200 {
			r.Set(fmt.Sprintf("status %d", status), float64(n))
		}
	}
	r.Set("requests", float64(l.Sent))
	r.Set("ok", float64(l.OK))
	r.Set("no answer", float64(len(l.Unanswered)))
	r.Set("wrong answers", float64(len(l.InvalidAnswers)))
	r.Set("may have run", float64(l.MayHaveRun))
	r.Set("not run", float64(l.NotRun))
	r.Set("refused, sent again", float64(l.Refused))
	return r
}

// rolling replaces daemons one by one under load, until every daemon has been
// replaced and the configured number of requests has been sent.
func (b *bench) rolling(ctx context.Context) ([]table.Result, error) {
	f, err := b.startFleet(ctx, "rolling", lossDaemons, lossUpstreams)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	l, stop := startLoad(ctx, f, lossCallers)
	defer stop()
	replaced := 0
	for n := 0; l.Count() < b.requests || replaced < lossDaemons; n++ {
		old := f.RunningDaemons()[0]
		d, err := f.StartDaemon(fmt.Sprintf("r%d", n), old.Domain)
		if err != nil {
			return nil, err
		}
		if err := f.AwaitReady(startTimeout, d); err != nil {
			return nil, err
		}
		if err := old.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
		if err := old.Wait(exitTimeout); err != nil {
			return nil, err
		}
		if err := f.Unregister(old.ID); err != nil {
			return nil, err
		}
		replaced++
	}
	stop()
	r := lossRow("rolling replacement", l)
	r.Set("daemons replaced", float64(replaced))
	return []table.Result{r}, nil
}

func (b *bench) killThird(ctx context.Context) ([]table.Result, error) {
	return b.killDaemons(ctx, "a third of the daemons killed", func(i int, _ *fleettest.Daemon) bool { return i < lossDaemons/3 })
}

func (b *bench) killDomain(ctx context.Context) ([]table.Result, error) {
	return b.killDaemons(ctx, "a failure domain killed", func(_ int, d *fleettest.Daemon) bool { return d.Domain == domains[0] })
}

// killDaemons kills the selected daemons together and measures how long callers
// see failures.
func (b *bench) killDaemons(ctx context.Context, name string, selected func(int, *fleettest.Daemon) bool) ([]table.Result, error) {
	f, err := b.startFleet(ctx, name, lossDaemons, lossUpstreams)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	l, stop := startLoad(ctx, f, lossCallers)
	defer stop()
	time.Sleep(3 * time.Second)
	requestsBefore := l.Count()
	killedAt := time.Now()
	for i, d := range f.Daemons {
		if selected(i, d) {
			d.Kill()
		}
	}
	time.Sleep(10 * time.Second)
	stop()
	r := lossRow(name, l)
	r.Set("requests before", float64(requestsBefore))
	r.Set("seconds to normal", l.TimeToLastFailure(killedAt).Seconds())
	return []table.Result{r}, nil
}
