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

// runConfig sets the size of the fleet and the period in which faults start.
type runConfig struct {
	daemons, upstreams, callers int
	duration                    time.Duration
	// settle is how long a run with accounts goes on after the last fault and change.
	settle time.Duration
	// plannedStops selects a run of planned stops without faults.
	plannedStops bool
}

const (
	serviceName      = "wheel-roster"
	serviceDocument  = "service: " + serviceName + "\ntimeouts: {request: 3s, attempt: 1s}\n"
	slotsPerUpstream = 4
	// startTimeout limits each wait during the start; it allows for a busy machine.
	startTimeout = 40 * time.Second
	// stopTimeout is twice the default of drain.grace, to allow for a busy machine.
	stopTimeout = 24 * time.Second
	// recoveryTimeout is the users' limit for the time from the last fault until
	// all requests are served again.
	recoveryTimeout = 15 * time.Second
	// requiredSuccesses is the number of consecutive requests that must be served
	// within recoveryTimeout.
	requiredSuccesses = 20
	// requestPause is the pause of a caller between requests.
	requestPause = 30 * time.Millisecond
)

var domains = []string{"tetouan", "rabat", "fes"}

// run holds the state of the run of one seed.
type run struct {
	runConfig
	fleet    *fleettest.Fleet
	proxies  []*proxy
	recorder *recorder

	// mu guards the processes of the daemons, which a restart replaces.
	mu sync.Mutex
	// daemonLocks are held during a fault of a daemon, including its restart, so that
	// the next fault of the same daemon waits.
	daemonLocks []sync.Mutex

	// documents are the planned versions of the document, or nil for a service without accounts.
	documents []plannedDocument
	// daemonAt holds the indices of the daemons by caller address.
	daemonAt map[string]int
	observations
}

// runSeed runs a seed, with settings and logs in dir. It returns the problems found, or
// an error if the run itself failed.
func runSeed(ctx context.Context, bin, dir string, seed uint64, cfg runConfig) ([]string, error) {
	r := &run{runConfig: cfg, fleet: fleettest.New(bin, dir), recorder: newRecorder(), daemonLocks: make([]sync.Mutex, cfg.daemons)}
	r.daemonCount = cfg.daemons
	if usesAccounts(seed) {
		r.documents = planDocuments(seed, cfg.duration)
	}
	r.fleet.LogDecisions = true
	defer r.fleet.Close()
	defer func() {
		for _, p := range r.proxies {
			p.close()
		}
	}()
	if err := r.startFleet(ctx); err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i, c := range r.fleet.NewCallers("soak", cfg.callers) {
		if r.documents != nil {
			load.Go(func() { r.sendWithKeys(loadCtx, seed, i, c) })
		} else {
			load.Go(func() { r.sendRequests(loadCtx, i, c) })
		}
	}
	var changes sync.WaitGroup
	if r.documents != nil {
		changes.Go(func() { r.changeDocuments(ctx, time.Now(), seed, r.documents) })
	}
	r.injectFaults(ctx, planFaults(seed, cfg.duration, cfg.daemons, cfg.upstreams))
	r.awaitRecovery(ctx)
	if r.documents != nil {
		changes.Wait()
		time.Sleep(cfg.settle)
	}
	stopLoad()
	load.Wait()
	r.checkUnexpectedExits()
	runs, err := r.fleet.Runs(ctx, serviceName)
	if err != nil {
		return nil, errors.Wrap(err, "query the upstreams for the executed orders")
	}
	problems, err := r.checkAccounts(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "query the upstreams for the requests they got")
	}
	if r.documents != nil {
		fmt.Printf("seed %d: %v\n", seed, &r.observations)
	}
	return append(r.recorder.check(runs), problems...), nil
}

// startFleet starts the platform, the upstreams behind proxies, and the daemons.
func (r *run) startFleet(ctx context.Context) error {
	f := r.fleet
	if err := f.StartPlatform(); err != nil {
		return err
	}
	var flags []string
	document := serviceDocument
	if r.documents != nil {
		flags, document = []string{"--record"}, accountsDocument(0, r.documents[0].accounts)
		r.history = []documentVersion{{accounts: r.documents[0].accounts}}
	}
	for i := range r.upstreams {
		id, domain := fmt.Sprintf("upstream-%d", i), domains[i%len(domains)]
		u, err := f.StartUpstream(serviceName, id, domain, slotsPerUpstream, flags...)
		if err != nil {
			return err
		}
		p, err := newProxy(u.Address)
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, p)
		if err := f.Register(platform.Member{
			ID: id, Role: platform.RoleUpstream, Service: serviceName, Address: p.address(), Domain: domain, Slots: slotsPerUpstream, State: platform.Live,
		}); err != nil {
			return err
		}
	}
	err := startDaemons(ctx, f, r.daemons, document)
	r.daemonAt = indexDaemons(f)
	return err
}

// startDaemons starts daemons and waits until the document is in force at all of them.
func startDaemons(ctx context.Context, f *fleettest.Fleet, daemons int, document string) error {
	for i := range daemons {
		if _, err := f.StartDaemon(fmt.Sprintf("daemon-%d", i), domains[i%len(domains)]); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(startTimeout); err != nil {
		return err
	}
	version, err := f.Apply(ctx, document)
	if err != nil {
		return err
	}
	_, err = f.AwaitInForce(ctx, serviceName, version, startTimeout)
	return err
}

// sendRequests alternates reads and orders until ctx ends. Each order is sent twice.
func (r *run) sendRequests(ctx context.Context, callerIndex int, c *standin.Caller) {
	for n := 0; ctx.Err() == nil; n++ {
		// A request is not canceled when the load ends, so that its outcome is known.
		requestCtx := context.WithoutCancel(ctx)
		if n%2 == 0 {
			r.recorder.add("", c.Do(requestCtx, serviceName, "GET", "/read", "", nil))
		} else {
			key := fmt.Sprintf("k-%d-%d", callerIndex, n)
			for range 2 {
				r.recorder.add(key, c.Do(requestCtx, serviceName, "POST", "/book", key, []byte(key)))
			}
		}
		time.Sleep(requestPause)
	}
}

// injectFaults injects the faults and returns when the last one has ended.
func (r *run) injectFaults(ctx context.Context, faults []fault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(f.Start)))
			if ctx.Err() == nil {
				r.injectFault(ctx, f)
			}
		})
	}
	wg.Wait()
}

// injectFault injects one fault and returns when it has ended.
func (r *run) injectFault(ctx context.Context, f fault) {
	wait := func() { time.Sleep(f.Duration) }
	switch f.Kind {
	case pauseDaemon, killDaemon, stopDaemon:
		r.daemonLocks[f.Target].Lock()
		defer r.daemonLocks[f.Target].Unlock()
		defer r.outages.begin(f.Target)()
	case platformDown:
		defer r.outages.begin(platformOutage)()
	}
	switch f.Kind {
	case delay, reset, silence, cutAnswers:
		r.proxies[f.Target].setMode(f.Kind)
		wait()
		r.proxies[f.Target].setMode("")
	case pauseUpstream:
		u := r.fleet.Upstreams[f.Target]
		r.sendSignal(u.Process, syscall.SIGSTOP)
		wait()
		r.sendSignal(u.Process, syscall.SIGCONT)
	case grayUpstream:
		r.setUpstreamMode(ctx, f.Target, standin.Mode{FailShare: 0.8})
		wait()
		r.setUpstreamMode(ctx, f.Target, standin.Mode{})
	case pauseDaemon:
		d := r.daemonProcess(f.Target)
		r.sendSignal(d, syscall.SIGSTOP)
		wait()
		r.sendSignal(d, syscall.SIGCONT)
	case killDaemon:
		r.daemonProcess(f.Target).Kill()
		wait()
		r.restartDaemon(f.Target)
	case stopDaemon:
		d := r.daemonProcess(f.Target)
		handlesSignals := d.HasLogged()
		r.sendSignal(d, syscall.SIGTERM)
		if err := d.Wait(stopTimeout); err != nil && (handlesSignals || !d.Exited()) {
			r.recorder.addProblem("%s did not exit properly after SIGTERM at %v: %v", d.ID, f.Start, err)
			d.Kill()
		}
		r.restartDaemon(f.Target)
	case platformDown:
		r.injectPlatformFaults(memstore.Faults{Down: true}, wait)
	case platformSlow:
		r.injectPlatformFaults(memstore.Faults{Latency: 300 * time.Millisecond}, wait)
	case platformLoses:
		r.injectPlatformFaults(memstore.Faults{LoseReplies: 5}, wait)
	}
}

func (r *run) injectPlatformFaults(faults memstore.Faults, wait func()) {
	if err := r.fleet.SetFaults(faults); err != nil {
		r.recorder.addProblem("platform stand-in: %v", err)
	}
	wait()
	if err := r.fleet.SetFaults(memstore.Faults{}); err != nil {
		r.recorder.addProblem("platform stand-in: %v", err)
	}
}

func (r *run) setUpstreamMode(ctx context.Context, target int, m standin.Mode) {
	if err := standin.SetMode(ctx, r.fleet.Upstreams[target].Address, m); err != nil {
		r.recorder.addProblem("upstream stand-in: %v", err)
	}
}

func (r *run) sendSignal(p *fleettest.Process, s syscall.Signal) {
	if err := p.Signal(s); err != nil {
		r.recorder.addProblem("%s exited unexpectedly before signal %v: %v", p.ID, s, err)
	}
}

// daemonProcess returns the current process of a daemon.
func (r *run) daemonProcess(target int) *fleettest.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Daemons[target].Process
}

func (r *run) restartDaemon(target int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.fleet.RestartDaemon(r.fleet.Daemons[target]); err != nil {
		r.recorder.addProblem("restart: %v", err)
	}
}

// awaitRecovery waits until a caller in each domain is served requiredSuccesses times in
// a row, for at most recoveryTimeout.
func (r *run) awaitRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, c := range r.newProbes() {
		for consecutive, n := 0, 0; consecutive < requiredSuccesses; n++ {
			key := fmt.Sprintf("probe-%s-%d", c.Domain, n)
			o := c.Do(ctx, serviceName, "POST", "/book", key, nil)
			r.recorder.add(key, o)
			if consecutive++; o.Status != 200 || o.Err != nil {
				consecutive = 0
			}
			if time.Now().After(deadline) {
				r.recorder.addProblem("fewer than %d consecutive requests served %v after the last fault; last answer in domain %s: status %d, error %v",
					requiredSuccesses, recoveryTimeout, c.Domain, o.Status, o.Err)
				return
			}
		}
	}
}

// checkUnexpectedExits reports daemons whose current process has exited.
func (r *run) checkUnexpectedExits() {
	for i := range r.daemons {
		if p := r.daemonProcess(i); p.Exited() {
			r.recorder.addProblem("%s exited unexpectedly: %v", p.ID, p.Wait(0))
		}
	}
}
