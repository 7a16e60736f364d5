package ingress

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/memory"
	"shallotglade/pkg/panics"
)

const (
	// maxPipelinedRequests is how many requests of one connection are handled at
	// a time. Further ones stay unread.
	maxPipelinedRequests = 32
	// writeTimeout limits the time to write an answer to a caller that does not
	// read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a closing connection is still read. Closing it
	// with unread bytes would reset it, and the caller could lose the answer.
	lingerTimeout = time.Second
	// firstRequestTimeout is how long a draining server waits for the first request of a
	// connection, and for one that has arrived and is not read yet.
	firstRequestTimeout = time.Second
	// noMemoryRetryAfter is the Retry-After value of a refusal for want of memory. It is
	// about the time that a request with a large body takes.
	noMemoryRetryAfter = time.Second
)

// conn is one caller's connection.
type conn struct {
	server    *Server
	transport *transport
	netConn   *netconn.Conn
	reserved  *memory.Reservation
	remote    string
	ctx       context.Context
	cancel    context.CancelCauseFunc

	// reading is true while a request arrives, writing while an answer is written, and evicted once
	// the connection was told to close for others.
	reading, writing, evicted atomic.Bool
	// countedAsClosing is true if the connection counts in Server.closing, whose lock guards it.
	countedAsClosing bool
	// heldBytes is the memory of the connection's requests and answers.
	heldBytes atomic.Int64

	mu sync.Mutex
	// lastAnswered is closed when the answer to the latest request has been
	// written. It is nil before the first request.
	lastAnswered chan struct{}
	// pending is the number of requests without a written answer.
	pending int
	// requestDeadline is when the request that is being read must be complete.
	// It is zero while none is being read.
	requestDeadline time.Time
	// ended is true once the last answer of the connection has been written or
	// the connection has been aborted.
	ended bool
	// dropped is true once a request was read and not handled because the server stops.
	dropped bool
	// arrivedAtStop is how many bytes had arrived when the server began to stop, and readTo how
	// many of them the requests take that have been read. Both count from the first byte.
	arrivedAtStop, readTo int64
	// changed is signalled when pending decreases and when the connection ends.
	changed *sync.Cond
}

func newConn(s *Server, t *transport, nc *netconn.Conn) *conn {
	c := &conn{server: s, transport: t, netConn: nc, remote: nc.RemoteAddr().String()}
	c.transport.lastRead.Store(sinceStart())
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Request is a request read from a caller's connection.
type Request struct {
	*protocol.Request
	// Remote is the caller's IP:port.
	Remote string
	// Began is when the first byte arrived, Arrived when the request was complete.
	Began, Arrived time.Time

	// earlierAnswered is closed when all earlier requests of the connection have
	// been answered. It is nil if there was none in progress.
	earlierAnswered <-chan struct{}
	// offset is the position of its first byte among those of the connection.
	offset int64
	// Discarded is true if the request had a body that was not kept; see Server.DiscardBody.
	Discarded bool

	// usage is the memory reserved for the request, bodyBytes that for its body. fields is the
	// number of header fields.
	usage     usage
	bodyBytes int64
	fields    int
}

// WaitForEarlierAnswers waits until the earlier requests of the connection have been
// answered or ctx ends. It returns the cause of ctx if ctx has ended. Handlers call
// it before they run a request that must not run if an earlier answer closes the
// connection.
func (r *Request) WaitForEarlierAnswers(ctx context.Context) error {
	if r.earlierAnswered == nil {
		return nil
	}
	select {
	case <-r.earlierAnswered:
		return context.Cause(ctx)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.closeWhenDone()
	for {
		r, err := c.readRequest()
		if err != nil {
			if r != nil {
				c.release(r)
			}
			c.handleReadError(r, err)
			return
		}
		if !c.startHandler(r) {
			c.recycle(r)
			if c.hasEnded() {
				return
			}
		}
	}
}

// closeWhenDone closes the connection once all its handlers have returned.
func (c *conn) closeWhenDone() {
	c.cancel(ErrCallerGone)
	c.mu.Lock()
	for c.pending > 0 {
		c.changed.Wait()
	}
	c.mu.Unlock()
	c.netConn.Close()
	c.reserved.Close()
	if c.evicted.Load() {
		c.server.log.Info().Str("remote", c.remote).Msg("ingress: connection without progress closed for others")
	}
	c.server.removeConn(c)
}

// readRequest reads one request. If it returns an error, the request may be nil or
// incomplete.
func (c *conn) readRequest() (r *Request, err error) {
	defer panics.Recover(panics.Requests, &err)
	c.setDeadline(func() { c.requestDeadline = time.Time{} })
	if _, err := c.netConn.Peek(1); err != nil {
		return nil, err
	}
	c.transport.markRead()
	c.reading.Store(true)
	defer c.reading.Store(false)
	limits := c.server.limits()
	r = &Request{Request: protocol.AcquireRequest(), Remote: c.remote, Began: time.Now(), offset: c.position()}
	c.setDeadline(func() { c.requestDeadline = r.Began.Add(limits.RequestArrival) })
	if err := c.netConn.ReadRequestHead(&r.Header, limits.MaxHeaderBytes); err != nil {
		return r, err
	}
	if err := c.reserveHeader(r); err != nil {
		return r, err
	}
	if c.server.Screen != nil {
		if refusal := c.server.Screen(r); refusal != nil {
			return r, refusal
		}
	}
	if r.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return r, err
		}
	}
	if err := c.readBody(r, limits.MaxBodyBytes); err != nil {
		return r, err
	}
	r.Arrived = time.Now()
	return r, nil
}

// position returns the number of bytes of the connection that the reader has used. Only the
// reader calls it.
func (c *conn) position() int64 { return c.transport.received.Load() - int64(c.netConn.Len()) }

// setDeadline applies change to the state and sets the matching read deadline.
func (c *conn) setDeadline(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.applyDeadline()
}

// applyDeadline sets the read deadline for the current state. The caller holds
// c.mu.
func (c *conn) applyDeadline() {
	var deadline time.Time
	switch {
	case c.ended:
		return
	case c.evicted.Load():
		deadline = time.Now()
	case !c.requestDeadline.IsZero():
		deadline = c.requestDeadline
	case c.pending == 0 && c.server.draining.Load():
		deadline = time.Now()
		if c.lastAnswered == nil || c.hasUnreadRequests() {
			deadline = deadline.Add(firstRequestTimeout)
		}
	case c.pending == 0:
		deadline = time.Now().Add(c.server.limits().Idle)
	}
	// It fails only on a closed connection, which the next read reports too.
	_ = c.netConn.SetReadDeadline(deadline)
}

// sendContinue sends "100 Continue", which the caller awaits before it sends the
// body, after the answers to earlier requests.
func (c *conn) sendContinue() error {
	// The caller waits for the daemon meanwhile.
	c.reading.Store(false)
	defer c.reading.Store(true)
	defer c.transport.markRead()
	if c.awaitAnswers() {
		return errConnectionEnding
	}
	// The deadline of the previous answer may have passed.
	if err := c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := c.netConn.WriteBinary([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
		return err
	}
	return c.netConn.Flush()
}

// startHandler starts the handler of a request. It returns false if the connection has
// ended, or is about to end after the answers to earlier requests.
func (c *conn) startHandler(r *Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readTo = c.position()
	waited := false
	for !c.ended && c.pending > 0 && !c.readsAhead(r) && !c.server.endsConnections() {
		waited = true
		c.changed.Wait()
	}
	if c.ended {
		return false
	}
	if c.pending > 0 && c.server.endsConnections() && (waited || !c.finishesBehind(r)) {
		c.dropped = true
		return false
	}
	if c.pending > 0 {
		r.earlierAnswered = c.lastAnswered
	}
	earlierAnswered, answered := c.lastAnswered, make(chan struct{})
	c.lastAnswered = answered
	c.pending++
	c.requestDeadline = time.Time{}
	c.applyDeadline()
	go c.handle(r, earlierAnswered, answered)
	return true
}

// finishesBehind reports whether a request behind others is handled although the server stops:
// it arrived before the stop, and the reader would have taken it then if it had run in time. It must
// not wait for the memory of the answers before it. The caller holds c.mu.
func (c *conn) finishesBehind(r *Request) bool {
	return !c.dropped && r.offset < c.arrivedAtStop && c.readsAhead(r)
}

// hasUnreadRequests reports whether requests that arrived before the stop are not read yet, as far
// as they are still handled. The caller holds c.mu.
func (c *conn) hasUnreadRequests() bool { return !c.dropped && c.readTo < c.arrivedAtStop }

// handle answers one request. A panic ends the connection.
func (c *conn) handle(r *Request, earlierAnswered <-chan struct{}, answered chan<- struct{}) {
	defer c.endRequest(answered)
	if err := c.answer(r, earlierAnswered, answered); err != nil {
		c.abort(err)
	}
}

// answer runs the handler of one request and writes the answer after those to earlier requests.
func (c *conn) answer(r *Request, earlierAnswered <-chan struct{}, answered chan<- struct{}) (err error) {
	defer panics.Recover(panics.Requests, &err)
	answer := c.runHandler(r)
	ending := r.Header.ConnectionClose() || answer.ConnectionClose()
	answer.SkipBody = answer.SkipBody || string(r.Header.Method()) == "HEAD"
	held := c.holdAnswer(answer)
	defer c.releaseAnswer(held)
	c.recycle(r)
	if earlierAnswered != nil {
		<-earlierAnswered
	}
	c.writeAnswer(answer, ending, answered)
	protocol.ReleaseResponse(answer)
	return nil
}

// runHandler returns the answer of the handler. If the handler panics, the request may have had an
// effect, and the connection closes after the answer.
func (c *conn) runHandler(r *Request) *protocol.Response {
	answer := newAnswer()
	if err := c.callHandler(r, answer); err != nil {
		answer = newAnswer()
		answer.SetStatusCode(http.StatusInternalServerError)
		answer.SetBodyString("the daemon failed\n")
		answer.SetConnectionClose()
	}
	return answer
}

func (c *conn) callHandler(r *Request, answer *protocol.Response) (err error) {
	defer panics.Recover(panics.Requests, &err)
	c.server.handler(c.ctx, r, answer)
	return nil
}

func newAnswer() *protocol.Response {
	answer := protocol.AcquireResponse()
	answer.Header.SetNoDefaultContentType(true)
	answer.Header.SetNoDefaultDate(true)
	return answer
}

// endRequest marks the request as answered.
func (c *conn) endRequest(answered chan<- struct{}) {
	close(answered)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.dropped && !c.ended {
		// The stop began after the last answer was written without closing the connection.
		c.endLocked()
	}
	c.applyDeadline()
	c.changed.Broadcast()
}

// writeAnswer writes the answer unless the connection has ended meanwhile. answered is the
// channel of its request, and ending is true if the connection ends with the answer.
func (c *conn) writeAnswer(answer *protocol.Response, ending bool, answered chan<- struct{}) {
	c.mu.Lock()
	ended := c.ended || c.ctx.Err() != nil
	// A stopping server does not drop requests that it handles already.
	stopsHere := c.server.endsConnections() && c.lastAnswered == answered && !c.hasUnreadRequests()
	c.mu.Unlock()
	if ended {
		if errors.Is(context.Cause(c.ctx), errConnectionEnding) {
			c.server.unanswered.Add(1)
		}
		return
	}
	ending = ending || stopsHere
	if ending {
		answer.SetConnectionClose()
	}
	if err := c.writeResponse(answer); err != nil {
		c.abort(errors.Wrap(err, "write the answer"))
		return
	}
	if ending {
		c.endAfterLastAnswer()
	}
}

func (c *conn) writeResponse(answer *protocol.Response) error {
	if err := c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	c.transport.lastWrite.Store(sinceStart())
	c.writing.Store(true)
	defer c.writing.Store(false)
	if err := resp.Write(answer, c.netConn); err != nil {
		return err
	}
	return c.netConn.Flush()
}

// endAfterLastAnswer ends the connection after its last answer. Nothing more is
// written, later requests are dropped, and incoming bytes are still read for
// lingerTimeout.
func (c *conn) endAfterLastAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked()
}

// endLocked is endAfterLastAnswer for a caller that holds c.mu.
func (c *conn) endLocked() {
	c.ended = true
	c.changed.Broadcast()
	c.cancel(errConnectionEnding)
	c.transport.closeWrite()
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// abort closes the connection immediately.
func (c *conn) abort(cause error) {
	c.cancel(cause)
	c.mu.Lock()
	c.ended = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.netConn.Close()
}

// endIfIdle ends the connection if it is idle between two requests, or soon if it had no
// request yet.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && c.requestDeadline.IsZero() {
		// The pending read times out, and serve ends the connection.
		c.applyDeadline()
	}
}

// markStop records what has arrived when the server begins to stop.
func (c *conn) markStop() {
	arrived := c.transport.arrived()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivedAtStop = arrived
}

func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *conn) pendingRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// awaitAnswers waits until all requests of the connection have been answered, and reports
// whether the connection has ended.
func (c *conn) awaitAnswers() (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending > 0 && !c.ended {
		c.changed.Wait()
	}
	return c.ended
}
