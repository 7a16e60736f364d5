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

	"shallotglade/internal/netconn"
)

// Defaults of TransportConfig.
const (
	DefaultDialTimeout = time.Second
	DefaultReadTimeout = 5 * time.Second
	// MaxWatchWait is the longest wait of one long poll. Longer waits are reduced to it.
	MaxWatchWait = 55 * time.Second
)

const (
	// maxConnsPerAddress limits the connections to one address. Calls beyond it fail
	// with ErrUnavailable instead of waiting in an unbounded queue.
	maxConnsPerAddress = 512
	// idleConnTimeout is shorter than the idle timeout of common servers, so that few
	// writes are sent on a connection that the server is closing.
	idleConnTimeout = 10 * time.Second
)

// TransportConfig configures a Transport.
type TransportConfig struct {
	// URLs are the base URLs, such as "http://10.0.0.5:7070". A call that fails with
	// ErrUnavailable at one is tried at the next.
	URLs []string
	// Key is sent as a bearer token if it is not empty.
	Key string
	// DialTimeout limits the time to open a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// ReadTimeout limits the wait for a reply, in addition to the wait of a long
	// poll; 0 means DefaultReadTimeout.
	ReadTimeout time.Duration
}

// Transport sends HTTP calls to a platform. Its errors state whether a failed call
// may have had an effect. It does not interpret the calls; the Store that uses it
// does. It is safe for concurrent use.
//
// If the context ends before a call is sent, the error is the context's. If it ends
// later, the error of a write wraps ErrUnknownOutcome and the context's error.
type Transport struct {
	config TransportConfig
	// retryingClient resends a request if a pooled connection turns out to be closed.
	// noRetryClient never does and is used for writes, which may have had an effect,
	// and for watches. The platform closes a watch when it drops its history. A store
	// that had not finished dropping it accepted the resent watch and responded only
	// 5 s later.
	retryingClient, noRetryClient *client.Client
	// preferredURL is the index of the URL that responded last.
	preferredURL atomic.Uint32
}

// Call is one request to the platform.
type Call struct {
	// Method is the HTTP method, Path the path and query after the base URL.
	Method, Path string
	// Header and HeaderValue are an additional header field if Header is not empty.
	Header, HeaderValue string
	// ContentType and Body are sent with writes.
	ContentType string
	Body        []byte
	// Wait is how long the platform may delay its response to a long poll.
	Wait time.Duration
	// Write is true for calls that modify the store.
	Write bool
	// ReplyHeader, if not empty, is the header field whose value Reply has.
	ReplyHeader string
}

// Reply is a complete reply of the platform.
type Reply struct {
	Status int
	Body   []byte
	// HeaderValue is the value of Call.ReplyHeader, or empty.
	HeaderValue string
}

// OK reports whether the status is a success.
func (r Reply) OK() bool { return r.Status >= 200 && r.Status <= 299 }

// NewTransport returns a transport. It does not open a connection.
func NewTransport(c TransportConfig) (*Transport, error) {
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
	retryingClient, err := newHertzClient(c, newDialer())
	if err != nil {
		return nil, err
	}
	noRetryClient, err := newHertzClient(c, newNoRetryDialer())
	if err != nil {
		return nil, err
	}
	return &Transport{config: c, retryingClient: retryingClient, noRetryClient: noRetryClient}, nil
}

func newHertzClient(c TransportConfig, d network.Dialer) (*client.Client, error) {
	h, err := client.NewClient(
		client.WithDialer(d),
		client.WithDialTimeout(c.DialTimeout),
		client.WithClientReadTimeout(c.ReadTimeout),
		client.WithWriteTimeout(c.ReadTimeout),
		client.WithMaxConnsPerHost(maxConnsPerAddress),
		client.WithMaxIdleConnDuration(idleConnTimeout),
		client.WithDisablePathNormalizing(true),
		// Without this limit the library allocates any stated Content-Length.
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maxReplyBytes }},
	)
	return h, errors.Wrap(err, "platform client")
}

// Close closes the idle connections.
func (c *Transport) Close() {
	c.retryingClient.CloseIdleConnections()
	c.noRetryClient.CloseIdleConnections()
}

// Call sends a call to each URL in turn until the error is not ErrUnavailable. It passes
// the reply to decode and returns decode's error. If there is no reply, the error is
// ErrUnavailable, ErrUnknownOutcome or the context's.
func (c *Transport) Call(ctx context.Context, call Call, decode func(Reply) error) error {
	call.Wait = min(max(call.Wait, 0), MaxWatchWait)
	var err error
	preferred := c.preferredURL.Load()
	for i := range c.config.URLs {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		index := (int(preferred) + i) % len(c.config.URLs)
		err = c.callURL(ctx, c.config.URLs[index], call, decode)
		if !errors.Is(err, ErrUnavailable) {
			c.preferredURL.Store(uint32(index))
			return err
		}
	}
	return err
}

// exchangeResult is the outcome of one request to the platform.
type exchangeResult struct {
	reply Reply
	err   error
}

// callURL sends the call to one base URL. It runs the exchange in a separate goroutine,
// because the hertz client ignores the context while it waits for a reply.
func (c *Transport) callURL(ctx context.Context, base string, call Call, decode func(Reply) error) error {
	timeout := c.config.DialTimeout + c.config.ReadTimeout + call.Wait
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan exchangeResult, 1)
	go func() { done <- c.exchange(base, call) }()
	var result exchangeResult
	select {
	case result = <-done:
	case <-limited.Done():
		if ctx.Err() == nil {
			return call.NoReplyError(errors.Newf("no whole reply within %v", timeout))
		}
		if call.Write {
			return fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
		}
		return ctx.Err()
	}
	if result.err != nil {
		return call.transportError(result.err)
	}
	return decode(result.reply)
}

// exchange sends the request once and returns a copy of the reply.
func (c *Transport) exchange(base string, call Call) exchangeResult {
	h := c.retryingClient
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
		h = c.noRetryClient
	}
	if call.Write {
		req.SetBody(call.Body)
		req.Header.SetContentTypeBytes([]byte(call.ContentType))
	}
	// callURL enforces the context, which the hertz client would ignore.
	if err := h.Do(context.Background(), req, resp); err != nil {
		return exchangeResult{err: err}
	}
	reply := Reply{Status: resp.StatusCode(), Body: bytes.Clone(resp.Body())}
	if call.ReplyHeader != "" {
		reply.HeaderValue = string(resp.Header.Peek(call.ReplyHeader))
	}
	return exchangeResult{reply: reply}
}

// transportError converts an error of the hertz client into an error of this package.
func (call Call) transportError(err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, hertzerrors.ErrNoFreeConns) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if errors.IsAny(err, hertzerrors.ErrBodyTooLarge, netconn.ErrReplyTooLarge) {
		err = fmt.Errorf("%w: %w", ErrReplyTooLarge, err)
	}
	return call.NoReplyError(err)
}

// NoReplyError returns the error of a call that was sent and has no usable reply.
func (call Call) NoReplyError(err error) error {
	if call.Write {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// StatusError returns the error of an unsuccessful status. 404, 409, 410, 412 and 413
// map to specific errors. 503 and other 4xx statuses mean that the call had no effect.
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
		return call.NoReplyError(errors.Newf("status %d", status))
	}
}
