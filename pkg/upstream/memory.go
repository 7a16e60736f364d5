package upstream

import (
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/memory"
)

// evictionRecheck is how often a response that waits for the memory of an evicted holder
// checks again whether another one must be evicted.
const evictionRecheck = 100 * time.Millisecond

var errEvicted = errors.New("the response was the largest when the memory for requests and responses reached its limit")

// reservation is the memory reserved for one response.
type reservation struct {
	memory memory.Reservation
	conn   *conn
}

// newReservation returns an empty reservation for a response on a connection. close
// releases it.
func (c *Client) newReservation(conn *conn) *reservation {
	r := &reservation{conn: conn}
	c.memory.OpenIn(&r.memory, true, r)
	return r
}

// StalledSince implements memory.Holder. Timeouts end a response whose upstream stalls.
func (r *reservation) StalledSince() (time.Time, bool) { return time.Time{}, false }

// Evict implements memory.Holder. The reader of the response fails and releases the memory.
func (r *reservation) Evict() { r.conn.close() }

func (r *reservation) close() { r.memory.Close() }

// grow adds n bytes to the reservation, or waits while other holders are being evicted.
func (r *reservation) grow(n int) error {
	for {
		result, released := r.memory.Grow(time.Now(), memory.Response, int64(n))
		switch result {
		case memory.Granted:
			return nil
		case memory.Evicted:
			return errEvicted
		}
		timer := time.NewTimer(evictionRecheck)
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// isEvicted reports whether the response was aborted to free memory.
func (r *reservation) isEvicted() bool { return r.memory.Evicted() }
