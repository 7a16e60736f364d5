package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
)

// Defaults of ClientConfig.
const (
	DefaultDialTimeout = time.Second
	DefaultReadTimeout = 5 * time.Second
	// MaxWatchWait is the longest wait of one long poll; longer waits are cut to it.
	MaxWatchWait = 55 * time.Second
)

const (
	// clientMaxConns bounds the connections to one address. Calls beyond it
	// fail with ErrUnavailable instead of queueing without limit.
	clientMaxConns = 512
	// idleConnection is below the idle timeout of usual servers, so that few
	// writes meet a connection that the server closes at the same moment.
	idleConnection = 10 * time.Second
)

// ClientConfig is how a Client reaches the platform.
type ClientConfig struct {
	// URLs are the base URLs, such as "http://10.0.0.5:7070". A call that was
	// certainly not run at one is tried at the next.
	URLs []string
	// Key is sent as a bearer key unless empty.
	Key string
	// DialTimeout limits one connection attempt; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// ReadTimeout limits the wait for a reply, beyond the wait of a long
	// poll; 0 means DefaultReadTimeout.
	ReadTimeout time.Duration
}

// Client is a Store that calls the platform over HTTP/JSON. It is safe for
// concurrent use.
//
// A context that ends before a call is sent gives the context's error. For a
// write that ends later the error is ErrUnknownOutcome and the context's.
type Client struct {
	config ClientConfig
	// reads sends a request again when a pooled connection turns out closed;
	// writes never does.
	reads, writes *client.Client
	// first is the index of the URL that answered last.
	first atomic.Uint32
}

var _ Store = (*Client)(nil)

// NewClient returns a client; it does not connect yet.
func NewClient(c ClientConfig) (*Client, error) {
	if len(c.URLs) == 0 {
		return nil, errors.New("platform client: no base URL")
	}
	for i, base := range c.URLs {
		u, err := url.Parse(base)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, errors.Newf("platform client: base URL %q is not http://host:port", base)
		}
		c.URLs[i] = strings.TrimSuffix(base, "/")
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.ReadTimeout <= 0 {
		c.ReadTimeout = DefaultReadTimeout
	}
	reads, err := newHertzClient(c, newDialer())
	if err != nil {
		return nil, err
	}
	writes, err := newHertzClient(c, newOnceDialer())
	if err != nil {
		return nil, err
	}
	return &Client{config: c, reads: reads, writes: writes}, nil
}

func newHertzClient(c ClientConfig, d network.Dialer) (*client.Client, error) {
	h, err := client.NewClient(
		client.WithDialer(d),
		client.WithDialTimeout(c.DialTimeout),
		client.WithClientReadTimeout(c.ReadTimeout),
		client.WithWriteTimeout(c.ReadTimeout),
		client.WithMaxConnsPerHost(clientMaxConns),
		client.WithMaxIdleConnDuration(idleConnection),
		client.WithDisablePathNormalizing(true),
	)
	return h, errors.Wrap(err, "platform client")
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.reads.CloseIdleConnections()
	c.writes.CloseIdleConnections()
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, call{method: http.MethodGet, path: objectPath(key)}, &o)
	return o, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (Object, error) {
	return c.put(ctx, key, value, "If-None-Match", "*")
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, key string, version uint64, value []byte) (Object, error) {
	return c.put(ctx, key, value, "If-Match", strconv.FormatUint(version, 10))
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	return c.call(ctx, call{
		method: http.MethodDelete, path: objectPath(key), write: true,
		header: "If-Match", headerValue: strconv.FormatUint(version, 10),
	}, &struct{}{})
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var reply ObjectsReply
	path := "/v1/objects?prefix=" + url.QueryEscape(prefix)
	err := c.call(ctx, call{method: http.MethodGet, path: path}, &reply)
	return reply.Objects, reply.Revision, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	var reply ObjectsReply
	path := "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&" + pollQuery(after, wait)
	if err := c.call(ctx, call{method: http.MethodGet, path: path, wait: wait}, &reply); err != nil {
		return nil, after, err
	}
	return reply.Objects, reply.Revision, nil
}

// Members implements Store.
func (c *Client) Members(ctx context.Context, after uint64, wait time.Duration) ([]Member, uint64, error) {
	var reply MembersReply
	path := "/v1/members?" + pollQuery(after, wait)
	if err := c.call(ctx, call{method: http.MethodGet, path: path, wait: wait}, &reply); err != nil {
		return nil, after, err
	}
	return reply.Members, reply.Revision, nil
}

func (c *Client) put(ctx context.Context, key string, value []byte, header, headerValue string) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	var o Object
	err := c.call(ctx, call{
		method: http.MethodPut, path: objectPath(key), body: value, write: true,
		header: header, headerValue: headerValue,
	}, &o)
	if err != nil {
		return Object{}, err
	}
	o.Value = bytes.Clone(value)
	return o, nil
}

// call is one request to the platform.
type call struct {
	method, path        string
	header, headerValue string
	body                []byte
	// wait is how long the platform may hold the request before it answers.
	wait time.Duration
	// write marks calls that change something.
	write bool
}

// call runs one request at the first URL that takes it and decodes the reply.
func (c *Client) call(ctx context.Context, rq call, out any) error {
	rq.wait = min(max(rq.wait, 0), MaxWatchWait)
	var err error
	first := c.first.Load()
	for i := range c.config.URLs {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		index := (int(first) + i) % len(c.config.URLs)
		err = c.callOne(ctx, c.config.URLs[index], rq, out)
		if !errors.Is(err, ErrUnavailable) {
			c.first.Store(uint32(index))
			return err
		}
	}
	return err
}

// reply is the outcome of an exchange with the platform.
type reply struct {
	status int
	body   []byte
	err    error
}

// callOne runs the exchange in a goroutine of its own, because the hertz
// client does not watch the context while it waits for a reply.
func (c *Client) callOne(ctx context.Context, base string, rq call, out any) error {
	limit := c.config.DialTimeout + c.config.ReadTimeout + rq.wait
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan reply, 1)
	go func() { done <- c.exchange(base, rq) }()
	var r reply
	select {
	case r = <-done:
	case <-limited.Done():
		if ctx.Err() == nil {
			return rq.noReply(errors.Newf("no whole reply within %v", limit))
		}
		if rq.write {
			return fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
		}
		return ctx.Err()
	}
	if r.err != nil {
		return rq.transportError(r.err)
	}
	return rq.decode(r, out)
}

// exchange sends the request once and returns a copy of the reply.
func (c *Client) exchange(base string, rq call) reply {
	h := c.reads
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetOptions(config.WithReadTimeout(c.config.ReadTimeout + rq.wait))
	req.SetMethod(rq.method)
	req.SetRequestURI(base + rq.path)
	if rq.header != "" {
		req.Header.Set(rq.header, rq.headerValue)
	}
	if c.config.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.config.Key)
	}
	if rq.write {
		h = c.writes
		req.SetBody(rq.body)
		req.Header.SetContentTypeBytes([]byte("application/octet-stream"))
	}
	// The context is not passed on: the caller stops waiting by itself.
	if err := h.Do(context.Background(), req, resp); err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode(), body: bytes.Clone(resp.Body())}
}

// transportError turns an error of the hertz client into one of the package.
func (rq call) transportError(err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, hertzerrors.ErrNoFreeConns) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return rq.noReply(err)
}

// noReply is the error of a request that was sent and has no usable reply.
func (rq call) noReply(err error) error {
	if rq.write {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// decode turns a reply into out or an error of the package.
func (rq call) decode(r reply, out any) error {
	switch {
	case r.status == http.StatusOK:
		if err := json.Unmarshal(r.body, out); err != nil {
			return rq.noReply(errors.Wrap(err, "reply is not valid JSON"))
		}
		return nil
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status == http.StatusConflict || r.status == http.StatusPreconditionFailed:
		return ErrConflict
	case r.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case r.status == http.StatusServiceUnavailable, r.status >= 400 && r.status < 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, r.status)
	default:
		return rq.noReply(errors.Newf("status %d", r.status))
	}
}

// objectPath encodes the whole key as one path segment, so that no key is
// taken for another.
func objectPath(key string) string { return "/v1/objects/" + url.PathEscape(key) }

func pollQuery(after uint64, wait time.Duration) string {
	wait = min(max(wait, 0), MaxWatchWait)
	return fmt.Sprintf("after=%d&waitMs=%d", after, wait.Milliseconds())
}
