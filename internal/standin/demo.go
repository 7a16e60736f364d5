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

// Demo shows the fleet at work. The processes are already running.
type Demo struct {
	// Daemons are the callers' and admin addresses of the daemons.
	Daemons []DemoDaemon
	// Upstreams maps each service to its upstreams' names and addresses.
	Upstreams map[string]map[string]string
	// Key is an administration key of team "*".
	Key   string
	Steps *Steps
}

// DemoDaemon is one daemon of the demo.
type DemoDaemon struct {
	Callers string
	Admin   string
	Domain  string
}

// Orders are the services of the demo that take orders.
var orderServices = []string{"bons-chantier", "wheel-roster"}

// paths of the services, as their documents route them.
var paths = map[string]string{
	"registre-steles": "/registre/1", "bons-chantier": "/bons/1", "tableau-equipes": "/equipes/1",
	"stone-catalogue": "/catalogue/1", "wheel-roster": "/wheels/1", "batch-ledger": "/batches/1",
}

// readPause lies between two requests of a caller of the demo. Each caller is
// an account of its own and stays under the lowest callerRate of the examples,
// 20 requests a second, however long a step lasts on a slow host.
const readPause = 60 * time.Millisecond

// readCallers is how many callers read from one service at a time.
const readCallers = 12

// Run performs all steps and returns an error if one failed.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context){d.addresses, d.reads, d.orders, d.graySickness, d.leavingUpstream, d.drain} {
		step(ctx)
	}
	if d.Steps.Failed > 0 {
		return errors.Newf("%d steps failed", d.Steps.Failed)
	}
	return nil
}

func (d *Demo) callers(name string, n int) []*Caller {
	var seeds []string
	for _, x := range d.Daemons {
		seeds = append(seeds, x.Callers)
	}
	out := make([]*Caller, n)
	for i := range out {
		out[i] = NewCaller(fmt.Sprintf("%s-%d", name, i), d.Daemons[i%len(d.Daemons)].Domain, seeds)
	}
	return out
}

func (d *Demo) awaitReady(ctx context.Context) error {
	start := time.Now()
	for _, x := range d.Daemons {
		for !isReady(ctx, x.Admin) {
			if time.Since(start) > 20*time.Second || ctx.Err() != nil {
				return errors.Newf("daemon %s is not ready", x.Callers)
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
	resp, err := control.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func (d *Demo) domainOf(address string) string {
	for _, x := range d.Daemons {
		if x.Callers == address {
			return x.Domain
		}
	}
	return ""
}

func (d *Demo) addresses(ctx context.Context) {
	c := d.callers("asks", 1)[0]
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

// loadFor runs readCallers callers on a service for a time.
func (d *Demo) loadFor(ctx context.Context, service string, length time.Duration) *Load {
	l := NewLoad()
	ctx2, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	l.Run(ctx2, d.callers("reads-"+service, readCallers), readPause, func(c *Caller, _ int) Outcome {
		return c.Do(ctx, service, "GET", paths[service], "", nil)
	})
	return l
}

func (d *Demo) reads(ctx context.Context) {
	for _, service := range sorted(d.Upstreams) {
		l := d.loadFor(ctx, service, time.Second)
		ok := l.Sent > 0 && l.OK == l.Sent
		d.Steps.Check("Reads of "+service, ok, "every answer 200, whole and the caller's own",
			fmt.Sprintf("%d of %d at %d upstreams; wrong: %v", l.OK, l.Sent, len(l.ByUpstream), l.Wrong))
	}
}

func sorted(m map[string]map[string]string) []string {
	var out []string
	for k := range m {
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

// orders sends each order twice, the second time by a caller in another domain,
// and counts the runs at the upstreams.
func (d *Demo) orders(ctx context.Context) {
	for _, service := range orderServices {
		callers := d.callers("clerk", 3)
		for _, c := range callers {
			c.Name = "clerk" // one account, three places
		}
		first, replayed := 0, 0
		for i := range 30 {
			key := fmt.Sprintf("%s-%d", service, i)
			if o := callers[i%3].Do(ctx, service, "POST", paths[service], key, []byte(key)); o.Status == 200 {
				first++
			}
			if o := callers[(i+1)%3].Do(ctx, service, "POST", paths[service], key, []byte(key)); o.Replayed || o.Status == 409 {
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

// graySickness makes an upstream fail half of its work while its probes succeed.
func (d *Demo) graySickness(ctx context.Context) {
	service := "registre-steles"
	name := sortedNames(d.Upstreams[service])[0]
	if err := SetMode(ctx, d.Upstreams[service][name], Mode{FailShare: 0.5, HangShare: 0.1}); err != nil {
		d.Steps.Check("An upstream falls sick", false, "mode set", err.Error())
		return
	}
	during := d.loadFor(ctx, service, 4*time.Second)
	after := d.loadFor(ctx, service, 2*time.Second)
	share := float64(after.ByUpstream[name]) / float64(max(1, after.Sent))
	d.Steps.Check("An upstream of "+service+" fails 60% of its work while its probes succeed", len(during.Wrong)+len(after.Wrong) == 0 && share < 0.05,
		"no wrong answer, and after 4 s below 5% of the answers come from it",
		fmt.Sprintf("while it was found: %v; after: %v, %.1f%% from %s", during.ByStatus, after.ByStatus, 100*share, name))
	_ = SetMode(ctx, d.Upstreams[service][name], Mode{})
}

func sortedNames(m map[string]string) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// leavingUpstream lets an upstream announce that it leaves.
func (d *Demo) leavingUpstream(ctx context.Context) {
	service := "tableau-equipes"
	name := sortedNames(d.Upstreams[service])[0]
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

// drain makes a daemon leave under load.
func (d *Demo) drain(ctx context.Context) {
	gone := d.Daemons[0]
	client, err := admin.NewClient([]string{gone.Admin}, d.Key)
	if err == nil {
		err = client.Drain(ctx)
	}
	if err != nil {
		d.Steps.Check("A daemon leaves", false, "accepted", err.Error())
		return
	}
	l := NewLoad()
	ctx2, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	l.Run(ctx2, d.callers("steady", 12), 10*time.Millisecond, func(c *Caller, n int) Outcome {
		service := sorted(d.Upstreams)[n%len(d.Upstreams)]
		return c.Do(ctx, service, "GET", paths[service], "", nil)
	})
	exited := !isAlive(ctx, gone.Admin)
	d.Steps.Check("A daemon leaves under load", l.OK == l.Sent && exited && len(l.Lost) == 0,
		"every request answered, the daemon gone after at most 8 s",
		fmt.Sprintf("%d of %d answered, statuses %v, lost %s, gone: %v", l.OK, l.Sent, l.ByStatus, strings.Join(l.Lost, "; "), exited))
}
