package registration

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/platform"
)

const (
	// lookupDelay leaves time for the entry to arrive from another daemon, as it
	// does within about 0.2 s of every start in a fleet that is in order. It is a
	// small part of the two seconds within which a change must be in force.
	lookupDelay = 250 * time.Millisecond
	// lookupBatch bounds the reads after one lookupDelay. With it 320 daemons of a
	// failure domain that start together stay below 2,000 reads a second.
	lookupBatch = 1
	// lookupRetry is the least time between two reads for the same start of a
	// daemon, which may not have entered itself yet.
	lookupRetry = time.Second
	// maxLookups bounds the daemons that wait to be looked up. Others ask again
	// with their next handshake.
	maxLookups = 64
)

// Lookup reads the entries of daemons that connect with a key that is not held
// here. A daemon that holds only the entry of a former start refuses all
// connections with the present one, so that no other daemon can bring it the new
// entry. Store, Held, Apply and Log are required. It is safe for concurrent use.
type Lookup struct {
	Store platform.Store
	// Held returns the id of the daemon that the held entry of a host names.
	Held func(host string) string
	// Apply takes an entry that was read.
	Apply func(o platform.Object)
	// Found is called after Apply for a daemon that can be connected with now.
	Found func(m platform.Member)
	Log   zerolog.Logger

	mu sync.Mutex
	// waiting holds ids in the order in which they were asked for.
	waiting []string
	// readAt is when the entry for an id was last read without success.
	readAt map[string]time.Time
	wake   chan struct{}
}

// Provision prepares the lookup.
func (l *Lookup) Provision() {
	l.wake = make(chan struct{}, 1)
	l.readAt = map[string]time.Time{}
}

// Request asks for the entry of the daemon with the id. It does not block.
func (l *Lookup) Request(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= maxLookups || time.Since(l.readAt[id]) < lookupRetry {
		return
	}
	for _, w := range l.waiting {
		if w == id {
			return
		}
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
			for range lookupBatch {
				if id, ok := l.next(); ok {
					l.read(ctx, id)
				}
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
	for len(l.waiting) > 0 {
		id, l.waiting = l.waiting[0], l.waiting[1:]
		if l.Held(HostOf(id)) != id {
			return id, true
		}
	}
	return "", false
}

// read reads the entry of the host of a daemon and applies it.
func (l *Lookup) read(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := l.Store.Get(ctx, Key(HostOf(id)))
	var m platform.Member
	if err == nil {
		err = errors.Wrap(json.Unmarshal(o.Value, &m), "decode the entry")
	}
	if err == nil && m.ID != id {
		err = errors.Newf("the entry is that of %s", m.ID)
	}
	if err != nil {
		l.postpone(id)
		l.Log.Warn().Str("peer", id).Err(err).Msg("registration: entry of a refused daemon not found")
		return
	}
	l.Apply(o)
	l.Log.Info().Str("peer", id).Uint64("version", o.Version).Msg("registration: entry of a refused daemon read")
	if l.Found != nil {
		l.Found(m)
	}
}

// postpone keeps the id from being read again for lookupRetry.
func (l *Lookup) postpone(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, at := range l.readAt {
		if time.Since(at) >= lookupRetry {
			delete(l.readAt, other)
		}
	}
	l.readAt[id] = time.Now()
}
