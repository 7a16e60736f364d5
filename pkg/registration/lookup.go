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
	// waiting holds ids in the order in which they were asked for, one for a host.
	waiting []string
	// readAt is when the entry of a host was last read.
	readAt map[string]time.Time
	wake   chan struct{}
	reads  atomic.Uint64
}

// Provision prepares the lookup.
func (l *Lookup) Provision() {
	l.wake = make(chan struct{}, 1)
	l.readAt = map[string]time.Time{}
}

// Reads is how many entries were asked for at the platform.
func (l *Lookup) Reads() uint64 { return l.reads.Load() }

// Request asks for the entry of the daemon with the id. It does not block.
func (l *Lookup) Request(id string) {
	host := HostOf(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	waits := slices.ContainsFunc(l.waiting, func(other string) bool { return HostOf(other) == host })
	if waits || len(l.waiting) >= maxLookups || time.Since(l.readAt[host]) < lookupRetry {
		return
	}
	l.waiting = append(l.waiting, id)
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

// next returns the first id whose entry is not held by now.
func (l *Lookup) next() (id string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, at := range l.readAt {
		if time.Since(at) >= lookupRetry {
			delete(l.readAt, host)
		}
	}
	for len(l.waiting) > 0 {
		id, l.waiting = l.waiting[0], l.waiting[1:]
		if host := HostOf(id); l.Held(host) != id {
			l.readAt[host] = time.Now()
			return id, true
		}
	}
	return "", false
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
		l.Found(m)
	}
}
