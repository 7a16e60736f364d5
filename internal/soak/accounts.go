package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"shallotglade/internal/fleettest"
	"shallotglade/internal/standin"
	"shallotglade/pkg/account"
	daemonproxy "shallotglade/pkg/proxy"
)

const (
	// accountCount is the number of accounts of the callers. The first has no allowance, that
	// of the second never changes.
	accountCount = 4
	// keysPerAccount is the number of keys of an account, of which the document holds some.
	keysPerAccount = 3
	// secretPrefix begins each key, so that a key is found in any header.
	secretPrefix = "soak-secret-"
	probeAccount = "probe"
	// seriesPerSecond is the rate of series of changes of the document.
	seriesPerSecond = 0.6
	maxSeriesLength = 4
	maxSeriesPause  = 600 * time.Millisecond
	openPath        = "/open"
)

// allowanceValues are the rates and bursts that an allowance is drawn from. The callers of an
// account send more than most of the rates.
var allowanceValues = []float64{1, 2, 4, 8, 16, 32}

// Streams of the random numbers of a seed. Stream 0 draws the faults.
const (
	documentStream = 3 + iota
	submitStream
	firstCallerStream
)

// accountState is an account as a version of the document lists it.
type accountState struct {
	held [keysPerAccount]bool
	// rate and burst are the allowance; a rate of 0 means no limit.
	rate, burst float64
}

// accountStates are the accounts of a version of the document.
type accountStates [accountCount]accountState

// plannedDocument is a version of the document and the offset at which it is submitted.
type plannedDocument struct {
	at       time.Duration
	accounts accountStates
}

// usesAccounts reports whether the service of a seed has accounts. A third of the seeds
// plays a deployment without.
func usesAccounts(seed uint64) bool { return seed%3 != 2 }

// planDocuments returns the versions of the document of a seed. The first has offset 0.
func planDocuments(seed uint64, duration time.Duration) []plannedDocument {
	rng := rand.New(rand.NewPCG(seed, documentStream))
	var accounts accountStates
	for i := range accounts {
		accounts[i].held = [keysPerAccount]bool{true, rng.IntN(2) == 0}
		if i > 0 {
			accounts[i].drawAllowance(rng)
		}
	}
	documents := []plannedDocument{{0, accounts}}
	for start := time.Duration(0); ; {
		start += time.Duration(rng.ExpFloat64() / seriesPerSecond * float64(time.Second))
		at := start
		for range 1 + rng.IntN(maxSeriesLength) {
			if at >= duration {
				return documents
			}
			if i := rng.IntN(accountCount); i >= 2 && rng.IntN(2) == 0 {
				accounts[i].drawAllowance(rng)
			} else {
				key := rng.IntN(keysPerAccount)
				accounts[i].held[key] = !accounts[i].held[key]
			}
			documents = append(documents, plannedDocument{at, accounts})
			at += time.Duration(rng.Int64N(int64(maxSeriesPause)))
		}
		start = at
	}
}

func (a *accountState) drawAllowance(rng *rand.Rand) {
	a.rate, a.burst = allowanceValues[rng.IntN(len(allowanceValues))], allowanceValues[rng.IntN(len(allowanceValues))]
}

// accountName returns the name of an account, and "" for noAccount.
func accountName(i int) string {
	if i == noAccount {
		return ""
	}
	return fmt.Sprintf("account-%d", i)
}

func secret(name string, key int) string { return fmt.Sprintf("%s%s-%d", secretPrefix, name, key) }

// accountsDocument returns the text of a version of the document. number makes it differ from
// those of all other versions.
func accountsDocument(number int, accounts accountStates) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Version %d\n%sroutes: [{path: /}, {path: %s, open: true}]\naccounts:\n", number, serviceDocument, openPath)
	add := func(name string, rate, burst float64, priority int, secrets ...string) {
		var digests []string
		for _, s := range secrets {
			d := account.DigestOf([]byte(s))
			digests = append(digests, fmt.Sprintf("%q", hex.EncodeToString(d[:])))
		}
		fmt.Fprintf(&b, "  - {name: %s, keys: [%s], rate: %g, burst: %g, priority: %d}\n", name, strings.Join(digests, ", "), rate, burst, priority)
	}
	add(probeAccount, 1000, 1000, 0, secret(probeAccount, 0))
	for i, a := range accounts {
		var secrets []string
		for key, held := range a.held {
			if held {
				secrets = append(secrets, secret(accountName(i), key))
			}
		}
		add(accountName(i), a.rate, a.burst, i%2, secrets...)
	}
	return b.String()
}

// changeDocuments submits the planned versions one after the other, each at its offset or when
// the previous one has been accepted. The first is in force already.
func (r *run) changeDocuments(ctx context.Context, start time.Time, seed uint64, documents []plannedDocument) {
	rng := rand.New(rand.NewPCG(seed, submitStream))
	for i, d := range documents[1:] {
		time.Sleep(time.Until(start.Add(d.at)))
		if ctx.Err() != nil {
			return
		}
		r.history = append(r.history, documentVersion{accounts: d.accounts, submitted: time.Now()})
		if !r.submit(ctx, rng, accountsDocument(i+1, d.accounts)) {
			r.recorder.addProblem("version %d of the document was not accepted within %v", i+1, startTimeout)
			return
		}
		r.history[len(r.history)-1].acknowledged = time.Now()
	}
}

// submit replaces the document and reports whether that was accepted within startTimeout. It
// tries any daemon without a fault until one accepts the text or returns it as the current one.
func (r *run) submit(ctx context.Context, rng *rand.Rand, text string) bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		i := rng.IntN(r.daemons)
		if r.outages.active(i) {
			continue
		}
		client, err := r.fleet.Client(r.fleet.Daemons[i])
		if err != nil {
			continue
		}
		current, err := client.Service(ctx, serviceName)
		if err == nil && current.Document != text {
			_, err = client.Put(ctx, serviceName, current.Version, []byte(text))
		}
		if err == nil {
			return true
		}
	}
	return false
}

// sendWithKeys is sendRequests for a service with accounts. Most requests have a key of the
// caller's account, which the document may not hold; some have a wrong key, none, or use the
// open route; many state an account of their own choice.
func (r *run) sendWithKeys(ctx context.Context, seed uint64, callerIndex int, c *standin.Caller) {
	rng := rand.New(rand.NewPCG(seed, firstCallerStream+uint64(callerIndex)))
	owner := callerIndex % accountCount
	var current try
	c.Edit = func(h *http.Request) { current.prepare(h, rng) }
	c.OnTry = func(h *http.Request, sent time.Time, o standin.Outcome) { r.addTry(current, h, sent, o) }
	requestCtx := context.WithoutCancel(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		open := rng.IntN(10) == 0
		path := "/keyed"
		if open {
			path = openPath
		}
		send := func(method, key string, body []byte) {
			current = try{open: open, account: owner, key: rng.IntN(keysPerAccount)}
			switch rng.IntN(20) {
			case 0:
				current.account, current.key = noAccount, 0
			case 1:
				current.account, current.key = noAccount, wrongKey
			}
			r.recorder.add(key, c.Do(requestCtx, serviceName, method, path, key, body))
		}
		if n%2 == 0 {
			send("GET", "", nil)
		} else {
			key := fmt.Sprintf("k-%d-%d", callerIndex, n)
			for range 2 {
				send("POST", key, []byte(key))
			}
		}
		time.Sleep(requestPause)
	}
}

// prepare sets the headers of a request. Requests are routed by their path if the route is
// open, because a service named by a header has no open route, and half of the others too.
func (t *try) prepare(h *http.Request, rng *rand.Rand) {
	if t.open || rng.IntN(2) == 0 {
		h.Header.Del(daemonproxy.HeaderService)
	}
	if key := t.secret(); key != "" {
		h.Header.Set("Authorization", "Bearer "+key)
	}
	h.Header.Del(daemonproxy.HeaderCaller)
	for range rng.IntN(3) {
		h.Header.Add(daemonproxy.HeaderCaller, accountName(rng.IntN(accountCount)))
	}
}

// addTry records a request that was sent.
func (r *run) addTry(t try, h *http.Request, sent time.Time, o standin.Outcome) {
	t.echo, t.sent, t.ended, t.outcome = h.Header.Get(standin.HeaderEcho), sent, time.Now(), o
	t.daemon = r.daemonAt[h.URL.Host]
	r.triesMu.Lock()
	defer r.triesMu.Unlock()
	r.tries = append(r.tries, t)
}

// newProbes returns a caller in each domain whose requests must be served without faults.
func (r *run) newProbes() []*standin.Caller {
	callers := r.fleet.NewCallers(probeAccount, len(domains))
	for _, c := range callers {
		if r.documents != nil {
			c.Edit = func(h *http.Request) { h.Header.Set("Authorization", "Bearer "+secret(probeAccount, 0)) }
			c.OnTry = func(h *http.Request, sent time.Time, o standin.Outcome) { r.addTry(try{account: probe}, h, sent, o) }
		}
	}
	return callers
}

// checkAccounts returns the problems with keys, accounts and allowances.
func (r *run) checkAccounts(ctx context.Context) ([]string, error) {
	if r.documents == nil {
		return nil, nil
	}
	var arrivals []standin.Arrival
	for _, u := range r.fleet.Upstreams {
		list, err := standin.Arrivals(ctx, u.Address)
		if err != nil {
			return nil, err
		}
		arrivals = append(arrivals, list...)
	}
	return r.check(arrivals), nil
}

// indexDaemons returns the indices of the daemons by caller address.
func indexDaemons(f *fleettest.Fleet) map[string]int {
	daemons := map[string]int{}
	for i, d := range f.Daemons {
		daemons[d.CallerAddress] = i
	}
	return daemons
}
