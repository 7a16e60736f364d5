package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/admin"
)

// Demo demonstrates and checks the behavior of a running fleet.
type Demo struct {
	// Daemons are the daemons of the fleet.
	Daemons []DemoDaemon
	// Upstreams maps each service to the addresses of its upstreams by name.
	Upstreams map[string]map[string]string
	// Key is an administration key of team "*".
	Key   string
	Steps *Steps
}

// DemoDaemon holds the listen addresses and the failure domain of a daemon.
type DemoDaemon struct {
	CallerAddress string
	AdminAddress  string
	Domain        string
}

// orderServices are the services of the demo that accept orders.
var orderServices = []string{"bons-chantier", "wheel-roster"}

// servicePaths maps each service to a path that its document routes.
var servicePaths = map[string]string{
	"registre-steles": "/registre/1", "bons-chantier": "/bons/1", "tableau-equipes": "/equipes/1",
	"stone-catalogue": "/catalogue/1", "wheel-roster": "/wheels/1", "batch-ledger": "/batches/1",
}

// readPause is the pause of a caller between requests. It keeps each caller, which has
// a separate account, below the lowest callerRate of the examples, 20 requests/s, even
// if a step takes long on a slow host.
const readPause = 60 * time.Millisecond

// readCallers is the number of concurrent callers per service.
const readCallers = 12

// Run performs all steps and returns an error if one failed.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context){d.checkAddresses, d.checkReads, d.checkOrders, d.checkPartialFailure, d.checkLeavingUpstream, d.checkDrain} {
		step(ctx)
	}
	if d.Steps.Failed > 0 {
		return errors.Newf("%d steps failed", d.Steps.Failed)
	}
	return nil
}

// newCallers returns n callers with separate accounts, spread over the domains.
func (d *Demo) newCallers(name string, n int) []*Caller {
	var seeds []string
	for _, daemon := range d.Daemons {
		seeds = append(seeds, daemon.CallerAddress)
	}
	callers := make([]*Caller, n)
	for i := range callers {
		callers[i] = NewCaller(fmt.Sprintf("%s-%d", name, i), d.Daemons[i%len(d.Daemons)].Domain, seeds)
	}
	return callers
}

func (d *Demo) awaitReady(ctx context.Context) error {
	start := time.Now()
	for _, daemon := range d.Daemons {
		for !isReady(ctx, daemon.AdminAddress) {
			if time.Since(start) > 20*time.Second || ctx.Err() != nil {
				return errors.Newf("daemon %s is not ready", daemon.CallerAddress)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.Steps.Check("All daemons become ready", true, "ready within 20 s", fmt.Sprintf("%d daemons after %v", len(d.Daemons), time.Since(start).Round(time.Millisecond)))
	return nil
}

func isReady(ctx context.Context, address string) bool { return answersOK(ctx, address, "/readyz") }

func isAlive(ctx context.Context, address string) bool { return answersOK(ctx, address, "/livez") }

// answersOK reports whether a GET of the path is answered with 200.
func answersOK(ctx context.Context, address, path string) bool {
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+address+path, nil)
	if err != nil {
		return false
	}
	resp, err := controlClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func (d *Demo) domainOf(address string) string {
	for _, daemon := range d.Daemons {
		if daemon.CallerAddress == address {
			return daemon.Domain
		}
	}
	return ""
}

func (d *Demo) checkAddresses(ctx context.Context) {
	c := d.newCallers("asks", 1)[0]
	for _, service := range []string{"registre-steles", "batch-ledger"} {
		list, err := c.Addresses(ctx, service, nil)
		domains := map[string]bool{}
		for _, a := range list {
			domains[d.domainOf(a)] = true
		}
		ok := err == nil && len(domains) == 3 && d.domainOf(list[0]) == c.Domain
		d.Steps.Check("Which address for "+service+"?", ok,
			"addresses in 3 failure domains, the caller's own ("+c.Domain+") first", fmt.Sprintf("%v in %d domains, error %v", list, len(domains), err))
	}
}

// loadFor sends reads to a service from readCallers callers for the given duration.
func (d *Demo) loadFor(ctx context.Context, service string, length time.Duration) *Load {
	l := NewLoad()
	loadCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	l.Run(loadCtx, d.newCallers("reads-"+service, readCallers), readPause, func(c *Caller, _ int) Outcome {
		return c.Do(ctx, service, "GET", servicePaths[service], "", nil)
	})
	return l
}

func (d *Demo) checkReads(ctx context.Context) {
	for _, service := range serviceNames(d.Upstreams) {
		l := d.loadFor(ctx, service, time.Second)
		ok := l.Sent > 0 && l.OK == l.Sent
		d.Steps.Check("Reads of "+service, ok, "every answer 200, whole and the caller's own",
			fmt.Sprintf("%d of %d at %d upstreams; wrong: %v", l.OK, l.Sent, len(l.ByUpstream), l.InvalidAnswers))
	}
}

func serviceNames(upstreams map[string]map[string]string) []string {
	var out []string
	for k := range upstreams {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (d *Demo) upstreamAddresses(service string) []string {
	var out []string
	for _, a := range d.Upstreams[service] {
		out = append(out, a)
	}
	return out
}

// checkOrders sends each order twice, the second time from a caller in another domain,
// and counts the runs at the upstreams.
func (d *Demo) checkOrders(ctx context.Context) {
	for _, service := range orderServices {
		callers := d.newCallers("clerk", 3)
		for _, c := range callers {
			c.Name = "clerk" // one account with callers in three domains
		}
		first, replayed := 0, 0
		for i := range 30 {
			key := fmt.Sprintf("%s-%d", service, i)
			if o := callers[i%3].Do(ctx, service, "POST", servicePaths[service], key, []byte(key)); o.Status == 200 {
				first++
			}
			if o := callers[(i+1)%3].Do(ctx, service, "POST", servicePaths[service], key, []byte(key)); o.Replayed || o.Status == 409 {
				replayed++
			}
		}
		runs, err := RunsByKey(ctx, d.upstreamAddresses(service))
		twice := 0
		for _, n := range runs {
			if n > 1 {
				twice++
			}
		}
		ok := err == nil && first == 30 && replayed == 30 && len(runs) == 30 && twice == 0
		d.Steps.Check("Orders to "+service+", each sent twice through different daemons", ok,
			"30 run once each, 30 second sends answered from the claim",
			fmt.Sprintf("%d ran, %d ran twice, %d first answers, %d second sends refused or replayed, error %v", len(runs), twice, first, replayed, err))
	}
}

// checkPartialFailure makes an upstream fail 60% of its requests while its probes succeed.
func (d *Demo) checkPartialFailure(ctx context.Context) {
	service := "registre-steles"
	name := upstreamNames(d.Upstreams[service])[0]
	if err := SetMode(ctx, d.Upstreams[service][name], Mode{FailShare: 0.5, HangShare: 0.1}); err != nil {
		d.Steps.Check("An upstream falls sick", false, "mode set", err.Error())
		return
	}
	during := d.loadFor(ctx, service, 4*time.Second)
	after := d.loadFor(ctx, service, 2*time.Second)
	share := float64(after.ByUpstream[name]) / float64(max(1, after.Sent))
	d.Steps.Check("An upstream of "+service+" fails 60% of its work while its probes succeed", len(during.InvalidAnswers)+len(after.InvalidAnswers) == 0 && share < 0.05,
		"no wrong answer, and after 4 s below 5% of the answers come from it",
		fmt.Sprintf("while it was found: %v; after: %v, %.1f%% from %s", during.ByStatus, after.ByStatus, 100*share, name))
	_ = SetMode(ctx, d.Upstreams[service][name], Mode{})
}

func upstreamNames(addresses map[string]string) []string {
	var out []string
	for k := range addresses {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// checkLeavingUpstream makes an upstream announce that it leaves.
func (d *Demo) checkLeavingUpstream(ctx context.Context) {
	service := "tableau-equipes"
	name := upstreamNames(d.Upstreams[service])[0]
	address := d.Upstreams[service][name]
	if err := SetMode(ctx, address, Mode{Leaving: true}); err != nil {
		d.Steps.Check("An upstream leaves", false, "mode set", err.Error())
		return
	}
	d.loadFor(ctx, service, 2*time.Second)
	before, err1 := Executions(ctx, address)
	l := d.loadFor(ctx, service, 2*time.Second)
	after, err2 := Executions(ctx, address)
	ok := err1 == nil && err2 == nil && after.Served == before.Served && l.OK == l.Sent
	d.Steps.Check("An upstream of "+service+" announces that it leaves", ok,
		"no new work at it after 2 s, every request answered",
		fmt.Sprintf("%d new requests at it, %d of %d answered", after.Served-before.Served, l.OK, l.Sent))
}

// checkDrain drains a daemon under load.
func (d *Demo) checkDrain(ctx context.Context) {
	drained := d.Daemons[0]
	client, err := admin.NewClient([]string{drained.AdminAddress}, d.Key)
	if err == nil {
		err = client.Drain(ctx)
	}
	if err != nil {
		d.Steps.Check("A daemon leaves", false, "accepted", err.Error())
		return
	}
	l := NewLoad()
	loadCtx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	l.Run(loadCtx, d.newCallers("steady", 12), 10*time.Millisecond, func(c *Caller, n int) Outcome {
		service := serviceNames(d.Upstreams)[n%len(d.Upstreams)]
		return c.Do(ctx, service, "GET", servicePaths[service], "", nil)
	})
	exited := !isAlive(ctx, drained.AdminAddress)
	d.Steps.Check("A daemon leaves under load", l.OK == l.Sent && exited && len(l.Unanswered) == 0,
		"every request answered, the daemon gone after at most 8 s",
		fmt.Sprintf("%d of %d answered, statuses %v, lost %s, gone: %v", l.OK, l.Sent, l.ByStatus, strings.Join(l.Unanswered, "; "), exited))
}
