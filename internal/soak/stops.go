package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/fleettest"
	"shallotglade/internal/standin"
	"shallotglade/pkg/verdict"
)

// Runs of planned stops inject no faults. Daemons are stopped and started again in series that
// overlap, while callers keep their connections and some requests last longer than the grace
// period, so that each request without its answer must have one of the allowed reasons.

const (
	// stopGrace is the setting drain.grace. The other bounds are the users': a request
	// sent until half of it may still run in its last sixth, and is cut then.
	stopGrace = 6 * time.Second
	// afterStop is how long after the end of the grace period a request still counts as one
	// around the stop.
	afterStop      = time.Second
	stopsTimeout   = 12 * time.Second
	stopsDocument  = "service: " + serviceName + "\nrequests: {key: none}\nretries: {budget: 100%, allowance: 200, attempts: 3}\ntimeouts: {request: 12s, attempt: 12s}\n"
	stopsServeTime = "150ms"
	stopsQueue     = "24"
	// pipelinedLookups is how many lookups some callers send before the first answer.
	pipelinedLookups = 3
)

// slowLatencies are the extra latencies of upstreams, in ms. With the last two, requests last
// longer than what is left of a grace period.
var slowLatencies = []int{0, 0, 0, 300, 1000, 2500, 6000}

// plannedStop is a stop of a daemon.
type plannedStop struct {
	daemon int
	// at is when SIGTERM was sent, exited when the process had ended.
	at, exited time.Time
}

// stopAttempt is a request sent once.
type stopAttempt struct {
	key         string
	order       bool
	daemon      int
	sent, ended time.Time
	answer      standin.ConnAnswer
	// unanswered is true if the connection ended before the whole answer.
	unanswered bool
}

// mayHaveRun reports whether the caller was left without the answer of an upstream, and
// without the promise that the request did not run. runs is how often it ran.
func (a *stopAttempt) mayHaveRun(runs int) bool {
	if a.unanswered {
		return runs > 0
	}
	return a.answer.Verdict == verdict.MayHaveRun
}

// stopsRun is the state of a run of planned stops.
type stopsRun struct {
	runConfig
	fleet *fleettest.Fleet
	rng   *rand.Rand

	mu       sync.Mutex
	attempts []*stopAttempt
	stops    []plannedStop
	problems []string
	// resting holds the daemons that are stopped or have been until recently.
	resting map[int]bool
}

// runStops runs planned stops with a seed and returns the problems found.
func runStops(ctx context.Context, bin, dir string, seed uint64, cfg runConfig) ([]string, error) {
	r := &stopsRun{runConfig: cfg, fleet: fleettest.New(bin, dir), rng: rand.New(rand.NewPCG(seed, 1)), resting: map[int]bool{}}
	r.fleet.LogDecisions, r.fleet.DaemonSettings = true, fmt.Sprintf("drain: {grace: %v}\n", stopGrace)
	defer r.fleet.Close()
	if err := r.startFleet(ctx); err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i, c := range r.fleet.NewCallers("soak", cfg.callers) {
		load.Go(func() { r.sendRequests(loadCtx, i, c) })
	}
	r.operate(ctx)
	stopLoad()
	load.Wait()
	runs, err := r.fleet.Runs(ctx, serviceName)
	if err != nil {
		return nil, errors.Wrap(err, "query the upstreams for the executed requests")
	}
	return append(r.problems, checkStops(r.attempts, r.stops, runs)...), nil
}

func (r *stopsRun) startFleet(ctx context.Context) error {
	f := r.fleet
	if err := f.StartPlatform(); err != nil {
		return err
	}
	for i := range r.upstreams {
		if _, err := f.StartUpstream(serviceName, fmt.Sprintf("upstream-%d", i), domains[i%len(domains)], slotsPerUpstream,
			"--service-time", stopsServeTime, "--queue", stopsQueue); err != nil {
			return err
		}
	}
	return startDaemons(ctx, f, r.daemons, stopsDocument)
}

// operate stops daemons in series, reloads others, and changes the latencies of upstreams, for
// the duration of the run. It returns when all daemons run again.
func (r *stopsRun) operate(ctx context.Context) {
	var stopping sync.WaitGroup
	for end := time.Now().Add(r.duration); time.Now().Before(end) && ctx.Err() == nil; {
		u := r.fleet.Upstreams[r.rng.IntN(len(r.fleet.Upstreams))]
		if err := standin.SetMode(ctx, u.Address, standin.Mode{ExtraLatencyMs: slowLatencies[r.rng.IntN(len(slowLatencies))]}); err != nil {
			r.addProblem("upstream stand-in: %v", err)
		}
		for range 1 + r.rng.IntN(2) {
			if i, found := r.pickDaemon(); found {
				pause := time.Duration(r.rng.Int64N(int64(time.Second)))
				stopping.Go(func() { r.stopAndRestart(i, pause) })
			}
		}
		r.reload(r.rng.IntN(r.daemons))
		time.Sleep(500*time.Millisecond + time.Duration(r.rng.Int64N(int64(time.Second))))
	}
	stopping.Wait()
}

// pickDaemon picks a daemon to stop. At most half of them rest at a time.
func (r *stopsRun) pickDaemon() (daemon int, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	daemon = r.rng.IntN(r.daemons)
	if r.resting[daemon] || len(r.resting) >= r.daemons/2 {
		return 0, false
	}
	r.resting[daemon] = true
	return daemon, true
}

// stopAndRestart stops a daemon, starts it again after a pause, and lets it rest until a stop
// no longer counts for its requests.
func (r *stopsRun) stopAndRestart(i int, pause time.Duration) {
	d := r.process(i)
	s := plannedStop{daemon: i, at: time.Now()}
	if err := d.Signal(syscall.SIGTERM); err != nil {
		r.addProblem("%s exited unexpectedly before SIGTERM: %v", d.ID, err)
	}
	if err := d.Wait(stopTimeout); !d.Exited() {
		r.addProblem("%s still runs after SIGTERM: %v", d.ID, err)
		d.Kill()
	}
	s.exited = time.Now()
	time.Sleep(pause)
	r.mu.Lock()
	r.stops = append(r.stops, s)
	err := r.fleet.RestartDaemon(r.fleet.Daemons[i])
	r.mu.Unlock()
	if err == nil {
		err = r.fleet.AwaitReady(startTimeout, r.fleet.Daemons[i])
	}
	if err != nil {
		r.addProblem("restart: %v", err)
	}
	time.Sleep(time.Until(s.at.Add(stopGrace + afterStop)))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.resting, i)
}

// reload sends SIGHUP to a daemon that does not rest.
func (r *stopsRun) reload(i int) {
	r.mu.Lock()
	resting := r.resting[i]
	r.mu.Unlock()
	if resting {
		return
	}
	if err := r.process(i).Signal(syscall.SIGHUP); err != nil {
		r.addProblem("SIGHUP: %v", err)
	}
}

func (r *stopsRun) process(i int) *fleettest.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Daemons[i].Process
}

func (r *stopsRun) addProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// sendRequests sends orders, lookups, and lookups behind others, until ctx ends. It keeps a
// connection until the daemon closes it or its address is no longer listed.
func (r *stopsRun) sendRequests(ctx context.Context, caller int, c *standin.Caller) {
	daemons := map[string]int{}
	for i, d := range r.fleet.Daemons {
		daemons[d.CallerAddress] = i
	}
	rng := rand.New(rand.NewPCG(uint64(caller), 2))
	var conn *standin.Conn
	var address string
	var failed []string
	for n := 0; ctx.Err() == nil; n++ {
		addresses, err := c.Addresses(context.WithoutCancel(ctx), serviceName, failed)
		if err != nil || len(addresses) == 0 {
			time.Sleep(requestPause)
			continue
		}
		if conn == nil || !slices.Contains(addresses, address) {
			address = addresses[rng.IntN(len(addresses))]
			if conn, err = standin.Dial(address); err != nil {
				conn, failed = nil, []string{address}
				continue
			}
			failed = nil
		}
		batch := []*stopAttempt{{order: n%2 == 0}}
		if n%4 == 1 {
			for range pipelinedLookups - 1 {
				batch = append(batch, &stopAttempt{})
			}
		}
		for i, a := range batch {
			a.key, a.daemon = fmt.Sprintf("k-%d-%d-%d", caller, n, i), daemons[address]
		}
		if !r.exchange(conn, batch) {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(rng.Int64N(int64(4 * requestPause))))
	}
}

// exchange sends the requests and reads their answers. It reports whether the connection can be
// used again.
func (r *stopsRun) exchange(conn *standin.Conn, batch []*stopAttempt) (reusable bool) {
	r.mu.Lock()
	r.attempts = append(r.attempts, batch...)
	r.mu.Unlock()
	reusable = true
	for _, a := range batch {
		method := "GET"
		if a.order {
			method = "POST"
		}
		a.sent = time.Now()
		if conn.Send(method, serviceName, a.key) != nil {
			reusable = false
		}
	}
	for _, a := range batch {
		a.unanswered = !reusable
		if reusable {
			var err error
			a.answer, err = conn.Receive(stopsTimeout + time.Second)
			a.unanswered = err != nil
			reusable = err == nil && !a.answer.Closes
		}
		a.ended = time.Now()
	}
	return reusable
}

// checkStops returns the requests around stops that were left without their answer for no
// allowed reason. runs holds how often each request ran.
func checkStops(attempts []*stopAttempt, stops []plannedStop, runs map[string]int) []string {
	var problems []string
	for _, a := range attempts {
		switch n := runs[a.key]; {
		case a.order && n > 1:
			problems = append(problems, fmt.Sprintf("order %s ran %d times", a.key, n))
		case n > 0 && !a.unanswered && a.answer.Verdict == verdict.NotRun:
			problems = append(problems, fmt.Sprintf("request %s ran, and was answered %d as not run", a.key, a.answer.Status))
		}
		if !a.mayHaveRun(runs[a.key]) || a.ended.Sub(a.sent) >= stopsTimeout-100*time.Millisecond {
			continue
		}
		for _, s := range stops {
			if s.daemon == a.daemon && a.sent.Before(s.at.Add(stopGrace+afterStop)) && a.ended.After(s.at) && !isCutAllowed(a, s, stops) {
				problems = append(problems, fmt.Sprintf("request %s (order: %v) to daemon-%d, sent %v and ended %v after SIGTERM, which exited after %v: status %d, unanswered %v, ran %d times",
					a.key, a.order, a.daemon, a.sent.Sub(s.at), a.ended.Sub(s.at), s.exited.Sub(s.at), a.answer.Status, a.unanswered, runs[a.key]))
			}
		}
	}
	return problems
}

// isCutAllowed reports whether a request around a stop may end without its answer: it was sent
// in the first half of the grace period and cut in the last sixth, or its home, another daemon,
// reached the end of its own grace period and it cannot be sent again. An order never is; a
// lookup is if the daemon that forwarded it has more than half of its grace period left.
func isCutAllowed(a *stopAttempt, s plannedStop, stops []plannedStop) bool {
	inLastSixth := func(s plannedStop) bool { return !a.ended.Before(s.at.Add(stopGrace * 5 / 6)) }
	if !a.sent.After(s.at.Add(stopGrace/2)) && inLastSixth(s) {
		return true
	}
	canSendAgain := !a.order && a.ended.Before(s.at.Add(stopGrace/2))
	return !canSendAgain && slices.ContainsFunc(stops, func(other plannedStop) bool {
		return other.daemon != a.daemon && inLastSixth(other) && a.ended.Before(other.at.Add(stopGrace+afterStop))
	})
}
