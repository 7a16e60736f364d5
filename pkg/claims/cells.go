package claims

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
	"shallotglade/pkg/verdict"
)

// Pauses between platform calls after one that failed.
const (
	// minPause and maxPause bound the pause while a claim waits.
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
	// maxRestPause bounds the pause of the background worker. All outcomes
	// that wait share it, so that a daemon makes one call in this time during
	// an outage, however many outcomes wait.
	maxRestPause = 5 * time.Second
)

// layout says which object holds a key and how its cell starts.
type layout struct {
	path         func(service string, key digest) string
	assumeAbsent bool
	// cached is how many entries of idle cells are kept in memory.
	cached int
}

// cells drives the cells of one daemon; it is both Ledger implementations.
type cells struct {
	config Config
	layout layout
	// rest is the context of all platform calls, which are shared by attempts
	// and so outlive the context of each of them.
	rest     context.Context
	stopRest context.CancelFunc

	mu       sync.Mutex
	cells    map[string]*driven
	attempts map[AttemptID]*held
	// entries counts the cached entries of all cells, and cellWeight for each cell.
	entries int
	// records counts the attempts that ran and whose outcome is not stored yet.
	records int
	// stuck are the cells whose last call failed and that no claim waits for.
	stuck   []*driven
	resting bool
	closed  bool
	// drained is closed when the last outcome is stored; nil unless Close waits.
	drained chan struct{}
}

// driven is a cell with what its driver needs.
type driven struct {
	path string
	cell *cell
	// attempts counts the attempts that are not settled.
	attempts int
	// pumped is set while a goroutine makes the calls of the cell.
	pumped bool
	// stuck is set while the cell is in cells.stuck.
	stuck bool
	// counted is this cell's part of cells.entries.
	counted int
	// wake ends the pause between two calls.
	wake chan struct{}
}

// held is an attempt that takes up room in the ledger.
type held struct {
	driven *driven
	// won is set from the answer Won until Settle.
	won bool
}

// NewObjects returns the ledger with one platform object per key.
func NewObjects(config Config) (Ledger, error) {
	config, err := config.withDefaults(DefaultMaxResponseBytes)
	if err != nil {
		return nil, err
	}
	return newCells(config, layout{assumeAbsent: true, path: func(service string, key digest) string {
		return "claims/" + service + "/" + hex.EncodeToString(key[:])
	}}), nil
}

// NewBuckets returns the ledger that hashes keys to Config.Buckets objects per
// service.
func NewBuckets(config Config) (Ledger, error) {
	config, err := config.withDefaults(DefaultMaxBucketResponseBytes)
	if err != nil {
		return nil, err
	}
	return newCells(config, layout{cached: cachedEntries, path: func(service string, key digest) string {
		return fmt.Sprintf("claims/%s/%04x", service, key.bucket(config.Buckets))
	}}), nil
}

func newCells(config Config, l layout) *cells {
	rest, stop := context.WithCancel(context.Background())
	return &cells{
		config: config, layout: l, rest: rest, stopRest: stop,
		cells: map[string]*driven{}, attempts: map[AttemptID]*held{},
	}
}

// answer is what a waiting caller receives from its op.
type answer struct {
	result Result
	err    error
}

// Claim implements Ledger.
func (l *cells) Claim(ctx context.Context, key Key, attempt Attempt) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.ClaimTimeout)
	defer cancel()
	answered := make(chan answer, 1)
	o := &op{
		key: key.digest(), attempt: attempt.ID, fingerprint: attempt.Fingerprint,
		finished: func(r Result, err error) {
			if err == nil && r.State == Won {
				l.attempts[attempt.ID].won = true
			} else {
				l.settled(attempt.ID)
			}
			answered <- answer{r, err}
		},
	}
	d, err := l.begin(key, o)
	if err != nil {
		return Result{}, err
	}
	select {
	case a := <-answered:
		return a.result, a.err
	case <-ctx.Done():
	}
	if l.abandon(d, o) {
		return Result{}, because(ErrUnavailable, ctx.Err())
	}
	a := <-answered
	return a.result, a.err
}

// begin reserves room for the attempt and queues its claim.
func (l *cells) begin(key Key, o *op) (*driven, error) {
	if key.Service == "" || key.Key == "" {
		return nil, errors.Wrap(ErrInvalid, "no service or no key")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch _, used := l.attempts[o.attempt]; {
	case l.closed:
		return nil, ErrClosed
	case used:
		return nil, errors.Wrap(ErrInvalid, "attempt id is in use")
	case len(l.attempts) >= l.config.MaxAttempts:
		return nil, ErrTooManyAttempts
	}
	path := l.layout.path(key.Service, o.key)
	d := l.cells[path]
	if d == nil {
		d = &driven{path: path, cell: newCell(l.config.limits(), l.layout.assumeAbsent), wake: make(chan struct{}, 1)}
		l.cells[path] = d
	}
	l.attempts[o.attempt] = &held{driven: d}
	d.attempts++
	l.queue(d, o)
	return d, nil
}

// queue adds an op to its cell and makes sure that the cell is driven. The
// caller holds the lock.
func (l *cells) queue(d *driven, o *op) {
	d.cell.add(o)
	select {
	case d.wake <- struct{}{}:
	default:
	}
	if !d.pumped {
		d.pumped = true
		go l.pump(d)
	}
}

func (l *cells) abandon(d *driven, o *op) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !d.cell.abandon(o, func(Result, error) { l.settled(o.attempt) }) {
		return false
	}
	if !d.pumped {
		d.pumped = true
		go l.pump(d)
	}
	return true
}

// settled forgets an attempt. The caller holds the lock.
func (l *cells) settled(id AttemptID) {
	if h := l.attempts[id]; h != nil {
		delete(l.attempts, id)
		h.driven.attempts--
		l.evict(h.driven)
	}
	if l.drained != nil && len(l.attempts) == 0 {
		close(l.drained)
		l.drained = nil
	}
}

// Settle implements Ledger.
func (l *cells) Settle(ctx context.Context, key Key, attempt Attempt, outcome Outcome) error {
	answered := make(chan answer, 1)
	o := &op{
		key: key.digest(), attempt: attempt.ID, fingerprint: attempt.Fingerprint,
		goal: goalRelease,
		finished: func(r Result, err error) {
			if outcome.Verdict == verdict.Ran {
				l.records--
			}
			l.settled(attempt.ID)
			answered <- answer{r, err}
		},
	}
	if outcome.Verdict == verdict.Ran {
		o.goal = goalRecord
		if outcome.Response.size() <= l.config.MaxResponseBytes {
			o.response = outcome.Response
		}
	}
	if err := l.beginSettle(o, outcome.Verdict); err != nil || outcome.Verdict == verdict.MayHaveRun {
		return err
	}
	if outcome.Verdict == verdict.Ran {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.ClaimTimeout)
	defer cancel()
	select {
	case a := <-answered:
		return a.err
	case <-ctx.Done():
		return ErrDeferred
	}
}

func (l *cells) beginSettle(o *op, v verdict.Verdict) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.attempts[o.attempt]
	if h == nil || !h.won {
		return errors.Wrap(ErrInvalid, "attempt has not won or is settled")
	}
	h.won = false
	switch {
	case v == verdict.MayHaveRun:
		l.settled(o.attempt)
		return nil
	case v == verdict.Ran && l.records >= l.config.MaxAttempts/recordShare:
		l.settled(o.attempt)
		return ErrNotRecorded
	case v == verdict.Ran:
		l.records++
	}
	l.queue(h.driven, o)
	return nil
}

// Close implements Ledger.
func (l *cells) Close(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	if len(l.attempts) > 0 && l.drained == nil {
		l.drained = make(chan struct{})
	}
	drained := l.drained
	l.mu.Unlock()
	defer l.stopRest()
	if drained == nil {
		return nil
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrDeferred, "closing")
	}
}

// pump makes the calls of a cell until it is idle. When a call has failed and
// no claim waits, the cell goes to the background worker.
func (l *cells) pump(d *driven) {
	pause := minPause
	for {
		ok, more := l.step(d)
		switch {
		case !more:
			return
		case ok:
			pause = minPause
		case l.rest.Err() != nil || l.retire(d):
			return
		default:
			sleep(l.rest, pause, d.wake)
			pause = min(2*pause, maxPause)
		}
	}
}

// step makes one call of the cell. ok is false if it failed; more is false if
// the cell has nothing to do, which ends the pumping.
func (l *cells) step(d *driven) (ok, more bool) {
	l.mu.Lock()
	k, more := d.cell.next(l.config.Now())
	if !more {
		d.pumped = false
		l.evict(d)
		l.mu.Unlock()
		return true, false
	}
	l.mu.Unlock()
	r := l.perform(d.path, k)
	l.mu.Lock()
	defer l.mu.Unlock()
	return d.cell.receive(r), true
}

// perform makes the call. It encodes and decodes outside the lock, because a
// full bucket takes milliseconds.
func (l *cells) perform(path string, k call) reply {
	ctx, cancel := context.WithTimeout(l.rest, l.config.CallTimeout)
	defer cancel()
	if k.kind == callGet {
		o, err := l.config.Store.Get(ctx, path)
		if errors.Is(err, platform.ErrNotFound) {
			return reply{}
		}
		if err != nil {
			return reply{err: err}
		}
		s, err := decode(o.Value)
		return reply{version: o.Version, entries: s.Entries, err: err}
	}
	value, err := encode(k.entries, l.config.Now())
	if err != nil {
		return reply{err: because(platform.ErrUnavailable, err)} // nothing was sent
	}
	var o platform.Object
	if k.kind == callCreate {
		o, err = l.config.Store.Create(ctx, path, value)
	} else {
		o, err = l.config.Store.Update(ctx, path, k.version, value)
	}
	return reply{version: o.Version, err: err}
}

// retire hands a cell without waiting claims to the background worker.
func (l *cells) retire(d *driven) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.cell.hasClaims() || d.cell.idle() {
		return false
	}
	d.pumped = false
	if !d.stuck {
		d.stuck = true
		l.stuck = append(l.stuck, d)
	}
	if !l.resting {
		l.resting = true
		go l.retry()
	}
	return true
}

// retry drives the stuck cells one at a time until none is left.
func (l *cells) retry() {
	pause := minPause
	for l.rest.Err() == nil {
		d, left := l.takeStuck()
		if !left {
			return
		}
		if d == nil {
			continue
		}
		ok, more := true, true
		for ok && more {
			ok, more = l.step(d)
		}
		if ok {
			pause = minPause
			continue
		}
		if !l.retire(d) {
			go l.pump(d) // a claim has arrived meanwhile
		}
		// Spread over time, because an outage fails the calls of all daemons at once.
		sleep(l.rest, pause/2+rand.N(pause/2), nil)
		pause = min(2*pause, maxRestPause)
	}
}

// takeStuck takes the oldest stuck cell for pumping. The cell is nil if
// another goroutine pumps it; left is false if there was none.
func (l *cells) takeStuck() (d *driven, left bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.stuck) == 0 {
		l.resting = false
		return nil, false
	}
	d = l.stuck[0]
	l.stuck = l.stuck[1:]
	d.stuck = false
	if d.pumped {
		return nil, true
	}
	d.pumped = true
	return d, true
}

// evict counts the entries of a cell that was just driven, and drops idle cells
// beyond the cache's limit. The caller holds the lock.
func (l *cells) evict(d *driven) {
	size := cellWeight + len(d.cell.entries)
	l.entries += size - d.counted
	d.counted = size
	if l.layout.cached == 0 || !d.cell.known {
		l.drop(d)
	}
	if l.entries <= l.layout.cached {
		return
	}
	for _, other := range l.cells {
		l.drop(other)
		if l.entries <= l.layout.cached {
			return
		}
	}
}

func (l *cells) drop(d *driven) {
	if d.attempts == 0 && !d.pumped && !d.stuck && d.cell.idle() {
		delete(l.cells, d.path)
		l.entries -= d.counted
		d.counted = 0
	}
}

// sleep waits for the duration, a wake-up or the end of the context.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
