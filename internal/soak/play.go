package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/fleettest"
	"shallotglade/internal/standin"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// size is how large a run is.
type size struct {
	daemons, upstreams, callers int
	length                      time.Duration
}

const (
	service = "wheel-roster"
	text    = "service: " + service + "\ntimeouts: {request: 3s, attempt: 1s}\n"
	slots   = 4
	// startTime bounds the start of a fleet on a busy machine.
	startTime = 40 * time.Second
	// grace is how long a daemon may take to end (the default of drain.grace), with
	// as much again for a machine that is busy.
	grace = 24 * time.Second
	// recovery is how soon after the last fault all requests are served: the bound
	// that the users' sites set.
	recovery = 15 * time.Second
	// probeRun is how many requests in a row must be served by then.
	probeRun = 20
	// pause is the time of a caller between two requests.
	pause = 30 * time.Millisecond
)

var domains = []string{"tetouan", "rabat", "fes"}

// run is one seed.
type run struct {
	size
	fleet   *fleettest.Fleet
	proxies []*proxy
	seen    *record

	// mu guards the daemons' processes, which a restart replaces.
	mu sync.Mutex
	// signals let the next fault of a daemon wait until it has stopped and started.
	signals []sync.Mutex
}

// play plays a seed in a folder for settings and logs. It returns the promises that were
// broken, or an error if the fleet could not be started.
func play(ctx context.Context, bin, dir string, seed uint64, n size) ([]string, error) {
	r := &run{size: n, fleet: fleettest.New(bin, dir), seen: newRecord(), signals: make([]sync.Mutex, n.daemons)}
	r.fleet.LogDecisions = true
	defer r.fleet.Close()
	defer func() {
		for _, p := range r.proxies {
			p.close()
		}
	}()
	if err := r.start(ctx); err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i, c := range r.fleet.Callers("soak", n.callers) {
		load.Go(func() { r.call(loadCtx, i, c) })
	}
	r.inject(ctx, plan(seed, n.length, n.daemons, n.upstreams))
	r.awaitService(ctx)
	stopLoad()
	load.Wait()
	r.checkEnds()
	runs, err := r.fleet.Runs(ctx, service)
	if err != nil {
		return nil, errors.Wrap(err, "ask the upstreams what ran")
	}
	return r.seen.check(runs), nil
}

// start starts the platform, upstreams behind proxies, and daemons.
func (r *run) start(ctx context.Context) error {
	f := r.fleet
	if err := f.StartPlatform(); err != nil {
		return err
	}
	for i := range r.upstreams {
		id, domain := fmt.Sprintf("upstream-%d", i), domains[i%len(domains)]
		u, err := f.StartUpstream(service, id, domain, slots)
		if err != nil {
			return err
		}
		p, err := newProxy(u.Address)
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, p)
		if err := f.Register(platform.Member{
			ID: id, Role: platform.RoleUpstream, Service: service, Address: p.address(), Domain: domain, Slots: slots, State: platform.Live,
		}); err != nil {
			return err
		}
	}
	for i := range r.daemons {
		if _, err := f.StartDaemon(fmt.Sprintf("daemon-%d", i), domains[i%len(domains)]); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(startTime); err != nil {
		return err
	}
	version, err := f.Apply(ctx, text)
	if err != nil {
		return err
	}
	_, err = f.AwaitInForce(ctx, service, version, startTime)
	return err
}

// call sends reads and orders in turn, each order twice.
func (r *run) call(ctx context.Context, place int, c *standin.Caller) {
	for n := 0; ctx.Err() == nil; n++ {
		// A request goes on when the load ends, so that its outcome is known.
		request := context.WithoutCancel(ctx)
		if n%2 == 0 {
			r.seen.add("", c.Do(request, service, "GET", "/read", "", nil))
		} else {
			key := fmt.Sprintf("k-%d-%d", place, n)
			for range 2 {
				r.seen.add(key, c.Do(request, service, "POST", "/book", key, []byte(key)))
			}
		}
		time.Sleep(pause)
	}
}

// inject plays the faults and returns when the last one has ended.
func (r *run) inject(ctx context.Context, faults []fault) {
	start := time.Now()
	var all sync.WaitGroup
	for _, f := range faults {
		all.Go(func() {
			time.Sleep(time.Until(start.Add(f.At)))
			if ctx.Err() == nil {
				r.fault(ctx, f)
			}
		})
	}
	all.Wait()
}

// fault plays one fault to its end.
func (r *run) fault(ctx context.Context, f fault) {
	wait := func() { time.Sleep(f.Length) }
	switch f.Kind {
	case pauseDaemon, killDaemon, stopDaemon:
		r.signals[f.Target].Lock()
		defer r.signals[f.Target].Unlock()
	}
	switch f.Kind {
	case delay, reset, silence, cutAnswers:
		r.proxies[f.Target].set(f.Kind)
		wait()
		r.proxies[f.Target].set("")
	case pauseUpstream:
		u := r.fleet.Upstreams[f.Target]
		r.signal(u.Process, syscall.SIGSTOP)
		wait()
		r.signal(u.Process, syscall.SIGCONT)
	case grayUpstream:
		r.mode(ctx, f.Target, standin.Mode{FailShare: 0.8})
		wait()
		r.mode(ctx, f.Target, standin.Mode{})
	case pauseDaemon:
		d := r.process(f.Target)
		r.signal(d, syscall.SIGSTOP)
		wait()
		r.signal(d, syscall.SIGCONT)
	case killDaemon:
		r.process(f.Target).Kill()
		wait()
		r.restart(f.Target)
	case stopDaemon:
		d := r.process(f.Target)
		handles := d.HasOutput()
		r.signal(d, syscall.SIGTERM)
		if err := d.Wait(grace); err != nil && (handles || !d.Exited()) {
			r.seen.problem("%s told to stop at %v: %v", d.ID, f.At, err)
			d.Kill()
		}
		r.restart(f.Target)
	case platformDown:
		r.platform(memstore.Faults{Down: true}, wait)
	case platformSlow:
		r.platform(memstore.Faults{Latency: 300 * time.Millisecond}, wait)
	case platformLoses:
		r.platform(memstore.Faults{LoseReplies: 5}, wait)
	}
}

func (r *run) platform(faults memstore.Faults, wait func()) {
	if err := r.fleet.SetFaults(faults); err != nil {
		r.seen.problem("platform stand-in: %v", err)
	}
	wait()
	if err := r.fleet.SetFaults(memstore.Faults{}); err != nil {
		r.seen.problem("platform stand-in: %v", err)
	}
}

func (r *run) mode(ctx context.Context, target int, m standin.Mode) {
	if err := standin.SetMode(ctx, r.fleet.Upstreams[target].Address, m); err != nil {
		r.seen.problem("upstream stand-in: %v", err)
	}
}

func (r *run) signal(p *fleettest.Process, s syscall.Signal) {
	if err := p.Signal(s); err != nil {
		r.seen.problem("%s ended by itself before %v: %v", p.ID, s, err)
	}
}

// process returns the present process of a daemon.
func (r *run) process(target int) *fleettest.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Daemons[target].Process
}

func (r *run) restart(target int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.fleet.RestartDaemon(r.fleet.Daemons[target]); err != nil {
		r.seen.problem("restart: %v", err)
	}
}

// awaitService waits until a caller near each domain is served probeRun times in a row.
func (r *run) awaitService(ctx context.Context) {
	end := time.Now().Add(recovery)
	for _, c := range r.fleet.Callers("probe", len(domains)) {
		for row, n := 0, 0; row < probeRun; n++ {
			key := fmt.Sprintf("probe-%s-%d", c.Domain, n)
			o := c.Do(ctx, service, "POST", "/book", key, nil)
			r.seen.add(key, o)
			if row++; o.Status != 200 || o.Err != nil {
				row = 0
			}
			if time.Now().After(end) {
				r.seen.problem("not served %d times in a row %v after the last fault; the last answer near %s: status %d, %v",
					probeRun, recovery, c.Domain, o.Status, o.Err)
				return
			}
		}
	}
}

// checkEnds notes daemons that have ended by themselves.
func (r *run) checkEnds() {
	for i := range r.daemons {
		if p := r.process(i); p.Exited() {
			r.seen.problem("%s ended by itself: %v", p.ID, p.Wait(0))
		}
	}
}
