package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/dialect"
)

const (
	// maxIdle is how long a kept connection may wait for its next request when
	// the upstream does not say how long it keeps it. A connection that the
	// upstream closes while a request is on its way leaves the outcome unknown.
	maxIdle = 4 * time.Second
	// longestIdle bounds what the upstream says.
	longestIdle = 30 * time.Second
	// cautiousIdle is how long a connection may have waited that carries a
	// request which must not run twice. An upstream that drops idle connections
	// early, or a path that has gone silent, costs such a request.
	cautiousIdle = 4 * time.Second
)

var errTooManyConnections = errors.New("the connection limit of the upstream is reached")

// pool keeps the connections to one address.
type pool struct {
	dialect *dialect.Dialect

	mu   sync.Mutex
	idle []*conn
	open int
}

// take returns the kept connection that was used last, or a new one if there is
// none or if fresh is set. A cautious request gets none that waited for long. It
// fails when the limit of open connections is reached.
func (p *pool) take(target Target, fresh, cautious bool, now time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	for !fresh && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if cautious && now.Sub(c.idleSince) > cautiousIdle {
			break
		}
		p.idle = p.idle[:last]
		if c.reusable() {
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.open >= target.MaxConnections && len(p.idle) > 0 {
		p.closeLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.open >= target.MaxConnections {
		return nil, errTooManyConnections
	}
	p.open++
	return &conn{dialect: p.dialect, target: target}, nil
}

// closingMargin is how long before the time that an upstream states a kept
// connection is closed here, so that no request meets the upstream's close.
const closingMargin = time.Second

// give keeps a connection for the next request if it is whole, else closes it.
// stated is how long the upstream says that it keeps the connection, 0 if it
// does not say.
func (p *pool) give(c *conn, whole bool, stated time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := maxIdle
	if stated > 0 {
		keep = min(longestIdle, stated-closingMargin)
	}
	if whole && keep > 0 && c.reusable() {
		c.used, c.idleSince, c.idleUntil = true, now, now.Add(keep)
		p.idle = append(p.idle, c)
		return
	}
	p.closeLocked(c)
}

func (p *pool) dropExpired(now time.Time) {
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		expired := now.After(c.idleUntil)
		if expired {
			p.closeLocked(c)
		}
		return expired
	})
}

func (p *pool) closeLocked(c *conn) {
	c.close()
	p.open--
}

// expire closes the kept connections that have waited too long, and those that the
// upstream has closed or on which it has sent bytes behind its answer. It reports
// whether the pool is empty.
func (p *pool) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		spoiled := !c.reusable()
		if spoiled {
			p.closeLocked(c)
		}
		return spoiled
	})
	return p.open == 0
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}
