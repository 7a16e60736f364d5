package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
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

// Defaults of CallerConfig.
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

// CallerConfig is how a platform is reached.
type CallerConfig struct {
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

// Caller sends HTTP calls to a platform and says of each failure whether the
// call may have had an effect. It is safe for concurrent use. What the calls
// mean is left to the Store that is built on it.
//
// A context that ends before a call is sent gives the context's error. For a
// write that ends later the error is ErrUnknownOutcome and the context's.
type Caller struct {
	config CallerConfig
	// resending sends a request again when a pooled connection turns out closed;
	// once never does. Writes may have had an effect, and a watch that is cut
	// because the history was dropped must not be asked for again at the same
	// moment: a store that had not finished took it and answered 5 s later.
	resending, once *client.Client
	// first is the index of the URL that answered last.
	first atomic.Uint32
}

// Call is one request to the platform.
type Call struct {
	// Method is the HTTP method, Path the path and query after the base URL.
	Method, Path string
	// Header and HeaderValue are an additional header line, if not empty.
	Header, HeaderValue string
	// ContentType and Body are sent with writes.
	ContentType string
	Body        []byte
	// Wait is how long the platform may hold the request before it answers.
	Wait time.Duration
	// Write marks calls that change something.
	Write bool
}

// Reply is a whole reply of the platform.
type Reply struct {
	Status int
	Body   []byte
}

// OK reports whether the status is a success.
func (r Reply) OK() bool { return r.Status >= 200 && r.Status <= 299 }

// NewCaller returns a caller; it does not connect yet.
func NewCaller(c CallerConfig) (*Caller, error) {
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
	resending, err := newHertzClient(c, newDialer())
	if err != nil {
		return nil, err
	}
	once, err := newHertzClient(c, newOnceDialer())
	if err != nil {
		return nil, err
	}
	return &Caller{config: c, resending: resending, once: once}, nil
}

func newHertzClient(c CallerConfig, d network.Dialer) (*client.Client, error) {
	h, err := client.NewClient(
		client.WithDialer(d),
		client.WithDialTimeout(c.DialTimeout),
		client.WithClientReadTimeout(c.ReadTimeout),
		client.WithWriteTimeout(c.ReadTimeout),
		client.WithMaxConnsPerHost(clientMaxConns),
		client.WithMaxIdleConnDuration(idleConnection),
		client.WithDisablePathNormalizing(true),
		// Without it the library sets a stated length aside, whatever it is.
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maxReplyBytes }},
	)
	return h, errors.Wrap(err, "platform client")
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.resending.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// Call sends a call to the first URL that takes it and passes the reply to
// decode, whose error it returns. The other errors are ErrUnavailable and
// ErrUnknownOutcome.
func (c *Caller) Call(ctx context.Context, call Call, decode func(Reply) error) error {
	call.Wait = min(max(call.Wait, 0), MaxWatchWait)
	var err error
	first := c.first.Load()
	for i := range c.config.URLs {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		index := (int(first) + i) % len(c.config.URLs)
		err = c.callOne(ctx, c.config.URLs[index], call, decode)
		if !errors.Is(err, ErrUnavailable) {
			c.first.Store(uint32(index))
			return err
		}
	}
	return err
}

// exchanged is the outcome of an exchange with the platform.
type exchanged struct {
	reply Reply
	err   error
}

// callOne runs the exchange in a goroutine of its own, because the hertz
// client does not watch the context while it waits for a reply.
func (c *Caller) callOne(ctx context.Context, base string, call Call, decode func(Reply) error) error {
	limit := c.config.DialTimeout + c.config.ReadTimeout + call.Wait
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan exchanged, 1)
	go func() { done <- c.exchange(base, call) }()
	var x exchanged
	select {
	case x = <-done:
	case <-limited.Done():
		if ctx.Err() == nil {
			return call.NoReply(errors.Newf("no whole reply within %v", limit))
		}
		if call.Write {
			return fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
		}
		return ctx.Err()
	}
	if x.err != nil {
		return call.transportError(x.err)
	}
	return decode(x.reply)
}

// exchange sends the request once and returns a copy of the reply.
func (c *Caller) exchange(base string, call Call) exchanged {
	h := c.resending
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetOptions(config.WithReadTimeout(c.config.ReadTimeout + call.Wait))
	req.SetMethod(call.Method)
	req.SetRequestURI(base + call.Path)
	if call.Header != "" {
		req.Header.Set(call.Header, call.HeaderValue)
	}
	if c.config.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.config.Key)
	}
	if call.Write || call.Wait > 0 {
		h = c.once
	}
	if call.Write {
		req.SetBody(call.Body)
		req.Header.SetContentTypeBytes([]byte(call.ContentType))
	}
	// The context is not passed on: the caller stops waiting by itself.
	if err := h.Do(context.Background(), req, resp); err != nil {
		return exchanged{err: err}
	}
	return exchanged{reply: Reply{Status: resp.StatusCode(), Body: bytes.Clone(resp.Body())}}
}

// transportError turns an error of the hertz client into one of the package.
func (call Call) transportError(err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, hertzerrors.ErrNoFreeConns) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return call.NoReply(err)
}

// NoReply is the error of a call that was sent and has no usable reply.
func (call Call) NoReply(err error) error {
	if call.Write {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// StatusError returns the error of a status that is no success: the statuses
// 404, 409, 410, 412 and 413 have errors of their own, 503 and other statuses
// below 500 mean that the call had no effect.
func (call Call) StatusError(status int) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict || status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusGone:
		return ErrHistoryGone
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return call.NoReply(errors.Newf("status %d", status))
	}
}
