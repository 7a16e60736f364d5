package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/proxy"
)

// idleConnections is the maximum number of idle connections per address.
const idleConnections = 512

// requestKind is a kind of request and the addresses that receive it in
// round-robin order.
type requestKind struct {
	name      string
	addresses []string
	keyed     bool
}

// client sends the direct and the proxied requests of the benchmark.
type client struct {
	http http.Client
	seed uint64
}

func newClient() *client {
	return &client{
		http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}, Timeout: maxLatency},
		seed: rand.Uint64(),
	}
}

// send sends the nth request of kind k and returns the time until the complete
// response was read.
func (c *client) send(k requestKind, n int) (time.Duration, error) {
	method, body := http.MethodGet, ""
	if k.keyed {
		method, body = http.MethodPost, `{"order":1}`
	}
	r, err := http.NewRequest(method, "http://"+k.addresses[n%len(k.addresses)]+"/x", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set(proxy.HeaderService, service)
	r.Header.Set(proxy.HeaderCaller, "bench")
	if k.keyed {
		r.Header.Set(proxy.HeaderKey, fmt.Sprintf("%x-%x", c.seed, rand.Uint64()))
	}
	start := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	took := time.Since(start)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("status %d: %.200s", resp.StatusCode, content)
	}
	return took, err
}
