package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/dialect"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/verdict"
)

// Caller behaves like a user's program: it asks which daemon addresses to use, caches
// the list for its lifetime, and tries the next address when one does not answer.
type Caller struct {
	// Name is the client account.
	Name string
	// Domain is the failure domain of the caller.
	Domain string
	// Seeds are listen addresses of daemons, asked after the cached addresses.
	Seeds []string
	// Crash adds crashHeader to requests: each upstream that runs one crashes.
	Crash bool
	// Edit changes each request before it is sent. OnTry gets each request that was sent, with
	// the time of sending and the outcome. Both may be nil.
	Edit  func(*http.Request)
	OnTry func(r *http.Request, sent time.Time, o Outcome)

	http  *http.Client
	mu    sync.Mutex
	cache map[string]cachedList
}

// cachedList is a cached list of daemon addresses.
type cachedList struct {
	addresses []string
	expiresAt time.Time
}

// NewCaller returns a caller that reuses connections.
func NewCaller(name, domain string, seeds []string) *Caller {
	return &Caller{
		Name: name, Domain: domain, Seeds: seeds, cache: map[string]cachedList{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}},
	}
}

// Outcome is the result of one request, including its retries.
type Outcome struct {
	Status   int
	Verdict  verdict.Verdict
	Upstream string
	Body     string
	Replayed bool
	// Tries is how many times the request was sent.
	Tries int
	// Refused is how many tries were answered with 503 and the verdict "not run".
	Refused int
	// Duration is the time of all tries together.
	Duration time.Duration
	Err      error
}

// Addresses returns the daemon addresses to use for a service. It returns the cached
// list if that has not expired and no address has failed.
func (c *Caller) Addresses(ctx context.Context, service string, failed []string) ([]string, error) {
	c.mu.Lock()
	cached, ok := c.cache[service]
	c.mu.Unlock()
	if ok && len(failed) == 0 && time.Now().Before(cached.expiresAt) {
		return cached.addresses, nil
	}
	seeds := append(append([]string(nil), cached.addresses...), c.Seeds...)
	q := url.Values{"service": {service}, "domain": {c.Domain}, "failed": {strings.Join(failed, ",")}}
	var lastErr error
	for _, seed := range seeds {
		answer, err := c.requestAddresses(ctx, seed, q)
		if err != nil {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.cache[service] = cachedList{answer.Addresses, time.Now().Add(time.Duration(answer.LifetimeMs) * time.Millisecond)}
		c.mu.Unlock()
		return answer.Addresses, nil
	}
	return nil, errors.Wrap(lastErr, "no daemon returned a list of addresses")
}

// requestAddresses asks one daemon for the addresses to use.
func (c *Caller) requestAddresses(ctx context.Context, seed string, q url.Values) (dialect.NativeAnswer, error) {
	var answer dialect.NativeAnswer
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+seed+dialect.AddressesPath+"?"+q.Encode(), nil)
	if err != nil {
		return answer, err
	}
	r.Header.Set(proxy.HeaderCaller, c.Name)
	resp, err := c.http.Do(r)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return answer, errors.Newf("status %d", resp.StatusCode)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

const (
	maxTries = 6
	// retryPause is the pause after a refusal. It is shorter than the Retry-After of
	// the answer to keep test runs short.
	retryPause = 100 * time.Millisecond
)

// Do sends one request and checks that the answer belongs to it. If there is no valid
// answer and the request is a GET or has a key, it is sent to the next address. If it is
// refused with 503 and the verdict "not run", it is sent again after a pause.
func (c *Caller) Do(ctx context.Context, service, method, path, key string, body []byte) Outcome {
	start := time.Now()
	outcome := Outcome{Err: errors.New("no address")}
	var failed []string
	refused := 0
	for outcome.Tries < maxTries {
		addresses, err := c.Addresses(ctx, service, failed)
		if err == nil && len(addresses) == 0 {
			err = errors.New("the list of addresses is empty")
		}
		if err != nil {
			outcome.Err = err
			break
		}
		address := pickAddress(addresses, failed)
		tries := outcome.Tries + 1
		outcome = c.send(ctx, address, service, method, path, key, body)
		outcome.Tries = tries
		if outcome.Err == nil && outcome.Status == 503 && outcome.Verdict == verdict.NotRun {
			refused++
			time.Sleep(retryPause)
			continue
		}
		if outcome.Err == nil || method != "GET" && key == "" {
			break
		}
		failed = append(failed, address)
	}
	outcome.Duration, outcome.Refused = time.Since(start), refused
	return outcome
}

// pickAddress returns the first address that has not failed, or a random one if all
// have failed.
func pickAddress(addresses, failed []string) string {
	for _, a := range addresses {
		if !contains(failed, a) {
			return a
		}
	}
	return addresses[rand.IntN(len(addresses))]
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// HeaderEcho identifies each request that a caller sends. Upstreams return its value.
const HeaderEcho = "X-Echo"

// send sends a request once.
func (c *Caller) send(ctx context.Context, address, service, method, path, key string, body []byte) Outcome {
	echo := fmt.Sprintf("%016x", rand.Uint64())
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Outcome{Err: err}
	}
	r.Header.Set(proxy.HeaderService, service)
	r.Header.Set(proxy.HeaderCaller, c.Name)
	r.Header.Set(HeaderEcho, echo)
	if key != "" {
		r.Header.Set(proxy.HeaderKey, key)
	}
	if c.Crash {
		r.Header.Set(crashHeader, "1")
	}
	if c.Edit != nil {
		c.Edit(r)
	}
	sent := time.Now()
	outcome := c.exchange(r, echo)
	if c.OnTry != nil {
		c.OnTry(r, sent, outcome)
	}
	return outcome
}

// exchange sends a request with the given echo and reads the answer.
func (c *Caller) exchange(r *http.Request, echo string) Outcome {
	resp, err := c.http.Do(r)
	if err != nil {
		return Outcome{Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	outcome := Outcome{
		Status: resp.StatusCode, Verdict: verdict.Parse(resp.Header.Get(verdict.Header)), Upstream: resp.Header.Get(dialect.HeaderUpstream),
		Body: string(text), Replayed: resp.Header.Get(proxy.HeaderReplayed) == "true", Err: err,
	}
	if err == nil && resp.StatusCode == 200 && !outcome.Replayed {
		outcome.Err = checkEcho(text, echo)
	}
	return outcome
}

// checkEcho returns an error if the answer is incomplete or belongs to another request.
func checkEcho(body []byte, echo string) error {
	var answer struct {
		Echo string `json:"echo"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Wrap(err, "the answer is incomplete")
	}
	if answer.Echo != echo {
		return errors.Newf("the answer belongs to another request: sent %s, got %s", echo, answer.Echo)
	}
	return nil
}
