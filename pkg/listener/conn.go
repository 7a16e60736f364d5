package listener

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"shallotglade/pkg/verdict"
)

type phase uint8

const (
	// phaseIdle: no byte of the next request has arrived.
	phaseIdle phase = iota
	// phaseReading: a request is arriving.
	phaseReading
	// phaseHandling: the handler runs.
	phaseHandling
	// phaseWriting: an answer is being written, or was written and the next read
	// has not started.
	phaseWriting
)

// Conn is one accepted connection.
type Conn struct {
	net.Conn
	listener *Listener

	mu              sync.Mutex
	phase           phase
	requestDeadline time.Time
	readDeadline    time.Time
	closeOnce       sync.Once
}

type contextKey struct{}

// ContextFor returns a context that carries an accepted connection. It is meant for
// the accept hook of the HTTP server.
func ContextFor(c net.Conn) context.Context {
	return context.WithValue(context.Background(), contextKey{}, c)
}

// MarkHandlerStarted records that a handler has started on the request.
func MarkHandlerStarted(ctx context.Context) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseHandling
}

// MustClose reports whether the connection must be closed after this answer. The
// handler calls it when the answer is ready, because a drain may begin during the
// request.
func MustClose(ctx context.Context) bool {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	return ok && (c.listener.endAfterAnswer.Load() || c.listener.Draining())
}

// Read implements net.Conn. The first byte of a request starts the time within
// which the whole request must arrive.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.beforeRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

func (c *Conn) beforeRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseWriting {
		c.phase = phaseIdle
	}
	if c.phase == phaseIdle && c.listener.Draining() {
		return net.ErrClosed
	}
	return c.applyDeadline()
}

func (c *Conn) afterRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase = phaseReading
		c.requestDeadline = time.Now().Add(c.listener.limits.RequestArrival)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// applyDeadline sets the earlier of the server's read deadline and the deadline for
// the arrival of the request. The caller holds c.mu.
func (c *Conn) applyDeadline() error {
	deadline := c.readDeadline
	if c.phase == phaseReading && (deadline.IsZero() || c.requestDeadline.Before(deadline)) {
		deadline = c.requestDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

var (
	statusLineEnd = []byte("\r\n")
	// interimPrefix starts an interim answer such as "100 Continue", after which
	// the body of the same request still arrives.
	interimPrefix = []byte("HTTP/1.1 1")
)

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	previousPhase := c.phase
	if previousPhase != phaseIdle && (previousPhase != phaseReading || !bytes.HasPrefix(b, interimPrefix)) {
		c.phase = phaseWriting
	}
	c.mu.Unlock()
	if previousPhase == phaseIdle {
		// The HTTP library also answers a timeout before the first byte of a
		// request. That answer is dropped, because there is no request.
		return len(b), nil
	}
	if previousPhase != phaseReading || !bytes.HasPrefix(b, []byte("HTTP/1.1 4")) {
		return c.Conn.Write(b)
	}
	line, rest, found := bytes.Cut(b, statusLineEnd)
	if !found {
		return c.Conn.Write(b)
	}
	withVerdict := bytes.Join([][]byte{line, []byte(verdict.Header + ": " + verdict.NotRun.String()), rest}, statusLineEnd)
	if _, err := c.Conn.Write(withVerdict); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.listener.removeConn(c) })
	return c.Conn.Close()
}

// closeIfIdle closes the connection if it is idle between two requests.
func (c *Conn) closeIfIdle() {
	c.mu.Lock()
	isIdle := c.phase == phaseIdle || c.phase == phaseWriting
	c.mu.Unlock()
	if isIdle {
		// The pending read times out, and the server closes the connection. Closing
		// it here could truncate an answer that is still being sent.
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}
