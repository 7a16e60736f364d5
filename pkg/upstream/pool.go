package upstream

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxIdle is how long a kept connection may wait for its next request. It is
// short, since a connection that the upstream closes while a request is on its
// way leaves the outcome unknown.
const maxIdle = 4 * time.Second

var errTooManyConnections = errors.New("the connection limit of the upstream is reached")

// pool keeps the connections to one address.
type pool struct {
	mu   sync.Mutex
	idle []idleConn
	open int
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// take returns a kept connection, or a new one if there is none or if fresh is
// set. It fails when the limit of open connections is reached.
func (p *pool) take(target Target, fresh bool, now time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	for !fresh && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last].conn
		p.idle = p.idle[:last]
		if c.reusable() {
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.open >= target.MaxConnections && len(p.idle) > 0 {
		p.closeLocked(p.idle[0].conn)
		p.idle = p.idle[1:]
	}
	if p.open >= target.MaxConnections {
		return nil, errTooManyConnections
	}
	p.open++
	return newConn(target, fresh), nil
}

// give keeps a connection for the next request if it is whole, else closes it.
func (p *pool) give(c *conn, whole bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole && c.reusable() {
		p.idle = append(p.idle, idleConn{conn: c, since: now})
		return
	}
	p.closeLocked(c)
}

func (p *pool) dropExpired(now time.Time) {
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].since) > maxIdle {
		p.closeLocked(p.idle[n].conn)
		n++
	}
	p.idle = p.idle[n:]
}

func (p *pool) closeLocked(c *conn) {
	c.close()
	p.open--
}

// expire closes the kept connections that have waited too long, and reports
// whether the pool is empty.
func (p *pool) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	return p.open == 0
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.idle {
		p.closeLocked(i.conn)
	}
	p.idle = nil
}
