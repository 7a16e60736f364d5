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
	// idle: between requests, no byte of the next one has arrived.
	idle phase = iota
	// reading: a request is arriving.
	reading
	// handling: the handler runs.
	handling
	// written: an answer is being written.
	written
)

// Conn is one accepted connection.
type Conn struct {
	net.Conn
	listener *Listener

	mu           sync.Mutex
	phase        phase
	arriveBy     time.Time
	readDeadline time.Time
	closeOnce    sync.Once
}

type contextKey struct{}

// ContextFor returns a context that carries an accepted connection; it fits the
// accept hook of the HTTP server.
func ContextFor(c net.Conn) context.Context {
	return context.WithValue(context.Background(), contextKey{}, c)
}

// Begin marks that a handler has taken over the request.
func Begin(ctx context.Context) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = handling
}

// Ending reports whether the connection is to be closed after this answer. The
// handler asks when the answer is ready, since a drain may begin meanwhile.
func Ending(ctx context.Context) bool {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	return ok && (c.listener.ending.Load() || c.listener.Draining())
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
	if c.phase == written {
		c.phase = idle
	}
	if c.phase == idle && c.listener.Draining() {
		return net.ErrClosed
	}
	return c.applyDeadline()
}

func (c *Conn) afterRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.phase = reading
		c.arriveBy = time.Now().Add(c.listener.limits.RequestArrival)
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

// applyDeadline sets the earlier of the server's read deadline and the time by
// which the request must have arrived. The caller holds the lock.
func (c *Conn) applyDeadline() error {
	deadline := c.readDeadline
	if c.phase == reading && (deadline.IsZero() || c.arriveBy.Before(deadline)) {
		deadline = c.arriveBy
	}
	return c.Conn.SetReadDeadline(deadline)
}

var (
	statusLineEnd = []byte("\r\n")
	// interim starts an answer such as "100 Continue", after which the body of
	// the same request still arrives.
	interim = []byte("HTTP/1.1 1")
)

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	before := c.phase
	if before != idle && (before != reading || !bytes.HasPrefix(b, interim)) {
		c.phase = written
	}
	c.mu.Unlock()
	if before == idle {
		// The HTTP library answers a time-out before the first byte of a request
		// too; nobody has asked anything.
		return len(b), nil
	}
	if before != reading || !bytes.HasPrefix(b, []byte("HTTP/1.1 4")) {
		return c.Conn.Write(b)
	}
	line, rest, found := bytes.Cut(b, statusLineEnd)
	if !found {
		return c.Conn.Write(b)
	}
	marked := bytes.Join([][]byte{line, []byte(verdict.Header + ": " + verdict.NotRun.String()), rest}, statusLineEnd)
	if _, err := c.Conn.Write(marked); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.listener.forget(c) })
	return c.Conn.Close()
}

// closeIfIdle ends a connection that waits between two requests.
func (c *Conn) closeIfIdle() {
	c.mu.Lock()
	waiting := c.phase == idle || c.phase == written
	c.mu.Unlock()
	if waiting {
		// The pending read returns with a time-out and the server closes the
		// connection; closing it here could cut an answer still being sent.
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}
