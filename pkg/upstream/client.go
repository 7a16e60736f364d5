package upstream

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/pkg/verdict"
)

// identityBody is the content length that the HTTP library gives an answer
// that ends with the connection. Such an answer cannot be known to be whole.
const identityBody = -2

// Client is the Sender that speaks HTTP/1.1.
type Client struct {
	mu    sync.Mutex
	pools map[string]*pool
	stop  chan struct{}
	done  chan struct{}
}

var _ Sender = (*Client)(nil)

// NewClient returns a client; Close releases it.
func NewClient() *Client {
	c := &Client{pools: map[string]*pool{}, stop: make(chan struct{}), done: make(chan struct{})}
	go c.expireLoop()
	return c
}

// Close implements Sender. Attempts that run are not disturbed.
func (c *Client) Close() {
	close(c.stop)
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle()
	}
}

// Do implements Sender.
func (c *Client) Do(ctx context.Context, target Target, request *Request) Result {
	start := time.Now()
	p := c.pool(target.Address)
	conn, err := p.take(target, request.FreshConnection, start)
	if err != nil {
		return Result{Kind: Refused, Verdict: verdict.NotRun, Err: err}
	}
	// The result holds copies only, so both go back to the library's pool.
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	fill(ctx, req, target, request)
	result := conn.exchange(ctx, request, req, resp)
	result.Latency = time.Since(start)
	whole := result.Response != nil && !resp.ConnectionClose() && !request.FreshConnection
	p.give(conn, whole, time.Now())
	return result
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{}
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

// fill builds the request on the wire. The URI is never parsed, so that the path
// reaches the upstream byte for byte as the caller sent it. The body goes as a
// stream, which spares a copy. When a kept connection closes, the HTTP library
// would send the request again by itself; singleDialer refuses it the connection.
func fill(ctx context.Context, req *protocol.Request, target Target, r *Request) {
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
	req.Header.Set(HeaderRequestID, r.ID)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline), time.Millisecond)
		req.Header.Set(HeaderDeadlineMs, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if r.FreshConnection {
		req.SetConnectionClose()
	}
	req.SetBodyStream(bytes.NewReader(r.Body), len(r.Body))
}

// exchange sends the request, reads the whole answer and decides what the end
// of the attempt says. Cancelling ctx closes the connection.
func (c *conn) exchange(ctx context.Context, r *Request, req *protocol.Request, resp *protocol.Response) Result {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	if err := c.http.Do(context.WithoutCancel(ctx), req, resp); err != nil {
		return judgeError(ctx, err, lostOrTruncated(err))
	}
	if resp.Header.ContentLength() == identityBody && r.Method != "HEAD" {
		c.close()
		return Result{Kind: Truncated, Verdict: verdict.MayHaveRun, Err: errors.New("the answer has no delimiter")}
	}
	body, err := readBody(resp)
	if err != nil {
		c.close()
		return judgeError(ctx, err, Truncated)
	}
	if id := string(resp.Header.Peek(HeaderRequestID)); id != "" && id != r.ID {
		c.close()
		return Result{Kind: Failure, Verdict: verdict.MayHaveRun, Err: errors.Newf("the answer belongs to request %q", id)}
	}
	response := copyResponse(resp, body)
	response.Closing = resp.ConnectionClose() && !r.FreshConnection
	return judge(response, verdict.Parse(string(resp.Header.Peek(verdict.Header))))
}

// lostOrTruncated tells an answer of which a part arrived from none at all. The
// library reads short bodies together with the head, and reports a plain end of
// the stream only when not a single byte came.
func lostOrTruncated(err error) Kind {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return Truncated
	}
	return Lost
}

// readBody reads the whole body and gives the connection back to its owner.
func readBody(resp *protocol.Response) ([]byte, error) {
	if !resp.IsBodyStream() {
		return append([]byte(nil), resp.Body()...), nil
	}
	body, err := readStream(resp.BodyStream(), resp.Header.ContentLength())
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Newf("the answer is larger than %d bytes", maxResponseBytes)
	}
	if cerr := resp.CloseBodyStream(); err == nil {
		err = cerr
	}
	return body, err
}

// smallBody is up to which length a body gets a buffer of exactly its size
// before it has arrived; an upstream may announce more than it sends.
const smallBody = 64 << 10

// readStream reads a body of which length bytes were announced; length is
// negative when it is not known.
func readStream(r io.Reader, length int) ([]byte, error) {
	if length < 0 || length > smallBody {
		return io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	return body[:n], err
}

func judge(r *Response, told verdict.Verdict) Result {
	switch {
	case r.Status == 503 && told == verdict.NotRun:
		return Result{Response: r, Kind: Shed, Verdict: verdict.NotRun}
	case r.Status >= 500:
		return Result{Response: r, Kind: Failure, Verdict: verdict.Ran}
	default:
		return Result{Response: r, Kind: Success, Verdict: verdict.Ran}
	}
}

// judgeError decides what an error says; lost is the kind of an error that is
// neither a time-out nor a cancellation.
func judgeError(ctx context.Context, err error, lost Kind) Result {
	r := Result{Kind: lost, Verdict: verdict.MayHaveRun, Err: err}
	notSent := errors.Is(err, errNotSent)
	if notSent {
		r.Kind, r.Verdict = Unreachable, verdict.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		r.Kind = Canceled
	case ctx.Err() != nil && !notSent:
		r.Kind = Timeout
	}
	return r
}

// hopHeaders end at each connection and are never passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopHeader reports whether a header ends at the connection. The name is in
// canonical form.
func IsHopHeader(name string) bool { return hopHeaders[name] }

func copyResponse(resp *protocol.Response, body []byte) *Response {
	r := &Response{Status: resp.StatusCode(), Body: body, Headers: make([]Header, 0, resp.Header.Len())}
	r.Leaving = string(resp.Header.Peek(HeaderLeaving)) == "true"
	resp.Header.VisitAll(func(key, value []byte) {
		if name := string(key); !IsHopHeader(name) {
			r.Headers = append(r.Headers, Header{Name: name, Value: string(value)})
		}
	})
	return r
}
