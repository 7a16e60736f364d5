// Package memory accounts for the memory that a daemon holds for callers and upstreams.
//
// One Budget covers request bodies, headers by their expanded size, requests read ahead, answers
// that are not written yet, copies of requests and answers between daemons, and the
// responses of upstreams. Each holder has a Reservation. When one cannot grow, the holder that
// has made no progress for the longest time is evicted. The package uses no clock and starts no
// goroutine; whoever reserves decides whether to wait or to refuse. Large buffers that are
// released and not collected yet are limited too: Grow runs the garbage collector when needed.
//
//	reservation := budget.Open(false, holder)
//	defer reservation.Close()
//	result, released := reservation.Grow(time.Now(), memory.Large, bytes)
//	// Granted: use the memory. Evicting, Short: wait for released and repeat, or refuse.
//	// Evicted: release everything.
//
// docs/design/memory.md states what is counted, and for how long.
package memory
