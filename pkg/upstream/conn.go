package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/client"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/cockroachdb/errors"
)

// maxResponseBytes is the largest answer body. Answers are held whole before a
// byte of them goes to the caller.
const maxResponseBytes = 64 << 20

// The HTTP library has a goroutine for each connection object that looks for
// idle connections and, at the next look after the connection has closed, ends.
// The looks are that far apart. With an hour between them each connection left
// 2 KB and its buffers behind for an hour.
const (
	// keptIdle is longer than maxIdle, so that the pool and never the library
	// closes a kept connection.
	keptIdle = 2 * maxIdle
	// freshIdle is for connections that carry one request and are never idle.
	freshIdle = 100 * time.Millisecond
)

// errNotSent marks errors of attempts whose request certainly did not leave.
var errNotSent = errors.New("the request was not sent")

// conn is a single connection driven by the HTTP library. The library's own
// pool would hide which connection carries which request and send some requests
// again by itself, so each conn gives it exactly one connection.
type conn struct {
	http client.HostClient

	mu       sync.Mutex
	open     *socket
	canceled bool
}

func newConn(target Target, fresh bool) *conn {
	c := &conn{}
	idle := keptIdle
	if fresh {
		idle = freshIdle
	}
	c.http = http1.NewHostClient(&http1.ClientOptions{
		Dialer:                        &singleDialer{conn: c, address: target.Address, timeout: target.ConnectTimeout},
		MaxConns:                      1,
		DialTimeout:                   target.ConnectTimeout,
		MaxIdleConnDuration:           idle,
		MaxResponseBodySize:           maxResponseBytes,
		ResponseBodyStream:            true,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
	})
	c.http.SetDynamicConfig(&client.DynamicConfig{Addr: target.Address})
	return c
}

// close ends the connection; an exchange on it fails.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.open != nil {
		c.open.Close()
	}
}

// reusable reports whether the connection is open with nothing unread on it.
// Unread bytes can only be an answer to an earlier request.
func (c *conn) reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.canceled && c.open != nil && c.open.quiet()
}

// singleDialer opens the one connection of a conn and refuses to open a second.
type singleDialer struct {
	conn    *conn
	address string
	timeout time.Duration
	used    bool
}

// DialConnection implements network.Dialer.
func (d *singleDialer) DialConnection(_, _ string, _ time.Duration, _ *tls.Config) (network.Conn, error) {
	if d.used {
		// Not marked as not sent: the library opens a second connection only
		// after it has used the first.
		return nil, errors.New("the kept connection was closed")
	}
	d.used = true
	nc, err := dialSocket(d.address, d.timeout)
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	c := d.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		nc.Close()
		return nil, errors.Mark(context.Canceled, errNotSent)
	}
	c.open = nc
	return nc, nil
}

// DialTimeout implements network.Dialer; the library does not call it.
func (d *singleDialer) DialTimeout(_, _ string, _ time.Duration, _ *tls.Config) (net.Conn, error) {
	return nil, errors.Mark(errors.New("not supported"), errNotSent)
}

// AddTLS implements network.Dialer; upstreams are reached without TLS.
func (d *singleDialer) AddTLS(_ network.Conn, _ *tls.Config) (network.Conn, error) {
	return nil, errors.Mark(errors.New("not supported"), errNotSent)
}
