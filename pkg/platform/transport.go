package platform

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/httpcall"
	"shallotglade/internal/netconn"
	"shallotglade/pkg/panics"
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
	// tcpKeepAliveIdle is the time without a packet after which TCP keep-alive probes
	// start, and tcpUserTimeout is how long sent bytes may stay unacknowledged. They
	// detect connections that fail without a reset, which a long poll would not notice.
	tcpKeepAliveIdle = time.Second
	tcpUserTimeout   = 1500 * time.Millisecond
	// maxReplyBytes limits a reply including its head and framing. It is eight times
	// the largest value, and eight times the largest page of the users' platform. The
	// smallest host has 184 MB in total, and a reply briefly takes up to four times its
	// size.
	maxReplyBytes = 8 * MaxValueBytes
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
	// RootCAs verify the certificates of https URLs; nil means the system's.
	RootCAs *x509.CertPool
}

// Transport sends HTTP calls to a platform. Its errors state whether a failed call
// may have had an effect. It does not interpret the calls; the Store that uses it
// does. It is safe for concurrent use.
//
// If the context ends before a call is sent, the error is the context's. If it ends
// later, the error of a write wraps ErrUnknownOutcome and the context's error.
type Transport struct {
	config TransportConfig
	// servers are the destinations of the base URLs.
	servers []server
	client  httpcall.Client
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
	t := &Transport{config: c}
	for _, base := range c.URLs {
		s, err := parseServer(base, c.RootCAs)
		if err != nil {
			return nil, err
		}
		t.servers = append(t.servers, s)
	}
	if t.config.DialTimeout <= 0 {
		t.config.DialTimeout = DefaultDialTimeout
	}
	if t.config.ReadTimeout <= 0 {
		t.config.ReadTimeout = DefaultReadTimeout
	}
	t.client = httpcall.Client{
		Dial: netconn.DialConfig{
			Timeout: t.config.DialTimeout, UnacknowledgedTimeout: tcpUserTimeout, KeepAliveIdle: tcpKeepAliveIdle, MaxReplyBytes: maxReplyBytes,
		},
		MaxConnections: maxConnsPerAddress, MaxIdle: idleConnTimeout, MaxBodyBytes: maxReplyBytes,
	}
	return t, nil
}

// server is the destination of calls to one base URL.
type server struct {
	httpcall.Server
	// pathPrefix is the path of the base URL without the last slash.
	pathPrefix string
}

func parseServer(base string, roots *x509.CertPool) (server, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return server{}, errors.Newf("platform client: base URL %q is not http://host:port", base)
	}
	s := server{Server: httpcall.Server{Address: u.Host}, pathPrefix: strings.TrimSuffix(u.EscapedPath(), "/")}
	defaultPort := "80"
	if u.Scheme == "https" {
		defaultPort, s.TLS = "443", &tls.Config{ServerName: u.Hostname(), RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	if u.Port() == "" {
		s.Address = net.JoinHostPort(u.Hostname(), defaultPort)
	}
	return s, nil
}

// Close closes the idle connections.
func (c *Transport) Close() {
	c.client.Close()
}

// Call sends a call to each URL in turn until the error is not ErrUnavailable. It passes
// the reply to decode and returns decode's error. If there is no reply, the error is
// ErrUnavailable, ErrUnknownOutcome or the context's.
func (c *Transport) Call(ctx context.Context, call Call, decode func(Reply) error) error {
	call.Wait = min(max(call.Wait, 0), MaxWatchWait)
	var err error
	preferred := c.preferredURL.Load()
	for i := range c.servers {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		index := (int(preferred) + i) % len(c.servers)
		err = c.callServer(ctx, c.servers[index], call, decode)
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

// callServer sends the call to one server. It runs the exchange in a separate goroutine, so that
// the connection is kept if the context ends before the reply of a long poll arrives.
func (c *Transport) callServer(ctx context.Context, s server, call Call, decode func(Reply) error) error {
	timeout := c.config.DialTimeout + c.config.ReadTimeout + call.Wait
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan exchangeResult, 1)
	panics.Go(panics.Platform, func() { done <- c.exchange(s, call) }, func(err error) { done <- exchangeResult{err: err} })
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
	var decodeErr error
	if err := panics.Run(panics.Platform, func() { decodeErr = decode(result.reply) }); err != nil {
		return call.NoReplyError(err)
	}
	return decodeErr
}

// exchange sends the request and returns a copy of the reply. A read is sent again if a kept
// connection turns out to be closed. A write may have had an effect. A watch is closed by a
// platform that drops its history; one that had not finished dropping it accepted the resent
// watch and responded only 5 s later.
func (c *Transport) exchange(s server, call Call) exchangeResult {
	rq, rs := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(rq)
	defer protocol.ReleaseResponse(rs)
	rq.Header.SetMethod(call.Method)
	rq.Header.SetRequestURI(s.pathPrefix + call.Path)
	rq.Header.SetHost(s.Address)
	if call.Header != "" {
		rq.Header.Set(call.Header, call.HeaderValue)
	}
	if c.config.Key != "" {
		rq.Header.Set("Authorization", "Bearer "+c.config.Key)
	}
	if call.Write {
		rq.SetBodyRaw(call.Body)
		rq.Header.SetContentTypeBytes([]byte(call.ContentType))
		rq.Header.SetContentLength(len(call.Body))
	}
	err := c.client.Do(context.Background(), s.Server, httpcall.Call{
		Request: rq, Answer: rs, Timeout: c.config.ReadTimeout + call.Wait, Resend: !call.Write && call.Wait == 0,
	})
	if err != nil {
		return exchangeResult{err: err}
	}
	reply := Reply{Status: rs.StatusCode(), Body: rs.Body()}
	if call.ReplyHeader != "" {
		reply.HeaderValue = string(rs.Header.Peek(call.ReplyHeader))
	}
	return exchangeResult{reply: reply}
}

// transportError converts an error of the HTTP client into an error of this package.
func (call Call) transportError(err error) error {
	if errors.Is(err, httpcall.ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if errors.IsAny(err, netconn.ErrBodyTooLarge, netconn.ErrReplyTooLarge) {
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
