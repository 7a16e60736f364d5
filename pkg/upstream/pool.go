package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/dialect"
)

const (
	// maxIdle is how long a connection may stay idle if the upstream states no
	// Keep-Alive timeout. If the upstream closes a connection while a request is in
	// transit, the outcome of the request is unknown.
	maxIdle = 4 * time.Second
	// maxStatedIdle limits the Keep-Alive timeout that an upstream states.
	maxStatedIdle = 30 * time.Second
	// longIdleThreshold is how long a connection may have been idle before a request
	// that must not run twice. Such a request is lost if the upstream drops idle
	// connections early or the network path drops all packets.
	longIdleThreshold = 4 * time.Second
)

var (
	errTooManyConnections = errors.New("the connection limit of the upstream is reached")
	errTooManyBytes       = errors.New("the bodies in flight to the upstream take all memory that one upstream may take")
)

// pool holds the connections to one address.
type pool struct {
	dialect *dialect.Dialect

	mu        sync.Mutex
	idle      []*conn
	openCount int
	// inFlightBytes are the bodies of the requests in flight.
	inFlightBytes int64
}

// beginRequest counts a body in flight. It returns false if the bodies exceed the limit
// together. An upstream that runs out of memory for its requests crashes.
func (p *pool) beginRequest(bodyBytes int, limit int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlightBytes > 0 && bodyBytes > 0 && p.inFlightBytes+int64(bodyBytes) > limit {
		return false
	}
	p.inFlightBytes += int64(bodyBytes)
	return true
}

// endRequest ends what beginRequest began.
func (p *pool) endRequest(bodyBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlightBytes -= int64(bodyBytes)
}

// get returns the idle connection that was used last, or a new one if there is none
// or r.FreshConnection is set. If r.AvoidLongIdle is set, connections idle for longer than
// longIdleThreshold are not used. Connections on which a request with the id was refused
// are not used either. It fails if the connection limit is reached.
func (p *pool) get(target Target, r *Request, now time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	for i := len(p.idle) - 1; i >= 0 && !r.FreshConnection; i-- {
		c := p.idle[i]
		if r.AvoidLongIdle && now.Sub(c.idleSince) > longIdleThreshold {
			break
		}
		if slices.Contains(c.refusedIDs, r.ID) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.reusable() {
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.openCount >= target.MaxConnections && len(p.idle) > 0 {
		p.closeLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.openCount >= target.MaxConnections {
		return nil, errTooManyConnections
	}
	p.openCount++
	return &conn{dialect: p.dialect, target: target}, nil
}

// closingMargin is how long before the upstream's stated Keep-Alive timeout the daemon
// closes an idle connection, so that no request is sent while the upstream closes it.
const closingMargin = time.Second

// put returns a connection to the pool if it is reusable and closes it otherwise.
// statedIdle is the upstream's Keep-Alive timeout, or 0 if it states none.
func (p *pool) put(c *conn, reusable bool, statedIdle time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := maxIdle
	if statedIdle > 0 {
		idle = min(maxStatedIdle, statedIdle-closingMargin)
	}
	if reusable && idle > 0 && len(c.refusedIDs) <= maxRefusedIDs && c.reusable() {
		c.hasServed, c.idleSince, c.idleUntil = true, now, now.Add(idle)
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
	p.openCount--
}

// expire closes idle connections that have exceeded their idle time, that the upstream
// has closed, or that have unread bytes after the last response. It reports whether the
// pool is empty.
func (p *pool) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		unusable := !c.reusable()
		if unusable {
			p.closeLocked(c)
		}
		return unusable
	})
	return p.openCount == 0
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}
