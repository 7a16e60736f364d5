package ingress

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
)

const (
	// maxAhead is how many requests of one connection are handled at a time.
	// Further ones stay unread.
	maxAhead = 32
	// writeTimeout bounds writing an answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection that ends is still read. Closing it
	// with unread bytes would reset it, and the caller could lose the answer.
	lingerTimeout = time.Second
)

// conn is one caller's connection.
type conn struct {
	server *Server
	nc     *netconn.Conn
	remote string
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// last is closed when the answer to the latest request was written; nil
	// before the first request.
	last chan struct{}
	// pending is the number of requests without a written answer.
	pending int
	// arriveBy is when the request that is arriving must be whole; zero while
	// none is.
	arriveBy time.Time
	// ended means that the last answer of the connection was written.
	ended bool
	// room is signalled when pending falls and when the connection ends.
	room *sync.Cond
}

func newConn(s *Server, nc *netconn.Conn) *conn {
	c := &conn{server: s, nc: nc, remote: nc.RemoteAddr().String()}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.room = sync.NewCond(&c.mu)
	return c
}

// Request is a request of a connection.
type Request struct {
	*protocol.Request
	// Remote is the caller's IP:port.
	Remote string
	// Began is when its first byte arrived, Arrived when it was whole.
	Began, Arrived time.Time

	earlier <-chan struct{}
}

// Turn waits until the earlier requests of the connection have been answered,
// or returns the cause of the end of ctx. A request that must not run when the
// connection ends with an earlier answer waits for it.
func (r *Request) Turn(ctx context.Context) error {
	if r.earlier == nil {
		return nil
	}
	select {
	case <-r.earlier:
		return context.Cause(ctx)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.finish()
	for {
		r, err := c.next()
		if err != nil {
			c.stop(r, err)
			return
		}
		if !c.begin(r) {
			protocol.ReleaseRequest(r.Request)
			return
		}
	}
}

// finish closes the connection once no handler uses it any more.
func (c *conn) finish() {
	c.cancel(ErrCallerGone)
	c.mu.Lock()
	for c.pending > 0 {
		c.room.Wait()
	}
	c.mu.Unlock()
	c.nc.Close()
	c.server.forget(c)
}

// next reads one request. The request may be incomplete when there is an error.
func (c *conn) next() (*Request, error) {
	c.setDeadline(func() { c.arriveBy = time.Time{} })
	if _, err := c.nc.Peek(1); err != nil {
		return nil, err
	}
	limits := c.server.limits()
	r := &Request{Request: protocol.AcquireRequest(), Remote: c.remote, Began: time.Now()}
	c.setDeadline(func() { c.arriveBy = r.Began.Add(limits.RequestArrival) })
	if err := req.ReadHeaderWithLimit(&r.Header, c.nc, limits.MaxHeaderBytes); err != nil {
		return r, err
	}
	if r.MayContinue() {
		if err := c.inviteBody(); err != nil {
			return r, err
		}
	}
	if err := req.ContinueReadBody(r.Request, c.nc, limits.MaxBodyBytes, false); err != nil {
		return r, err
	}
	r.Arrived = time.Now()
	return r, nil
}

// setDeadline changes what is awaited and sets the read deadline that follows.
func (c *conn) setDeadline(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.applyDeadline()
}

// applyDeadline is called with the lock held.
func (c *conn) applyDeadline() {
	var deadline time.Time
	switch {
	case c.ended:
		return
	case !c.arriveBy.IsZero():
		deadline = c.arriveBy
	case c.pending == 0 && c.server.draining.Load():
		deadline = time.Now()
	case c.pending == 0:
		deadline = time.Now().Add(c.server.limits().Idle)
	}
	// The error repeats that the connection is closed, which the read shows.
	_ = c.nc.SetReadDeadline(deadline)
}

// inviteBody sends the interim answer that a caller awaits before it sends the
// body, after the answers to earlier requests.
func (c *conn) inviteBody() error {
	c.mu.Lock()
	for c.pending > 0 && !c.ended {
		c.room.Wait()
	}
	ended := c.ended
	c.mu.Unlock()
	if ended {
		return errEnding
	}
	if _, err := c.nc.WriteBinary([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
		return err
	}
	return c.nc.Flush()
}

// begin starts the handler of a request. It returns false when the connection
// has ended.
func (c *conn) begin(r *Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending >= maxAhead && !c.ended {
		c.room.Wait()
	}
	if c.ended {
		return false
	}
	if c.pending > 0 {
		r.earlier = c.last
	}
	earlier, done := c.last, make(chan struct{})
	c.last = done
	c.pending++
	c.arriveBy = time.Time{}
	c.applyDeadline()
	go c.handle(r, earlier, done)
	return true
}

// handle answers one request, after the answers to the earlier ones.
func (c *conn) handle(r *Request, earlier <-chan struct{}, done chan<- struct{}) {
	answer := protocol.AcquireResponse()
	answer.Header.SetNoDefaultContentType(true)
	answer.Header.SetNoDefaultDate(true)
	c.server.handler(c.ctx, r, answer)
	if earlier != nil {
		<-earlier
	}
	c.answer(r, answer)
	close(done)
	protocol.ReleaseRequest(r.Request)
	protocol.ReleaseResponse(answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.applyDeadline()
	c.room.Broadcast()
}

// answer writes the answer unless the connection has ended meanwhile.
func (c *conn) answer(r *Request, answer *protocol.Response) {
	c.mu.Lock()
	over := c.ended || c.ctx.Err() != nil
	c.mu.Unlock()
	if over {
		return
	}
	ending := r.Header.ConnectionClose() || answer.ConnectionClose() || c.server.ending.Load() || c.server.draining.Load()
	if ending {
		answer.SetConnectionClose()
	}
	answer.SkipBody = answer.SkipBody || string(r.Header.Method()) == "HEAD"
	if err := c.write(answer); err != nil {
		c.abort(errors.Wrap(err, "write the answer"))
		return
	}
	if ending {
		c.end()
	}
}

func (c *conn) write(answer *protocol.Response) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := resp.Write(answer, c.nc); err != nil {
		return err
	}
	return c.nc.Flush()
}

// end ends the connection after its last answer: nothing more is written, the
// requests behind it are dropped, and what still arrives is read for a moment.
func (c *conn) end() {
	c.mu.Lock()
	c.ended = true
	c.room.Broadcast()
	c.mu.Unlock()
	c.cancel(errEnding)
	if tcp, ok := c.nc.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// abort closes the connection at once.
func (c *conn) abort(cause error) {
	c.cancel(cause)
	c.mu.Lock()
	c.ended = true
	c.room.Broadcast()
	c.mu.Unlock()
	c.nc.Close()
}

// endIfIdle ends a connection that waits between two requests.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && c.arriveBy.IsZero() {
		// The pending read returns with a time-out and serve ends the connection.
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

func (c *conn) unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// stop ends the connection after a failed read. A malformed or late request is
// answered, after the answers to the earlier ones.
func (c *conn) stop(r *Request, err error) {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended {
		c.linger()
		return
	}
	status, reason := refusal(r, err)
	if status == 0 {
		c.cancel(ErrCallerGone)
		return
	}
	c.mu.Lock()
	for c.pending > 0 && !c.ended {
		c.room.Wait()
	}
	ended = c.ended
	c.mu.Unlock()
	if ended {
		return
	}
	c.server.log.Info().Str("remote", c.remote).Int("status", status).Str("reason", reason).AnErr("cause", err).
		Msg("ingress: request refused")
	answer := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(answer)
	answer.SetStatusCode(status)
	answer.SetBodyString(reason + "\n")
	answer.SetConnectionClose()
	if c.server.OnRefusal != nil {
		c.server.OnRefusal(answer)
	}
	if werr := c.write(answer); werr == nil {
		c.end()
		c.linger()
	}
}

// linger reads what still arrives until the caller closes or the time is over.
func (c *conn) linger() {
	// The end of the read is what is awaited; its cause does not matter.
	_, _ = io.Copy(io.Discard, c.nc.Conn)
}

// refusal returns the status for a request that could not be read, or 0 when
// there is nobody to answer.
func refusal(r *Request, err error) (status int, reason string) {
	switch {
	case r == nil, errors.IsAny(err, io.EOF, net.ErrClosed, hertzerrors.ErrNothingRead, errEnding):
		return 0, ""
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 408, "the request did not arrive in time"
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		return 413, "the body is too large"
	case errors.Is(err, hertzerrors.ErrHeaderTooLarge):
		return 431, "the header is too large"
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return 0, ""
	}
	return 400, "the request is malformed"
}
