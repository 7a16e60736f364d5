package httpcall

import (
	"context"
	"crypto/tls"
	"io"
	"sync"
	"syscall"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
)

const (
	// maxHeadBytes limits the head of an answer including preceding interim answers.
	maxHeadBytes = 64 << 10
	// refusalTimeout is how long the answer may take after a failed write. A server may refuse
	// a request before it has read all of it.
	refusalTimeout = 50 * time.Millisecond
	// firstErrorStatus is the lowest status of an answer that refuses a request.
	firstErrorStatus = 400
)

var (
	// ErrNotSent marks errors that occurred before any part of the request was sent.
	ErrNotSent = errors.New("httpcall: the request was not sent")
	// ErrTooManyConnections means that Client.MaxConnections are in use. It is marked ErrNotSent.
	ErrTooManyConnections = errors.New("httpcall: too many connections to the server")

	errStale = errors.New("httpcall: the server closed the kept connection")
)

// Server is the destination of a call.
type Server struct {
	// Address is a host and a port.
	Address string
	// TLS is nil for connections without TLS.
	TLS *tls.Config
}

// Call is one request with its limits.
type Call struct {
	Request *protocol.Request
	// Answer receives the answer. Its body does not refer to memory of the connection.
	Answer *protocol.Response
	// Timeout limits the writing of the request, and then the reading of the answer.
	Timeout time.Duration
	// Resend allows to send the request again if the server closes a kept connection before the
	// first byte of an answer. The server may have received the request.
	Resend bool
}

// Client keeps connections to servers. It is safe for concurrent use.
type Client struct {
	// Dial holds the timeouts and limits of connections. Its TLS configuration is not used.
	Dial netconn.DialConfig
	// MaxConnections limits the connections to one server.
	MaxConnections int
	// MaxIdle is how long an unused connection is kept; 0 means that none is.
	MaxIdle time.Duration
	// MaxBodyBytes limits the body of an answer.
	MaxBodyBytes int

	mu    sync.Mutex
	pools map[string]*pool
}

// Do sends the request and reads the answer. An error that is not marked ErrNotSent means that
// the server may have received the request. If ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, s Server, call Call) error {
	p := c.pool(s.Address)
	err := c.doOnce(ctx, p, s, call, true)
	if errors.Is(err, errStale) && call.Resend && ctx.Err() == nil {
		err = c.doOnce(ctx, p, s, call, false)
	}
	return err
}

// doOnce sends the request once, on a kept connection if one is wanted and there is one.
func (c *Client) doOnce(ctx context.Context, p *pool, s Server, call Call, wantsKept bool) error {
	conn, kept, err := c.connect(p, s, wantsKept)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	reusable := false
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() { p.put(conn, stop() && reusable, c.MaxIdle) }()
	if err := c.write(conn, call); err != nil {
		return c.readRefusal(conn, call, err, kept)
	}
	if err := conn.SetReadTimeout(call.Timeout); err != nil {
		return err
	}
	if _, err := conn.Peek(1); err != nil {
		if kept && errors.Is(err, io.EOF) {
			err = errors.Mark(err, errStale)
		}
		return err
	}
	if err := c.readAnswer(conn, call); err != nil {
		return err
	}
	reusable = !call.Answer.ConnectionClose() && !call.Request.ConnectionClose() && conn.Len() == 0
	return nil
}

func (c *Client) write(conn *netconn.Conn, call Call) error {
	if err := conn.SetWriteTimeout(call.Timeout); err != nil {
		return err
	}
	if err := req.Write(call.Request, conn); err != nil {
		return err
	}
	return conn.Flush()
}

// readRefusal reads the answer of a server that closed the connection while the request was
// written. It returns writeErr if there is no answer that refuses the request.
func (c *Client) readRefusal(conn *netconn.Conn, call Call, writeErr error, kept bool) error {
	if !errors.IsAny(writeErr, syscall.EPIPE, syscall.ECONNRESET, hertzerrors.ErrConnectionClosed) {
		return writeErr
	}
	if conn.SetReadTimeout(refusalTimeout) == nil && c.readAnswer(conn, call) == nil && call.Answer.StatusCode() >= firstErrorStatus {
		return nil
	}
	if kept {
		return errors.Mark(writeErr, errStale)
	}
	return writeErr
}

// readAnswer reads the answer including its body.
func (c *Client) readAnswer(conn *netconn.Conn, call Call) error {
	answer := call.Answer
	answer.ResetBody()
	answer.SkipBody = string(call.Request.Header.Method()) == "HEAD"
	if err := conn.ReadAnswerHead(&answer.Header, maxHeadBytes); err != nil {
		return err
	}
	if answer.MustSkipBody() {
		return conn.Release()
	}
	b := netconn.AnswerBody{Conn: conn, MaxBytes: c.MaxBodyBytes}
	body, err := b.Read(answer)
	if err != nil {
		return errors.Wrap(err, "read the body of an answer")
	}
	answer.SetBodyRaw(body)
	return conn.Release()
}

// Close closes the unused connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle()
	}
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = map[string]*pool{}
	}
	p, ok := c.pools[address]
	if !ok {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// connect returns a kept connection or opens one. kept is true for the former.
func (c *Client) connect(p *pool, s Server, wantsKept bool) (conn *netconn.Conn, kept bool, err error) {
	if wantsKept {
		if conn := p.takeIdle(); conn != nil {
			return conn, true, nil
		}
	}
	if !p.begin(c.MaxConnections) {
		return nil, false, ErrTooManyConnections
	}
	config := c.Dial
	config.TLS = s.TLS
	if conn, err = netconn.Dial(s.Address, config); err != nil {
		p.end()
		return nil, false, err
	}
	return conn, false, nil
}
