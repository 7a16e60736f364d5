package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits holds the limits of a Listener's connections.
type Limits struct {
	// RequestArrival is how long a request may take from its first byte to its
	// last.
	RequestArrival time.Duration
	// Connections is the maximum number of open connections. Further ones are
	// closed as soon as they are accepted.
	Connections int
}

// Listener accepts connections and applies Limits to them.
type Listener struct {
	net.Listener
	limits         Limits
	endAfterAnswer atomic.Bool
	draining       atomic.Bool

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
		if l.addConn(c) {
			return c, nil
		}
		nc.Close()
	}
}

func (l *Listener) addConn(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limits.Connections {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) removeConn(c *Conn) {
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

// EndAfterAnswer makes every connection close after its next answer. Unlike Drain,
// it does not close idle connections, on which a request may be about to arrive.
func (l *Listener) EndAfterAnswer() { l.endAfterAnswer.Store(true) }

// Draining reports whether Drain was called.
func (l *Listener) Draining() bool { return l.draining.Load() }

// Drain makes every connection close after its current request, and closes idle
// connections now.
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
