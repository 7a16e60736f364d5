package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["restore"] = playRestore }

const (
	// regressAfter is eight times downgrade_ms (250 ms), the widest bound of the rule.
	regressAfter = 8 * 250 * time.Millisecond
	// copyAge is how much older the copy is than the moment at which the store goes away, and
	// awayFor how long it is away.
	copyAge = 6 * time.Second
	awayFor = time.Second
	// rewriteAfter is when the operator writes the newest config again, after the store is back.
	rewriteAfter = time.Second
)

// playRestore moves a route to another service, restores the store from a copy of before, and
// lets the operator write the newest config again.
func playRestore(r *run) (bool, error) {
	if _, err := r.begin(6, 20*time.Millisecond); err != nil {
		return false, err
	}
	newest := configText(9, routesTo(otherService), readService, orderService, otherService)
	r.probeAll(readService)
	copied := r.store.copy()
	r.record.printf("the store is copied; it holds version 7")
	time.Sleep(time.Second)
	r.store.put("config", "main", newest)
	r.record.printf("the operator writes version 9, which moves the reads to %s; the store acknowledges it", otherService)
	time.Sleep(copyAge - time.Second - regressAfter)
	effect := map[string]time.Time{}
	for name, a := range r.probeAll(otherService) {
		effect[name] = a.endedAt
	}
	time.Sleep(regressAfter)
	if r.trouble {
		r.store.goAway()
		r.record.printf("the store is away")
		time.Sleep(awayFor)
		r.store.comeBack(copied)
		r.record.printf("the store is back, from its copy")
	}
	broken := false
	back, rewritten := time.Now(), false
	for time.Since(back) < 5*time.Second {
		if !rewritten && time.Since(back) > rewriteAfter {
			r.store.put("config", "main", newest)
			r.record.printf("the operator writes version 9 again")
			rewritten = true
		}
		for name, a := range r.probeAll("") {
			seen, known := effect[name]
			if known && a.sentAt.Sub(seen) > regressAfter && servedBy(a, readService) {
				r.record.printf("CONFIG: %s handled %s as only version 7 allows, %d ms after a worker saw the effect of version 9",
					name, a.id, a.sentAt.Sub(seen).Milliseconds())
				broken = true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken, nil
}

// probeAll sends a read to each daemon. It returns the attempts that were served by the service,
// or all if it is empty, by the name of the daemon.
func (r *run) probeAll(service string) map[string]attempt {
	out := map[string]attempt{}
	for _, d := range r.fleet.daemons {
		a := r.send(d.frontend, http.MethodGet, readPath+"2f", "")
		if service == "" || servedBy(a, service) {
			out[d.name] = a
		}
	}
	return out
}

func servedBy(a attempt, service string) bool {
	return a.status == http.StatusOK && strings.HasPrefix(a.signature, "i-"+service+"-")
}
