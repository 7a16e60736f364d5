package registration

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/platform"
)

const (
	// lookupDelay is the delay before each read. It gives the entry time to arrive
	// from another daemon, because a relay collects changes for 0.1 s before it
	// forwards them. It is short compared to the two seconds within which a change
	// must take effect. If the 320 daemons of a failure domain start together, it
	// limits them to fewer than 2,000 reads per second; reads above the platform's
	// rate limit fail and are retried.
	lookupDelay = 250 * time.Millisecond
	// lookupTimeout bounds one read. The platform answers in milliseconds, and other
	// requests wait in the queue.
	lookupTimeout = 500 * time.Millisecond
	// lookupRetryInterval is the minimum time between two reads for the same host,
	// whose daemon may not have written its entry yet. The limit is per host and not
	// per id, because a peer can put any id into its certificate.
	lookupRetryInterval = time.Second
	// maxReadsPerRequest is the maximum number of reads for one request. The reads
	// span the two seconds within which a change must take effect, because a refused
	// daemon might not connect again in that time.
	maxReadsPerRequest = 3
	// minListedRequests is the number of waiting requests from which on all entries are read
	// at once. After a loss of power all keys are new, and single reads, four a second, would
	// take longer than the fleet may be away.
	minListedRequests = 3
	// listTimeout bounds one list of all entries.
	listTimeout = time.Second
	// maxFoundByList limits the calls of OnFound after a list: each may open a connection.
	maxFoundByList = 2
	// maxQueuedRequests bounds the hosts that wait for a read. Further hosts are
	// requested again at their next handshake.
	maxQueuedRequests = 64
)

// Lookup reads the entries of daemons that connect with a key that is unknown to
// this daemon. A daemon that knows only the entry of a previous process on a host
// refuses all connections with the current process. If all its entries are
// outdated, no other daemon can send it the new ones. Store, LocalID, Apply,
// OnFound and Log are required. Lookup is safe for concurrent use.
type Lookup struct {
	Store platform.Store
	// LocalID returns the daemon id in the local copy of a host's entry.
	LocalID func(host string) string
	// Apply stores an entry locally, unless the local copy is newer.
	Apply func(o platform.Object)
	// ApplyList is the same for a list of all entries at a revision.
	ApplyList func(objects []platform.Object, revision uint64)
	// OnFound is called after the entry of a daemon was stored, so that connections
	// with the daemon are now possible.
	OnFound func(m platform.Member)
	Log     zerolog.Logger

	mu sync.Mutex
	// queue holds the requests in processing order, at most one per host.
	queue []request
	// lastReadAt maps a host to the time when its entry was last read.
	lastReadAt map[string]time.Time
	// lastListAt is when all entries were last read.
	lastListAt time.Time
	wake       chan struct{}
	reads      atomic.Uint64
}

// request is a queued read of the entry of the daemon with the id.
type request struct {
	id string
	// reads counts the reads of the entry, by itself or by a list of all.
	reads int
}

func (r request) host() string { return HostOf(r.id) }

// Provision initializes the lookup. Call it before the other methods.
func (l *Lookup) Provision() {
	l.wake = make(chan struct{}, 1)
	l.lastReadAt = map[string]time.Time{}
}

// ReadCount returns the number of reads of entries from the platform.
func (l *Lookup) ReadCount() uint64 { return l.reads.Load() }

// Request queues a read of the entry of the daemon with the id. It replaces an
// earlier request for the same host and does not block.
func (l *Lookup) Request(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.queue, func(r request) bool { return r.host() == HostOf(id) })
	switch {
	case i >= 0 && l.queue[i].id != id:
		l.queue[i] = request{id: id}
	case i >= 0 || len(l.queue) >= maxQueuedRequests:
		return
	default:
		l.queue = append(l.queue, request{id: id})
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run reads the requested entries until ctx ends.
func (l *Lookup) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for l.hasRequests() {
			if !sleep.For(ctx, lookupDelay) {
				return
			}
			if l.listDue() {
				l.list(ctx)
			} else if id, ok := l.nextDue(); ok {
				l.read(ctx, id)
			}
		}
	}
}

func (l *Lookup) hasRequests() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0
}

// nextDue returns the id of a request whose entry is still unknown and may be read now: the
// one with the fewest reads, so that daemons without an entry do not delay the others.
func (l *Lookup) nextDue() (id string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, readAt := range l.lastReadAt {
		if time.Since(readAt) >= lookupRetryInterval {
			delete(l.lastReadAt, host)
		}
	}
	l.queue = slices.DeleteFunc(l.queue, func(r request) bool { return r.reads >= maxReadsPerRequest || l.LocalID(r.host()) == r.id })
	next := -1
	for i, r := range l.queue {
		if _, tooSoon := l.lastReadAt[r.host()]; !tooSoon && (next < 0 || r.reads < l.queue[next].reads) {
			next = i
		}
	}
	if next < 0 {
		return "", false
	}
	l.recordRead(&l.queue[next])
	return l.queue[next].id, true
}

// recordRead records a read of a request's entry. The caller holds the lock.
func (l *Lookup) recordRead(r *request) {
	r.reads++
	l.lastReadAt[r.host()] = time.Now()
}

// listDue reports whether all entries are to be read by one call, and then records it.
func (l *Lookup) listDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = slices.DeleteFunc(l.queue, func(r request) bool { return l.LocalID(r.host()) == r.id })
	if l.ApplyList == nil || len(l.queue) < minListedRequests || time.Since(l.lastListAt) < lookupRetryInterval {
		return false
	}
	l.lastListAt = time.Now()
	return true
}

// list reads and applies all entries, and calls OnFound for some of the requested daemons
// that it has found. The others are found by their handshakes.
func (l *Lookup) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l.mu.Lock()
	requested := slices.Clone(l.queue)
	l.mu.Unlock()
	l.reads.Add(1)
	objects, revision, err := l.Store.List(ctx, platform.DaemonsPrefix)
	if err != nil {
		l.Log.Warn().Err(err).Msg("registration: cannot list the entries of refused daemons")
		return
	}
	l.ApplyList(objects, revision)
	l.mu.Lock()
	var found []string
	l.queue = slices.DeleteFunc(l.queue, func(r request) bool {
		known := l.LocalID(r.host()) == r.id
		if known {
			found = append(found, Key(r.host()))
		}
		return known
	})
	for i, r := range l.queue {
		if slices.Contains(requested, r) { // not one that arrived meanwhile
			l.recordRead(&l.queue[i])
		}
	}
	l.mu.Unlock()
	l.Log.Info().Int("requested", len(requested)).Int("found", len(found)).Uint64("version", revision).
		Msg("registration: entries of refused daemons listed")
	for _, o := range objects {
		var m platform.Member
		if i := slices.Index(found[:min(len(found), maxFoundByList)], o.Key); i >= 0 && json.Unmarshal(o.Value, &m) == nil {
			l.OnFound(m)
		}
	}
}

// removeRequest removes the request for the daemon with the id.
func (l *Lookup) removeRequest(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = slices.DeleteFunc(l.queue, func(r request) bool { return r.id == id })
}

// read reads the entry of a daemon's host and applies it, even if it belongs to a
// later process on the host.
func (l *Lookup) read(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	host := HostOf(id)
	l.reads.Add(1)
	o, err := l.Store.Get(ctx, Key(host))
	var m platform.Member
	if err == nil {
		err = errors.Wrap(json.Unmarshal(o.Value, &m), "decode entry")
	}
	if err != nil {
		l.Log.Warn().Str("peer", id).Err(err).Msg("registration: cannot read the entry of a refused daemon")
		return
	}
	before := l.LocalID(host)
	l.Apply(o)
	after := l.LocalID(host)
	l.Log.Info().Str("peer", id).Str("entry", m.ID).Str("held", after).Uint64("version", o.Version).
		Msg("registration: entry of a refused daemon read")
	if after == m.ID && after != before {
		l.removeRequest(id)
		l.OnFound(m)
	}
}
