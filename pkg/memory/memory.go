package memory

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// Class is what memory is held for. It decides how much of the budget a reservation may use.
type Class uint8

// Classes of reservations.
const (
	// Small is for requests of up to SmallBytes.
	Small Class = iota
	// Large is for larger requests.
	Large
	// Response is for the answers of upstreams.
	Response
)

const (
	// DefaultBytes is the budget if the memory of the host is unknown: half of the 184 MB of the
	// smallest host.
	DefaultBytes = 184_000_000 / 2
	// SmallBytes is the largest reservation of class Small.
	SmallBytes = 1 << 20
	// StalledAfter is how long a holder may make no progress before it can be evicted. It
	// is longer than the retransmission of a lost packet takes twice in a row (200 and 400 ms).
	StalledAfter = time.Second
	// releaseTime is how long an evicted holder usually takes at most to release its memory. A
	// request that continues at its upstream takes longer.
	releaseTime = 500 * time.Millisecond
	// scanInterval limits how often all holders are examined, which many may cause at a time.
	scanInterval = 10 * time.Millisecond
	// garbageShare divides the budget: released buffers may take this part of it beyond the
	// budget until they are collected. It is an eighth of the host's memory.
	garbageShare = 4
)

// Holder is something that holds memory of a budget and can be made to release it.
type Holder interface {
	// StalledSince returns when the holder last made progress, if it waits for its peer to
	// send or to read. It is called with the lock of the budget held.
	StalledSince() (since time.Time, waits bool)
	// Evict makes the holder release its memory soon. It must not call the budget.
	Evict()
}

// Reservation is the memory that one holder has reserved. The lock of the budget guards its
// fields.
type Reservation struct {
	budget *Budget
	holder Holder
	// bytes are those reserved, large those of them of class Large.
	bytes, large int64
	// response is true for the response of an upstream.
	response bool
	// evicted is true once the holder was told to release its memory. evictionRound is the value of
	// Budget.evictionRound then.
	evicted       bool
	evictionRound uint64
}

// Budget is the memory of one daemon for callers and upstreams.
type Budget struct {
	total, requestLimit int64
	// Collect frees all garbage of the heap before it returns. It is runtime.GC except in tests.
	Collect func()
	// collection is locked by whoever runs the garbage collector. It is locked before mu.
	collection sync.Mutex

	mu sync.Mutex
	// used are the bytes reserved, large those of them of class Large.
	used, large  int64
	reservations map[*Reservation]struct{}
	// released is closed and replaced when memory is released. It is nil while nobody waits.
	released chan struct{}
	// evicting are the bytes of the reservations evicted in the current round, the latest of which was
	// evicted at evictedAt. A round ends once its reservations have had releaseTime: what they still hold
	// then may stay for long, and others are evicted in their place.
	evicting      int64
	evictedAt     time.Time
	evictionRound uint64
	// scanned is when stalled holders were last looked for.
	scanned   time.Time
	evictions uint64
	// garbage are the bytes that were released in parts above SmallBytes since the last collection
	// that the budget started.
	garbage int64
}

// New returns the budget of a host with the given memory in units of 1,000,000 bytes, or
// the default if it is 0. Half of the memory is left to the rest of the daemon and to garbage.
func New(memoryMB float64) *Budget {
	b := &Budget{total: DefaultBytes, Collect: runtime.GC, reservations: map[*Reservation]struct{}{}}
	// If the memory is unknown, half of the budget is left to the responses.
	b.requestLimit = b.total / 2
	if memoryMB > 0 {
		b.total = int64(memoryMB*1_000_000) / 2
		// At 184 MB this is 69 MB, which holds the users' largest body of 64 MiB.
		b.requestLimit = b.total / 4 * 3
	}
	return b
}

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// MaxLarge returns the memory for reservations of class Large.
func (b *Budget) MaxLarge() int64 { return b.requestLimit }

// Open returns an empty reservation. Close releases it.
func (b *Budget) Open(response bool, holder Holder) *Reservation {
	r := &Reservation{}
	b.OpenIn(r, response, holder)
	return r
}

// OpenIn is Open for a reservation that is part of its holder.
func (b *Budget) OpenIn(r *Reservation, response bool, holder Holder) {
	*r = Reservation{budget: b, holder: holder, response: response}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reservations[r] = struct{}{}
}

// Close releases all memory of the reservation.
func (r *Reservation) Close() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(-r.bytes, -r.large)
	delete(r.budget.reservations, r)
}

// add changes the bytes of the reservation. The caller holds the lock.
func (r *Reservation) add(n, large int64) {
	b := r.budget
	r.bytes += n
	r.large += large
	b.used += n
	b.large += large
	if r.evicted && r.evictionRound == b.evictionRound {
		b.evicting += n
	}
	if n < 0 {
		b.notify()
	}
	if -n > SmallBytes {
		b.garbage += -n
	}
}

func (b *Budget) notify() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Add counts memory that is in use already, beyond the limit if need be.
func (r *Reservation) Add(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(n, 0)
}

// Release releases n bytes, large of them of class Large.
func (r *Reservation) Release(n, large int64) {
	if n == 0 {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(-n, -large)
}

// Evicted reports whether the holder was told to release its memory.
func (r *Reservation) Evicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.evicted
}

// Result is the outcome of Grow.
type Result uint8

// Outcomes of Grow.
const (
	// Granted means that the memory is reserved.
	Granted Result = iota
	// Evicting means that other holders are releasing memory.
	Evicting
	// Short means that no holder can be evicted now.
	Short
	// Evicted means that the reservation itself was evicted.
	Evicted
)

// Grow reserves n more bytes. If they do not fit, it evicts the holder that has made no
// progress for the longest time, if that is StalledAfter or more. A response that still does not
// fit evicts the largest response, which may be itself, so that an endless one lets the others
// complete. The channel is closed when memory is released; it is nil unless the result is
// Evicting or Short. If more than SmallBytes are granted, Grow may run the garbage collector first.
func (r *Reservation) Grow(now time.Time, class Class, n int64) (Result, <-chan struct{}) {
	result, released := r.grow(now, class, n)
	if result == Granted && n > SmallBytes {
		r.budget.collectGarbage()
	}
	return result, released
}

func (r *Reservation) grow(now time.Time, class Class, n int64) (Result, <-chan struct{}) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted {
		return Evicted, nil
	}
	if b.fits(class, n) {
		large := int64(0)
		if class == Large {
			large = n
		}
		r.add(n, large)
		return Granted, nil
	}
	b.evictStalled(now, r, n)
	if class == Response && !b.awaitsRelease(now) {
		b.beginRound()
		largest := b.largestResponse(r, n)
		b.evict(now, largest)
		if largest == r {
			return Evicted, nil
		}
		largest.holder.Evict()
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	if b.awaitsRelease(now) {
		return Evicting, b.released
	}
	return Short, b.released
}

// collectGarbage runs the garbage collector if the reserved memory and the garbage exceed the
// budget by more than garbageShare allows. The runtime alone lets garbage grow to the size of the
// live heap, which with a full budget is all memory of the smallest host.
func (b *Budget) collectGarbage() {
	b.collection.Lock()
	defer b.collection.Unlock()
	if b.takeExcessGarbage() {
		b.Collect()
	}
}

// takeExcessGarbage reports whether there is more garbage than allowed, and if so counts it as collected.
func (b *Budget) takeExcessGarbage() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+b.garbage <= b.total+b.total/garbageShare {
		return false
	}
	b.garbage = 0
	return true
}

// requestShare is the part of the budget, in eighths, that requests may use. The rest is for
// the responses that they wait for.
const requestShare = 7

// fits reports whether n more bytes of a class may be reserved.
func (b *Budget) fits(class Class, n int64) bool {
	switch class {
	case Response:
		return b.used+n <= b.total
	case Large:
		return b.large+n <= b.requestLimit && b.used+n <= b.total/8*requestShare
	default:
		return b.used+n <= b.total/8*requestShare
	}
}

// evictStalled evicts the holders that have made no progress for the longest time until n bytes
// are being released, or none is left.
func (b *Budget) evictStalled(now time.Time, requester *Reservation, n int64) {
	if b.awaitsRelease(now) && b.evicting >= n || now.Sub(b.scanned) < scanInterval {
		return
	}
	type stalled struct {
		reservation *Reservation
		since       time.Time
	}
	var found []stalled
	before := now.Add(-StalledAfter)
	for r := range b.reservations {
		if r == requester || r.bytes == 0 || r.evicted {
			continue
		}
		if since, waits := r.holder.StalledSince(); waits && !since.After(before) {
			found = append(found, stalled{r, since})
		}
	}
	b.scanned = now
	if !b.awaitsRelease(now) {
		b.beginRound()
	}
	slices.SortFunc(found, func(x, y stalled) int { return x.since.Compare(y.since) })
	for _, s := range found {
		if b.evicting >= n {
			return
		}
		b.evict(now, s.reservation)
		s.reservation.holder.Evict()
	}
}

// beginRound makes what earlier evicted reservations hold no longer count as about to be released.
func (b *Budget) beginRound() {
	b.evicting = 0
	b.evictionRound++
}

// evict marks a reservation as evicted. The caller holds the lock.
func (b *Budget) evict(now time.Time, r *Reservation) {
	r.evicted, r.evictionRound = true, b.evictionRound
	b.evictions++
	b.evicting += r.bytes
	b.evictedAt = now
}

// awaitsRelease reports whether holders that were evicted a short time ago hold memory.
func (b *Budget) awaitsRelease(now time.Time) bool {
	return b.evicting > 0 && now.Sub(b.evictedAt) < releaseTime
}

// largestResponse returns the reservation that would be the largest response if requester had n
// more bytes.
func (b *Budget) largestResponse(requester *Reservation, n int64) *Reservation {
	largest, size := requester, requester.bytes+n
	for r := range b.reservations {
		if r.response && !r.evicted && r.bytes > size {
			largest, size = r, r.bytes
		}
	}
	return largest
}

// HalfUsed reports whether half of the budget or more is reserved.
func (b *Budget) HalfUsed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used >= b.total/2
}

// Stats are the figures of a budget.
type Stats struct {
	// UsedBytes are the bytes reserved, and Evicted counts the holders evicted.
	UsedBytes int64
	Evicted   uint64
}

// Stats returns the figures of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{UsedBytes: b.used, Evicted: b.evictions}
}
