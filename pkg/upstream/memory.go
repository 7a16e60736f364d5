package upstream

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// maxBufferedBytes limits the memory of all responses being received: a quarter of the
// 184 MB of the smallest host. Another quarter is for the rest of the daemon, and the
// garbage collector lets the heap double before it frees memory.
const maxBufferedBytes = 184_000_000 / 4

var (
	errBodyTooLarge = errors.New("the response is too large to buffer")
	errEvicted      = errors.New("the response was the largest when the response buffers reached their memory limit")
)

// memoryBudget limits the total memory of the responses being received.
type memoryBudget struct {
	mu           sync.Mutex
	usedBytes    int
	reservations map[*reservation]struct{}
	// changed is signalled when a reservation is closed or evicted.
	changed *sync.Cond
}

// reservation is the memory reserved for one response.
type reservation struct {
	budget *memoryBudget
	conn   *conn
	bytes  int
	// evicted is true if the response is aborted to free memory for others.
	evicted bool
}

func newMemoryBudget() *memoryBudget {
	m := &memoryBudget{reservations: map[*reservation]struct{}{}}
	m.changed = sync.NewCond(&m.mu)
	return m
}

// newReservation returns an empty reservation for a response on a connection. close
// releases it.
func (m *memoryBudget) newReservation(c *conn) *reservation {
	r := &reservation{budget: m, conn: c}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservations[r] = struct{}{}
	return r
}

func (r *reservation) close() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.usedBytes -= r.bytes
	delete(r.budget.reservations, r)
	r.budget.changed.Broadcast()
}

// grow adds n bytes to the reservation. If they exceed the limit, it evicts the largest
// response and waits for the memory. An endless response becomes the largest, so the
// others can complete.
func (r *reservation) grow(n int) error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	for !r.evicted {
		if r.budget.usedBytes+n <= maxBufferedBytes {
			r.bytes += n
			r.budget.usedBytes += n
			return nil
		}
		largest := r.budget.largest(r, n)
		if largest != r {
			// Its reader fails when the connection is closed and releases the memory.
			largest.conn.close()
		}
		if !largest.evicted {
			largest.evicted = true
			r.budget.changed.Broadcast()
		}
		if !r.evicted {
			r.budget.changed.Wait()
		}
	}
	return errEvicted
}

// largest returns the reservation that would be the largest if requester had n more
// bytes. The caller holds the lock.
func (m *memoryBudget) largest(requester *reservation, n int) *reservation {
	largest, size := requester, requester.bytes+n
	for r := range m.reservations {
		if r.bytes > size {
			largest, size = r, r.bytes
		}
	}
	return largest
}

// isEvicted reports whether the response was aborted to free memory.
func (r *reservation) isEvicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.evicted
}
