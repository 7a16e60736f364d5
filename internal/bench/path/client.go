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

// idleConnections is how many connections are kept to each address.
const idleConnections = 512

// kind is a kind of request and where it goes, in turn.
type kind struct {
	name  string
	to    []string
	keyed bool
}

// client sends all requests of the bench, direct and proxied.
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

// send returns the time until the whole answer had arrived.
func (c *client) send(k kind, n int) (time.Duration, error) {
	method, body := http.MethodGet, ""
	if k.keyed {
		method, body = http.MethodPost, `{"order":1}`
	}
	r, err := http.NewRequest(method, "http://"+k.to[n%len(k.to)]+"/x", strings.NewReader(body))
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
	text, err := io.ReadAll(resp.Body)
	took := time.Since(start)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("status %d: %.200s", resp.StatusCode, text)
	}
	return took, err
}
