package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound the connections of a Listener.
type Limits struct {
	// RequestArrival is how long a request may take from its first byte to its
	// last.
	RequestArrival time.Duration
	// Connections is the most open connections; further ones are closed as
	// soon as they are accepted.
	Connections int
}

// Listener accepts connections under Limits.
type Listener struct {
	net.Listener
	limits   Limits
	ending   atomic.Bool
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New wraps ln.
func New(ln net.Listener, limits Limits) *Listener {
	return &Listener{Listener: ln, limits: limits, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, listener: l}
		if l.remember(c) {
			return c, nil
		}
		nc.Close()
	}
}

func (l *Listener) remember(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limits.Connections {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// EndAfterAnswer makes every connection end after the answer to its next
// request. Unlike Drain it closes no connection between requests, on which a
// request may just be arriving.
func (l *Listener) EndAfterAnswer() { l.ending.Store(true) }

// Draining reports whether Drain was called.
func (l *Listener) Draining() bool { return l.draining.Load() }

// Drain makes every connection end after its present request. Connections that
// wait between requests end at once.
func (l *Listener) Drain() {
	l.draining.Store(true)
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}
