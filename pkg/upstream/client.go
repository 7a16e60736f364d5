package upstream

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/memory"
	"shallotglade/pkg/verdict"
)

// Client is the Sender that speaks HTTP/1.1.
type Client struct {
	dialect *dialect.Dialect
	memory  *memory.Budget

	mu    sync.Mutex
	pools map[string]*pool
	stop  chan struct{}
	done  chan struct{}
}

var _ Sender = (*Client)(nil)

// NewClient returns a client with a memory budget of its own. Close releases its resources.
func NewClient(d *dialect.Dialect) *Client { return NewClientWithMemory(d, memory.New(0)) }

// NewClientWithMemory returns a client whose responses share a memory budget with others.
func NewClientWithMemory(d *dialect.Dialect, budget *memory.Budget) *Client {
	c := &Client{dialect: d, memory: budget, pools: map[string]*pool{}, stop: make(chan struct{}), done: make(chan struct{})}
	go c.expireLoop()
	return c
}

// Close implements Sender. Running attempts continue.
func (c *Client) Close() {
	close(c.stop)
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle()
	}
}

// inFlightShare divides the memory budget: the bodies in flight to one upstream may take this
// part of it together. A single body may be larger.
const inFlightShare = 2

// Do implements Sender.
func (c *Client) Do(ctx context.Context, target Target, request *Request) Result {
	start := time.Now()
	p := c.pool(target.Address)
	if !p.beginRequest(len(request.Body), c.memory.Total()/inFlightShare) {
		return Result{Kind: Refused, Verdict: verdict.NotRun, Err: errTooManyBytes}
	}
	conn, err := p.get(target, request, start)
	if err != nil {
		p.endRequest(len(request.Body))
		return Result{Kind: Refused, Verdict: verdict.NotRun, Err: err}
	}
	defer p.endRequest(len(request.Body))
	keep, statedIdle := false, time.Duration(0)
	defer func() { p.put(conn, keep, statedIdle, time.Now()) }()
	reserved := c.newReservation(conn)
	// Deferred first, so that the memory is released after the last reference to it is gone.
	defer reserved.close()
	// The result does not refer to their memory, so both return to the library's pool.
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	if len(request.Headers) <= netconn.MaxPooledFields {
		defer protocol.ReleaseRequest(req)
	}
	defer protocol.ReleaseResponse(resp)
	c.buildRequest(ctx, req, target, request)
	resp.SkipBody = request.Method == "HEAD"
	stop := context.AfterFunc(ctx, conn.close)
	reused := conn.hasServed
	reusable, err := conn.exchange(req, resp, request.ID, reserved)
	stop()
	result := c.classify(ctx, request, resp, err)
	reusable = reusable && result.Response != nil
	result.Latency, result.Reused = time.Since(start), reused
	if result.Kind == Shed {
		conn.refusedIDs = append(conn.refusedIDs, request.ID)
	}
	keep, statedIdle = reusable && err == nil && !request.FreshConnection, keepAliveTimeout(resp)
	return result
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{dialect: c.dialect}
		c.pools[address] = p
	}
	return p
}

func (c *Client) expireLoop() {
	defer close(c.done)
	tick := time.NewTicker(maxIdle)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-tick.C:
			c.mu.Lock()
			for _, p := range c.pools {
				p.expire(now)
			}
			c.mu.Unlock()
		}
	}
}

// buildRequest fills in the HTTP request. The URI is not parsed, so that the upstream
// receives the path exactly as the caller sent it.
func (c *Client) buildRequest(ctx context.Context, req *protocol.Request, target Target, r *Request) {
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.URI)
	for _, h := range r.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	host := r.Host
	if host == "" {
		host = target.Address
	}
	req.Header.SetHost(host)
	if r.ID != "" {
		req.Header.Set(c.dialect.RequestID, r.ID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline), time.Millisecond)
		req.Header.Set(c.dialect.DeadlineMs, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	if c.dialect.ExpectUpstream != "" && target.ID != "" {
		req.Header.Set(c.dialect.ExpectUpstream, target.ID)
	}
	if r.FreshConnection {
		req.SetConnectionClose()
	}
	if len(r.Body) > 0 || r.HasBody {
		req.SetBodyRaw(r.Body)
		req.Header.SetContentLength(len(r.Body))
	}
}

// classify returns the result of an attempt from its response or error.
func (c *Client) classify(ctx context.Context, r *Request, resp *protocol.Response, err error) Result {
	if err != nil {
		return classifyError(ctx, err)
	}
	response := c.copyResponse(resp)
	response.Closing = resp.ConnectionClose() && !r.FreshConnection
	header := func(name string) string { return string(resp.Header.Peek(name)) }
	response.Leaving = c.dialect.Leaving != nil && c.dialect.Leaving(response.Status, header)
	if c.dialect.Pause != nil {
		response.Pause = c.dialect.Pause(response.Status, header)
	}
	switch {
	case c.dialect.NotRun(response.Status, header):
		return Result{Response: response, Kind: Shed, Verdict: verdict.NotRun}
	case r.ID != "" && c.dialect.Valid != nil && !c.dialect.Valid(response.Status, header):
		return Result{Kind: Failure, Verdict: verdict.MayHaveRun, Err: errors.Newf("the response is not valid (status %d)", response.Status)}
	case response.Status >= 500:
		return Result{Response: response, Kind: Failure, Verdict: verdict.Ran}
	default:
		return Result{Response: response, Kind: Success, Verdict: verdict.Ran}
	}
}

// classifyError returns the result of an attempt without a usable response.
func classifyError(ctx context.Context, err error) Result {
	r := Result{Kind: Lost, Verdict: verdict.MayHaveRun, Err: err}
	notSent := errors.Is(err, errNotSent)
	switch {
	case notSent:
		r.Kind, r.Verdict = Unreachable, verdict.NotRun
	case errors.Is(err, errTruncated):
		r.Kind = Truncated
	case errors.Is(err, errOtherRequest), !isLost(err):
		// The bytes are not a valid HTTP response.
		r.Kind = Failure
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		r.Kind = Canceled
	case ctx.Err() != nil && !notSent:
		r.Kind = Timeout
	}
	return r
}

// isLost reports whether the connection ended before any byte of a response.
func isLost(err error) bool {
	var op *net.OpError
	return errors.IsAny(err, io.EOF, net.ErrClosed, hertzerrors.ErrConnectionClosed) || errors.As(err, &op)
}

// keepAliveTimeout returns the timeout in the Keep-Alive header of the response, or 0
// if there is none.
func keepAliveTimeout(resp *protocol.Response) time.Duration {
	_, after, found := strings.Cut(string(resp.Header.Peek("Keep-Alive")), "timeout=")
	if !found {
		return 0
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return 0 // malformed; the pool's own limit applies
	}
	return time.Duration(seconds) * time.Second
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopHeader reports whether a header is hop-by-hop. The name must be in canonical
// form.
func IsHopHeader(name string) bool { return hopHeaders[name] }

func (c *Client) copyResponse(resp *protocol.Response) *Response {
	r := &Response{Status: resp.StatusCode(), Headers: make([]Header, 0, resp.Header.Len())}
	// The body has its own buffer, which is not pooled; see body.
	r.Body = resp.Body()
	resp.Header.VisitAll(func(key, value []byte) {
		if name := string(key); !IsHopHeader(name) {
			r.Headers = append(r.Headers, Header{Name: name, Value: string(value)})
		}
	})
	return r
}
