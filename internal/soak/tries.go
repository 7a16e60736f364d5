package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotglade/internal/standin"
	daemonproxy "shallotglade/pkg/proxy"
	"shallotglade/pkg/verdict"
)

const (
	// applyTimeout is the time in which a daemon that is in contact with the platform applies a
	// new version of the document: twice the users' 3 s, to allow for a busy machine.
	applyTimeout = 6 * time.Second
	// The limits of an allowance are the defaults of the settings accounts.quota.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaExtra     = 20
)

// Values of try.account other than the index of an account.
const (
	// noAccount marks a request without a key, or with one that no document ever held.
	noAccount = -1
	// probe marks a request of the probe account, whose key every document holds.
	probe = -2
)

// wrongKey is the value of try.key of a request whose key no document ever held.
const wrongKey = -1

// try is a request sent once.
type try struct {
	echo string
	// daemon is the index of the daemon that got the request.
	daemon int
	// open is true if the route needs no key.
	open bool
	// account and key select the key of the request.
	account, key int
	sent, ended  time.Time
	outcome      standin.Outcome
}

// secret returns the key that the request is sent with, or "".
func (t *try) secret() string {
	switch {
	case t.account >= 0:
		return secret(accountName(t.account), t.key)
	case t.key == wrongKey:
		return secret("of-nobody", 0)
	}
	return ""
}

// name returns the account whose name upstreams must get, or "" if they must get none.
func (t *try) name() string {
	switch {
	case t.open:
		return ""
	case t.account == probe:
		return probeAccount
	}
	return accountName(t.account)
}

// String describes the request for a problem.
func (t *try) String() string {
	return fmt.Sprintf("request %s of %q (open: %v, key %d) to daemon-%d, sent %s, status %d, verdict %v",
		t.echo, t.name(), t.open, t.key, t.daemon, t.sent.Format("15:04:05.000"), t.outcome.Status, t.outcome.Verdict)
}

// answered reports whether the caller got a whole answer.
func (t *try) answered() bool { return t.outcome.Err == nil && t.outcome.Status != 0 }

// documentVersion is a version of the document. acknowledged is zero if that is unknown.
type documentVersion struct {
	accounts                accountStates
	submitted, acknowledged time.Time
}

// platformOutage is the value of outage.daemon for the platform.
const platformOutage = -1

// outage is a period in which a daemon, or every daemon, had no contact with the platform.
type outage struct {
	daemon     int
	start, end time.Time
}

// outageLog records the outages. It is safe for concurrent use.
type outageLog struct {
	mu   sync.Mutex
	list []*outage
}

// begin records the start of an outage and returns the function that records its end.
func (l *outageLog) begin(daemon int) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &outage{daemon: daemon, start: time.Now()}
	l.list = append(l.list, o)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		o.end = time.Now()
	}
}

// active reports whether a daemon or the platform has an outage now.
func (l *outageLog) active(daemon int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.list, func(o *outage) bool {
		return o.end.IsZero() && (o.daemon == daemon || o.daemon == platformOutage)
	})
}

// appliedBy returns when a daemon must have applied a version that was acknowledged at the
// given time: at the end of the first applyTimeout without an outage since then.
func (l *outageLog) appliedBy(daemon int, acknowledged time.Time) time.Time {
	t := acknowledged
	for _, o := range l.list {
		if (o.daemon == daemon || o.daemon == platformOutage) && o.start.Before(t.Add(applyTimeout)) && o.end.After(t) {
			t = o.end
		}
	}
	return t.Add(applyTimeout)
}

// observations are what a run with accounts has seen.
type observations struct {
	daemonCount int
	history     []documentVersion
	outages     outageLog
	// triesMu guards tries, which callers append to.
	triesMu sync.Mutex
	tries   []try
	// fullest is the largest share of the limit of an allowance that ran in a window.
	fullest float64
}

// check returns the broken promises. arrivals are the requests that reached an upstream.
func (b *observations) check(arrivals []standin.Arrival) []string {
	slices.SortFunc(b.outages.list, func(x, y *outage) int { return x.start.Compare(y.start) })
	byEcho := make(map[string]*try, len(b.tries))
	for i := range b.tries {
		byEcho[b.tries[i].echo] = &b.tries[i]
	}
	var problems []string
	ranAt := map[string]time.Time{}
	for i := range arrivals {
		a := &arrivals[i]
		echo := a.Header.Get(standin.HeaderEcho)
		t := byEcho[echo]
		if t == nil {
			problems = append(problems, fmt.Sprintf("an upstream got request %q, which no caller sent", echo))
			continue
		}
		problems = append(problems, checkHeader(t, a.Header)...)
		if first, found := ranAt[echo]; a.Ran && (!found || a.At.Before(first)) {
			ranAt[echo] = a.At
		}
	}
	for i := range b.tries {
		at, ran := ranAt[b.tries[i].echo]
		if p := b.checkTry(&b.tries[i], ran, at); p != "" {
			problems = append(problems, p+": "+b.tries[i].String())
		}
	}
	for i := range accountCount {
		problems = append(problems, b.checkAllowance(i, ranAt)...)
	}
	return problems
}

// checkHeader checks what an upstream got of the keys and accounts.
func checkHeader(t *try, header http.Header) []string {
	var problems []string
	for name, values := range header {
		if name == "Authorization" || strings.Contains(strings.Join(values, " "), secretPrefix) {
			problems = append(problems, fmt.Sprintf("an upstream got a key in header %s: %v", name, t))
		}
	}
	var want []string
	if name := t.name(); name != "" {
		want = []string{name}
	}
	if got := header.Values(daemonproxy.HeaderCaller); !slices.Equal(got, want) {
		problems = append(problems, fmt.Sprintf("an upstream got the accounts %q: %v", got, t))
	}
	return problems
}

// checkTry returns what is wrong with the outcome of a request, or "".
func (b *observations) checkTry(t *try, ran bool, at time.Time) string {
	refused := t.answered() && t.outcome.Verdict == verdict.NotRun
	switch {
	case ran && !t.open && t.account == noAccount:
		return "a request without a key of an account ran"
	case ran && !t.open && t.account >= 0 && !b.mayApply(t, at, func(a accountState) bool { return a.held[t.key] }):
		return "a request ran under a version without its key"
	case ran && refused:
		return "a request that was refused as not run has run"
	}
	if !t.answered() || t.outcome.Status != 401 && t.outcome.Status != 429 {
		return ""
	}
	return b.checkRefusal(t)
}

// checkRefusal returns what is wrong with a refusal for want of a key or allowance, or "".
func (b *observations) checkRefusal(t *try) string {
	switch {
	case t.outcome.Verdict != verdict.NotRun:
		return "a refusal does not say that the request has not run"
	case t.open || t.account == probe:
		return "a request that needs no key or has a valid one within the allowance was refused"
	case t.outcome.Status == 401 && t.account >= 0 && !b.mayApply(t, t.ended, func(a accountState) bool { return !a.held[t.key] }):
		return "a request was refused although all versions hold its key"
	case t.outcome.Status == 429 && (t.account < 0 || !b.mayApply(t, t.ended, func(a accountState) bool { return a.rate > 0 })):
		return "a request without an allowance was refused"
	}
	return ""
}

// mayApply reports whether the daemon of a request may have decided it, until the given time,
// by a version of the document whose state of the request's account meets the condition.
func (b *observations) mayApply(t *try, until time.Time, condition func(accountState) bool) bool {
	for i := range b.history {
		if !b.history[i].submitted.After(until) && t.sent.Before(b.replacedBy(i, t.daemon)) && condition(b.history[i].accounts[t.account]) {
			return true
		}
	}
	return false
}

// endOfTime is later than all other times.
var endOfTime = time.Unix(1<<40, 0)

// replacedBy returns when a daemon must have replaced a version by the next one.
func (b *observations) replacedBy(version, daemon int) time.Time {
	if version+1 >= len(b.history) || b.history[version+1].acknowledged.IsZero() {
		return endOfTime
	}
	return b.outages.appliedBy(daemon, b.history[version+1].acknowledged)
}

// checkAllowance checks the requests of an account in each window that begins with one.
func (b *observations) checkAllowance(account int, ranAt map[string]time.Time) []string {
	type request struct{ sent, ran time.Time }
	var requests []request
	for i := range b.tries {
		if t := &b.tries[i]; t.account == account && !t.open {
			if at, ran := ranAt[t.echo]; ran {
				requests = append(requests, request{t.sent, at})
			}
		}
	}
	slices.SortFunc(requests, func(x, y request) int { return x.sent.Compare(y.sent) })
	replaced := b.replacedEverywhere()
	for i, first := range requests {
		end, n := first.sent.Add(quotaWindow), 0
		for _, r := range requests[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.ran.After(end) {
				n++
			}
		}
		limit, limited := b.allowance(account, first.sent, replaced)
		if !limited {
			continue
		}
		if b.fullest = max(b.fullest, float64(n)/limit); float64(n) > limit {
			return []string{fmt.Sprintf("%s ran %d requests in the %v from %s, more than %.1f", accountName(account), n, quotaWindow, first.sent.Format("15:04:05.000"), limit)}
		}
	}
	return nil
}

// replacedEverywhere returns for each version when all daemons must have replaced it.
func (b *observations) replacedEverywhere() []time.Time {
	out := make([]time.Time, len(b.history))
	for i := range out {
		for daemon := range b.daemonCount {
			if at := b.replacedBy(i, daemon); at.After(out[i]) {
				out[i] = at
			}
		}
	}
	return out
}

// allowance returns how many requests of an account may run in the window from start. A
// version counts until a window after all daemons must have replaced it.
func (b *observations) allowance(account int, start time.Time, replaced []time.Time) (limit float64, limited bool) {
	for i, v := range b.history {
		if v.submitted.After(start.Add(quotaWindow)) || !start.Before(replaced[i].Add(quotaWindow)) {
			continue
		}
		a := v.accounts[account]
		if a.rate == 0 {
			return 0, false
		}
		limit = max(limit, (a.rate*quotaWindow.Seconds()+a.burst)*(1+quotaOvershoot)+quotaExtra)
	}
	return limit, true
}

// String summarizes what the checks have looked at.
func (b *observations) String() string {
	counts := map[int]int{}
	revoked := 0
	for i := range b.tries {
		t := &b.tries[i]
		counts[t.outcome.Status]++
		if t.account >= 0 && !t.open && !b.mayApply(t, t.ended, func(a accountState) bool { return a.held[t.key] }) {
			revoked++
		}
	}
	statuses := make([]string, 0, len(counts))
	for status, n := range counts {
		statuses = append(statuses, fmt.Sprintf("%d: %d", status, n))
	}
	slices.SortFunc(statuses, cmp.Compare)
	return fmt.Sprintf("%d versions, %d requests (%s), %d with keys that no version in force held, up to %.2f of the limit of an allowance in a window",
		len(b.history), len(b.tries), strings.Join(statuses, ", "), revoked, b.fullest)
}
