package httpcall

import (
	"sync"
	"time"

	"shallotglade/internal/netconn"
)

// pool holds the connections to one server.
type pool struct {
	mu   sync.Mutex
	idle []idleConn
	open int
}

// idleConn is an unused connection, which timer closes.
type idleConn struct {
	conn  *netconn.Conn
	timer *time.Timer
}

// begin counts a new connection, or returns false if there are limit already.
func (p *pool) begin(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

// end counts a connection as closed.
func (p *pool) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// takeIdle returns the connection that was used last, or nil. It closes those that the server
// has closed or on which bytes arrived that belong to no request.
func (p *pool) takeIdle() *netconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		last.timer.Stop()
		if last.conn.IsReusable() {
			return last.conn
		}
		p.closeLocked(last.conn)
	}
	return nil
}

// put keeps a connection for maxIdle if it is reusable, and closes it otherwise.
func (p *pool) put(conn *netconn.Conn, reusable bool, maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || maxIdle <= 0 {
		p.closeLocked(conn)
		return
	}
	timer := time.AfterFunc(maxIdle, func() { p.expire(conn) })
	p.idle = append(p.idle, idleConn{conn, timer})
}

// expire closes a connection if it is still unused.
func (p *pool) expire(conn *netconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.idle {
		if c.conn == conn {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.closeLocked(conn)
			return
		}
	}
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.timer.Stop()
		p.closeLocked(c.conn)
	}
	p.idle = nil
}

func (p *pool) closeLocked(conn *netconn.Conn) {
	conn.Close()
	p.open--
}
