package ingress

import (
	"bytes"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/memory"
)

const (
	// fieldMemoryBytes and headerCopies state the memory of a header on its way to the upstream:
	// each byte is held by the received request, the forwarded one and the one that is sent, and
	// each field has an entry in all three.
	fieldMemoryBytes = 256
	headerCopies     = 4
	// answerFieldBytes is the memory of a field of an answer besides its text.
	answerFieldBytes = 64
	// connMemoryBytes is the memory of a connection with its buffers and goroutine, and
	// connShare divides the size of the memory budget: all connections may take this part of
	// it, besides the budget.
	connMemoryBytes = 32 << 10
	connShare       = 4
	// requestMemoryBytes is the memory of a request that is handled besides its header and body:
	// the stacks of its goroutines, its contexts and its copies of fields. Without it, tens of
	// thousands of small requests that wait took 155 MB on a host of 128 MB.
	requestMemoryBytes = 8 << 10
	// maxReadAheadBytes limits the memory of the requests and answers of a connection at which
	// no further request of it is handled.
	maxReadAheadBytes = 1 << 20
	// evictionWait is how long a request waits while evicted holders release their memory.
	evictionWait = 250 * time.Millisecond
	// memoryRecheck is how often a waiting request looks for holders that have stalled.
	memoryRecheck = 100 * time.Millisecond
)

// errNoMemory means that there is no memory for a request, or that it stalled while others
// needed its memory.
var errNoMemory = errors.New("the requests and answers of other callers take all memory")

// errEvicted is the cause when a connection is closed because its caller has stopped reading.
var errEvicted = errors.New("ingress: the caller does not read its answer, and its memory is needed")

// usage is the memory of one request, and the part of it that is of class memory.Large.
type usage struct{ bytes, large int64 }

// StalledSince implements memory.Holder.
func (c *conn) StalledSince() (time.Time, bool) {
	switch {
	case c.writing.Load():
		return processStart.Add(time.Duration(c.transport.lastWrite.Load())), true
	case c.reading.Load():
		return processStart.Add(time.Duration(c.transport.lastRead.Load())), true
	default:
		return time.Time{}, false
	}
}

// Evict implements memory.Holder. A caller that does not read loses its connection, and a
// request that does not arrive is refused.
func (c *conn) Evict() {
	c.evicted.Store(true)
	c.server.evictions.Add(1)
	if c.writing.Load() {
		go c.abort(errEvicted)
		return
	}
	// It fails only on a closed connection.
	_ = c.netConn.SetReadDeadline(time.Now())
}

// reserve reserves memory for a request. It waits up to maxWait for others to release
// theirs, and a short time for evicted ones.
func (c *conn) reserve(r *Request, class memory.Class, n int64, maxWait time.Duration) error {
	for start := time.Now(); ; {
		result, released := c.reserved.Grow(time.Now(), class, n)
		wait := maxWait
		switch result {
		case memory.Granted:
			c.addUsage(r, class, n)
			return nil
		case memory.Evicted:
			return errNoMemory
		case memory.Evicting:
			wait = max(wait, evictionWait)
		}
		left := wait - time.Since(start)
		if left <= 0 || c.evicted.Load() {
			return errNoMemory
		}
		timer := time.NewTimer(min(left, memoryRecheck))
		select {
		case <-released:
		case <-timer.C:
		case <-c.ctx.Done():
			timer.Stop()
			return errConnectionEnding
		}
		timer.Stop()
	}
}

func (c *conn) addUsage(r *Request, class memory.Class, n int64) {
	r.usage.bytes += n
	if class == memory.Large {
		r.usage.large += n
	}
	c.heldBytes.Add(n)
}

// reserveHeader reserves the memory of a request's header. It does not wait.
func (c *conn) reserveHeader(r *Request) error {
	raw := r.Header.RawHeaders()
	r.fields = bytes.Count(raw, []byte("\n"))
	n := int64(headerCopies*(len(raw)+len(r.Header.RequestURI())) + fieldMemoryBytes*r.fields)
	if c.server.LimitsMemory {
		n += requestMemoryBytes
	}
	return c.reserve(r, memory.Small, n, 0)
}

// release frees the memory of a request.
func (c *conn) release(r *Request) {
	c.reserved.Release(r.usage.bytes, r.usage.large)
	c.heldBytes.Add(-r.usage.bytes)
	r.usage = usage{}
}

// recycle releases a request that was handled. Headers of many fields do not return to the
// library's pool, which would keep their memory.
func (c *conn) recycle(r *Request) {
	c.release(r)
	if r.fields <= netconn.MaxPooledFields {
		protocol.ReleaseRequest(r.Request)
	}
}

// readsAhead reports whether a further request may be handled before the earlier ones have been
// answered. If half of the memory is used, the rest is for the first requests of connections: those
// behind others have not stalled, and would keep ordinary callers out for as long as they are sent.
func (c *conn) readsAhead(r *Request) bool {
	return c.pending < maxPipelinedRequests && c.heldBytes.Load()-r.usage.bytes <= maxReadAheadBytes && !c.server.memory.HalfUsed()
}

// holdAnswer counts an answer that is not written yet, and returns its memory.
func (c *conn) holdAnswer(answer *protocol.Response) int64 {
	n := int64(len(answer.BodyBytes()))
	answer.Header.VisitAll(func(name, value []byte) { n += int64(len(name) + len(value) + answerFieldBytes) })
	c.reserved.Add(n)
	c.heldBytes.Add(n)
	return n
}

func (c *conn) releaseAnswer(n int64) {
	c.reserved.Release(n, 0)
	c.heldBytes.Add(-n)
}

// connectionLimit returns how many connections may be open.
func (s *Server) connectionLimit() int {
	limit := s.limits().Connections
	if s.LimitsMemory {
		limit = min(limit, int(s.memory.Total()/connShare/connMemoryBytes)/max(s.ConnectionParts, 1))
	}
	return limit
}

// evictIdlest closes the connection without progress for the longest time, if that is
// memory.StalledAfter or more, and reports whether there was one. The caller holds s.mu.
func (s *Server) evictIdlest() bool {
	var idlest *conn
	before := time.Now().Add(-memory.StalledAfter)
	for c := range s.conns {
		if since, waits := c.idleSince(); waits && !c.evicted.Load() && !since.After(before) {
			idlest, before = c, since
		}
	}
	if idlest == nil {
		return false
	}
	s.closing++
	idlest.countedAsClosing = true
	idlest.Evict()
	return true
}

// idleSince is StalledSince for a connection that may also wait for its next request.
func (c *conn) idleSince() (time.Time, bool) {
	if since, waits := c.StalledSince(); waits {
		return since, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	since := max(c.transport.lastRead.Load(), c.transport.lastWrite.Load())
	return processStart.Add(time.Duration(since)), c.pending == 0 && c.requestDeadline.IsZero()
}
