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
	// lookupDelay leaves time for the entry to arrive from another daemon: a relay
	// collects changes for 0.1 s before it passes them on. It is a small part of the
	// two seconds within which a change must be in force. As the pause between two
	// reads it keeps the 320 daemons of a failure domain that start together below
	// 2,000 reads a second; reads beyond the platform's rate fail and are made again.
	lookupDelay = 250 * time.Millisecond
	// lookupTimeout bounds one read. The platform answers in milliseconds, and other
	// daemons wait for their turn.
	lookupTimeout = 500 * time.Millisecond
	// lookupRetry is the least time between two reads for the same host, whose daemon
	// may not have entered itself yet. The id in a certificate is a statement of the
	// peer alone, so that the limit is not by id.
	lookupRetry = time.Second
	// lookupReads is how often an entry is read for one request. The reads cover the
	// two seconds within which a change must be in force; a refused daemon may not
	// call again within them.
	lookupReads = 3
	// maxLookups bounds the hosts that wait for a read. Others ask again with the
	// next handshake.
	maxLookups = 64
)

// Lookup reads the entries of daemons that connect with a key that is not held
// here. A daemon that holds only the entry of a former start refuses all
// connections with the present one, so that no other daemon can bring it the new
// entry. Store, Held, Apply, Found and Log are required. It is safe for concurrent
// use.
type Lookup struct {
	Store platform.Store
	// Held returns the id of the daemon that the held entry of a host names.
	Held func(host string) string
	// Apply takes an entry that was read, unless a newer one is held.
	Apply func(o platform.Object)
	// Found is called for a daemon that can be connected with now.
	Found func(m platform.Member)
	Log   zerolog.Logger

	mu sync.Mutex
	// waiting holds requests in the order in which they are served, one for a host.
	waiting []request
	// readAt is when the entry of a host was last read.
	readAt map[string]time.Time
	wake   chan struct{}
	reads  atomic.Uint64
}

// request is a daemon whose entry is asked for.
type request struct {
	id string
	// reads is how often the entry was read.
	reads int
}

func (r request) host() string { return HostOf(r.id) }

// Provision prepares the lookup.
func (l *Lookup) Provision() {
	l.wake = make(chan struct{}, 1)
	l.readAt = map[string]time.Time{}
}

// Reads is how many entries were asked for at the platform.
func (l *Lookup) Reads() uint64 { return l.reads.Load() }

// Request asks for the entry of the daemon with the id, in place of an earlier request
// for the same host. It does not block.
func (l *Lookup) Request(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.waiting, func(r request) bool { return r.host() == HostOf(id) })
	switch {
	case i >= 0 && l.waiting[i].id != id:
		l.waiting[i] = request{id: id}
	case i >= 0 || len(l.waiting) >= maxLookups:
		return
	default:
		l.waiting = append(l.waiting, request{id: id})
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run reads the entries asked for until ctx ends.
func (l *Lookup) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for l.pending() {
			if !sleep.For(ctx, lookupDelay) {
				return
			}
			if id, ok := l.next(); ok {
				l.read(ctx, id)
			}
		}
	}
}

func (l *Lookup) pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// next returns the first id whose entry is not held by now and may be read. Its request
// goes to the end, so that daemons without an entry do not hold up the others.
func (l *Lookup) next() (id string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, at := range l.readAt {
		if time.Since(at) >= lookupRetry {
			delete(l.readAt, host)
		}
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(r request) bool { return r.reads >= lookupReads || l.Held(r.host()) == r.id })
	for i, r := range l.waiting {
		if _, tooSoon := l.readAt[r.host()]; tooSoon {
			continue
		}
		r.reads++
		l.readAt[r.host()] = time.Now()
		l.waiting = append(slices.Delete(l.waiting, i, i+1), r)
		return r.id, true
	}
	return "", false
}

// served ends the request for the daemon with the id.
func (l *Lookup) served(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(r request) bool { return r.id == id })
}

// read reads the entry of the host of a daemon and applies it, also when the host
// has started once more.
func (l *Lookup) read(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	host := HostOf(id)
	l.reads.Add(1)
	o, err := l.Store.Get(ctx, Key(host))
	var m platform.Member
	if err == nil {
		err = errors.Wrap(json.Unmarshal(o.Value, &m), "decode the entry")
	}
	if err != nil {
		l.Log.Warn().Str("peer", id).Err(err).Msg("registration: entry of a refused daemon not read")
		return
	}
	before := l.Held(host)
	l.Apply(o)
	held := l.Held(host)
	l.Log.Info().Str("peer", id).Str("entry", m.ID).Str("held", held).Uint64("version", o.Version).
		Msg("registration: entry of a refused daemon read")
	if held == m.ID && held != before {
		l.served(id)
		l.Found(m)
	}
}
