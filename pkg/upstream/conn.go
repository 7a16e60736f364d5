package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/panics"
)

const (
	// tcpUserTimeout is how long sent bytes may stay unacknowledged: about ten
	// round trips between failure domains, including retransmissions. It detects a
	// network path that drops all packets before the request times out.
	tcpUserTimeout = 2 * time.Second
	// tcpKeepAliveIdle is the time without a packet after which TCP keep-alive
	// probes start. It is longer than most requests, so that only long requests
	// cause probes.
	tcpKeepAliveIdle = 2 * time.Second
	// maxStaleResponses is the number of responses to earlier requests that are
	// skipped before the response to the current request.
	maxStaleResponses = 2
	// maxRefusedIDs bounds conn.refusedIDs; a connection with more is closed.
	maxRefusedIDs = 32
	// maxInlineWriteBytes is the largest request body that is written before the
	// response is read. Larger ones are written concurrently, because an upstream
	// may respond before it has read the body.
	maxInlineWriteBytes = 1 << 10
	// maxHeadBytes limits the head of a response including preceding interim responses. It is
	// several times the usual limit of HTTP servers (8 to 16 KiB), and heads on all 330
	// connections to an upstream take less than 21 MiB.
	maxHeadBytes = 64 << 10
)

var (
	// errNotSent marks errors that occurred before any part of the request was sent.
	errNotSent = errors.New("the request was not sent")
	// errOtherRequest marks responses that carry the id of another request.
	errOtherRequest = errors.New("the response belongs to another request")
	// errTruncated marks responses that ended early.
	errTruncated = errors.New("the response was truncated")
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	dialect *dialect.Dialect
	target  Target
	// hasServed is true once a response was received on the connection.
	hasServed bool
	// refusedIDs are the ids of requests that were refused on the connection without
	// being run. A copy of such a refusal would look like the answer to another attempt
	// of the same request.
	refusedIDs []string
	// idleSince is when the last response ended.
	idleSince time.Time
	// idleUntil is when the connection is closed if it is not used before. It
	// follows from the upstream's Keep-Alive header or the pool's default.
	idleUntil time.Time

	mu      sync.Mutex
	netConn *netconn.Conn
	closed  bool
}

// close closes the connection. An exchange in progress fails.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.netConn != nil {
		c.netConn.Close()
	}
}

// reusable reports whether the connection is open and has no unread bytes. Unread
// bytes can only belong to a response to an earlier request.
func (c *conn) reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.netConn != nil && c.netConn.IsReusable()
}

// dial opens the connection if it is not open. Errors are marked errNotSent.
func (c *conn) dial() (*netconn.Conn, error) {
	c.mu.Lock()
	nc, closed := c.netConn, c.closed
	c.mu.Unlock()
	if closed {
		return nil, errors.Mark(context.Canceled, errNotSent)
	}
	if nc != nil {
		return nc, nil
	}
	nc, err := netconn.Dial(c.target.Address, netconn.DialConfig{
		Timeout: c.target.ConnectTimeout, UnacknowledgedTimeout: tcpUserTimeout, KeepAliveIdle: tcpKeepAliveIdle,
	})
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		nc.Close()
		return nil, errors.Mark(context.Canceled, errNotSent)
	}
	c.netConn = nc
	return nc, nil
}

// exchange sends the request and reads the response with the request id. reusable is
// true if the connection can carry another request.
func (c *conn) exchange(rq *protocol.Request, rs *protocol.Response, id string, s *reservation) (reusable bool, err error) {
	nc, err := c.dial()
	if err != nil {
		return false, err
	}
	var writeErr error
	written := make(chan struct{})
	write := func() {
		writeErr = c.write(nc, rq)
		close(written)
	}
	if rq.Header.ContentLength() <= maxInlineWriteBytes {
		write()
	} else {
		go write()
	}
	if err := c.readMatchingResponse(nc, rs, id, s); err != nil {
		// Closing unblocks a write that waits for the upstream to read.
		c.close()
		<-written
		return false, err
	}
	select {
	case <-written:
		return writeErr == nil && !rs.ConnectionClose() && nc.Len() == 0, nil
	default:
		// The upstream responded before it read the whole request. It would read
		// the next request on this connection as the rest of the body.
		c.close()
		<-written
		return false, nil
	}
}

func (c *conn) write(nc *netconn.Conn, rq *protocol.Request) (err error) {
	defer panics.Recover(panics.Upstreams, &err)
	if err := req.Write(rq, nc); err != nil {
		return err
	}
	return nc.Flush()
}

// readMatchingResponse reads the response to the current request. It skips responses
// to earlier requests, which can only precede it on a reused connection.
func (c *conn) readMatchingResponse(nc *netconn.Conn, rs *protocol.Response, id string, s *reservation) (err error) {
	defer panics.Recover(panics.Upstreams, &err)
	for skipped := 0; ; skipped++ {
		if err := c.readResponse(nc, rs, s); err != nil {
			return err
		}
		gotID := string(rs.Header.Peek(c.dialect.RequestID))
		switch {
		case id == "" || gotID == id:
			return nil
		case gotID == "" && (!c.hasServed || !c.dialect.EchoesRequestID):
			return nil
		case !c.hasServed || skipped == maxStaleResponses:
			return errors.Mark(errors.Newf("the response belongs to request %q", gotID), errOtherRequest)
		}
	}
}

func (c *conn) readResponse(nc *netconn.Conn, rs *protocol.Response, s *reservation) error {
	rs.ResetBody()
	if err := nc.ReadAnswerHead(&rs.Header, maxHeadBytes); err != nil {
		return err
	}
	if err := c.readBody(nc, rs, s); err != nil {
		if s.isEvicted() {
			err = errEvicted
		}
		return errors.Mark(err, errTruncated)
	}
	return nc.Release()
}
