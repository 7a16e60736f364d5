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

// Backoff between platform calls after a failed call.
const (
	// minBackoff and maxBackoff bound the backoff while a claim waits.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// maxRetryBackoff is the maximum backoff of the background worker. It applies
	// to all waiting outcomes together, so that during an outage a daemon makes
	// one call in this time regardless of their number.
	maxRetryBackoff = 5 * time.Second
)

// layout maps keys to platform objects and sets the initial state of an object.
type layout struct {
	path         func(service string, key digest) string
	assumeAbsent bool
	// maxCachedEntries is the maximum number of entries of idle objects in memory.
	maxCachedEntries int
}

// ledger implements Ledger for both layouts. It makes the calls of all objects
// of one daemon.
type ledger struct {
	config Config
	layout layout
	// callsCtx is the context of all platform calls. Attempts share calls, so a
	// call must not end with the context of one attempt.
	callsCtx    context.Context
	cancelCalls context.CancelFunc

	mu       sync.Mutex
	drivers  map[string]*objectDriver
	attempts map[AttemptID]*ledgerAttempt
	// cachedEntries is the number of entries of all objects, plus objectEntryCost
	// for each object.
	cachedEntries int
	// unstoredOutcomes counts the attempts that ran and whose outcome is not
	// stored yet.
	unstoredOutcomes int
	// retryQueue holds the objects whose last call failed and that have no
	// pending claims.
	retryQueue []*objectDriver
	retrying   bool
	closed     bool
	// drained is closed when the last outcome is stored; nil unless Close waits.
	drained chan struct{}
}

// objectDriver makes the platform calls of one claimObject.
type objectDriver struct {
	path   string
	object *claimObject
	// attempts counts the attempts in progress.
	attempts int
	// driving is set while a goroutine makes the calls of the object.
	driving bool
	// awaitsRetry is set while the driver is in ledger.retryQueue.
	awaitsRetry bool
	// countedEntries is the share of this object in ledger.cachedEntries.
	countedEntries int
	// wake ends the backoff between two calls.
	wake chan struct{}
}

// ledgerAttempt is an attempt that counts towards Config.MaxAttempts.
type ledgerAttempt struct {
	driver *objectDriver
	// won is set from the result Won until RecordOutcome.
	won bool
}

// NewObjects returns a ledger with one platform object per key.
func NewObjects(config Config) (Ledger, error) {
	config, err := config.withDefaults(DefaultMaxResponseBytes)
	if err != nil {
		return nil, err
	}
	return newLedger(config, layout{assumeAbsent: true, path: func(service string, key digest) string {
		return "claims/" + service + "/" + hex.EncodeToString(key[:])
	}}), nil
}

// NewBuckets returns a ledger that hashes keys to Config.Buckets objects per
// service.
func NewBuckets(config Config) (Ledger, error) {
	config, err := config.withDefaults(DefaultMaxBucketResponseBytes)
	if err != nil {
		return nil, err
	}
	return newLedger(config, layout{maxCachedEntries: defaultMaxCachedEntries, path: func(service string, key digest) string {
		return fmt.Sprintf("claims/%s/%04x", service, key.bucket(config.Buckets))
	}}), nil
}

func newLedger(config Config, l layout) *ledger {
	callsCtx, cancel := context.WithCancel(context.Background())
	return &ledger{
		config: config, layout: l, callsCtx: callsCtx, cancelCalls: cancel,
		drivers: map[string]*objectDriver{}, attempts: map[AttemptID]*ledgerAttempt{},
	}
}

// operationResult is the result of an operation for the goroutine that waits for it.
type operationResult struct {
	result Result
	err    error
}

// Claim implements Ledger.
func (l *ledger) Claim(ctx context.Context, key Key, attempt Attempt) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.ClaimTimeout)
	defer cancel()
	results := make(chan operationResult, 1)
	o := &operation{
		key: key.digest(), attempt: attempt.ID, fingerprint: attempt.Fingerprint,
		onDone: func(r Result, err error) {
			if err == nil && r.State == Won {
				l.attempts[attempt.ID].won = true
			} else {
				l.removeAttempt(attempt.ID)
			}
			results <- operationResult{r, err}
		},
	}
	d, err := l.startClaim(key, o)
	if err != nil {
		return Result{}, err
	}
	select {
	case a := <-results:
		return a.result, a.err
	case <-ctx.Done():
	}
	if l.abandon(d, o) {
		return Result{}, withCause(ErrUnavailable, ctx.Err())
	}
	a := <-results
	return a.result, a.err
}

// startClaim registers the attempt and queues its claim.
func (l *ledger) startClaim(key Key, o *operation) (*objectDriver, error) {
	if key.Service == "" || key.Key == "" {
		return nil, errors.Wrap(ErrInvalid, "service or key is empty")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch _, used := l.attempts[o.attempt]; {
	case l.closed:
		return nil, ErrClosed
	case used:
		return nil, errors.Wrap(ErrInvalid, "attempt id is already in use")
	case len(l.attempts) >= l.config.MaxAttempts:
		return nil, ErrTooManyAttempts
	}
	path := l.layout.path(key.Service, o.key)
	d := l.drivers[path]
	if d == nil {
		d = &objectDriver{path: path, object: newClaimObject(l.config.limits(), l.layout.assumeAbsent), wake: make(chan struct{}, 1)}
		l.drivers[path] = d
	}
	l.attempts[o.attempt] = &ledgerAttempt{driver: d}
	d.attempts++
	l.enqueue(d, o)
	return d, nil
}

// enqueue adds an operation to its object and starts the driver if it is not
// running. It requires l.mu.
func (l *ledger) enqueue(d *objectDriver, o *operation) {
	d.object.enqueue(o)
	select {
	case d.wake <- struct{}{}:
	default:
	}
	if !d.driving {
		d.driving = true
		go l.drive(d)
	}
}

func (l *ledger) abandon(d *objectDriver, o *operation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !d.object.abandon(o, func(Result, error) { l.removeAttempt(o.attempt) }) {
		return false
	}
	if !d.driving {
		d.driving = true
		go l.drive(d)
	}
	return true
}

// removeAttempt removes an attempt from the ledger. It requires l.mu.
func (l *ledger) removeAttempt(id AttemptID) {
	if h := l.attempts[id]; h != nil {
		delete(l.attempts, id)
		h.driver.attempts--
		l.evict(h.driver)
	}
	if l.drained != nil && len(l.attempts) == 0 {
		close(l.drained)
		l.drained = nil
	}
}

// RecordOutcome implements Ledger.
func (l *ledger) RecordOutcome(ctx context.Context, key Key, attempt Attempt, outcome Outcome) error {
	results := make(chan operationResult, 1)
	o := &operation{
		key: key.digest(), attempt: attempt.ID, fingerprint: attempt.Fingerprint,
		kind: releaseOperation,
		onDone: func(r Result, err error) {
			if outcome.Verdict == verdict.Ran {
				l.unstoredOutcomes--
			}
			l.removeAttempt(attempt.ID)
			results <- operationResult{r, err}
		},
	}
	if outcome.Verdict == verdict.Ran {
		o.kind = recordOperation
		if outcome.Response.maxEncodedSize() <= l.config.MaxResponseBytes {
			o.response = outcome.Response
		}
	}
	if err := l.startRecordOutcome(o, outcome.Verdict); err != nil || outcome.Verdict == verdict.MayHaveRun {
		return err
	}
	if outcome.Verdict == verdict.Ran {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.ClaimTimeout)
	defer cancel()
	select {
	case a := <-results:
		return a.err
	case <-ctx.Done():
		return ErrDeferred
	}
}

func (l *ledger) startRecordOutcome(o *operation, v verdict.Verdict) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.attempts[o.attempt]
	if h == nil || !h.won {
		return errors.Wrap(ErrInvalid, "attempt has not won the key or is already settled")
	}
	h.won = false
	switch {
	case v == verdict.MayHaveRun:
		l.removeAttempt(o.attempt)
		return nil
	case v == verdict.Ran && l.unstoredOutcomes >= l.config.MaxAttempts/unstoredOutcomesDivisor:
		l.removeAttempt(o.attempt)
		return ErrNotRecorded
	case v == verdict.Ran:
		l.unstoredOutcomes++
	}
	l.enqueue(h.driver, o)
	return nil
}

// Close implements Ledger.
func (l *ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	if len(l.attempts) > 0 && l.drained == nil {
		l.drained = make(chan struct{})
	}
	drained := l.drained
	l.mu.Unlock()
	defer l.cancelCalls()
	if drained == nil {
		return nil
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrDeferred, "close ledger")
	}
}

// drive makes the calls of an object until it is idle. After a failed call, an
// object without pending claims is passed to the background worker.
func (l *ledger) drive(d *objectDriver) {
	backoff := minBackoff
	for {
		ok, more := l.step(d)
		switch {
		case !more:
			return
		case ok:
			backoff = minBackoff
		case l.callsCtx.Err() != nil || l.scheduleRetry(d):
			return
		default:
			sleep(l.callsCtx, backoff, d.wake)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// step makes the next call of the object. ok is false if the call failed. more
// is false if there was no call to make; the driver then stops.
func (l *ledger) step(d *objectDriver) (ok, more bool) {
	l.mu.Lock()
	k, more := d.object.nextCall(l.config.Now())
	if !more {
		d.driving = false
		l.evict(d)
		l.mu.Unlock()
		return true, false
	}
	l.mu.Unlock()
	r := l.callStore(d.path, k)
	l.mu.Lock()
	defer l.mu.Unlock()
	return d.object.handleReply(r), true
}

// callStore makes a platform call. It encodes and decodes without the lock,
// because this takes milliseconds for a full bucket.
func (l *ledger) callStore(path string, k call) reply {
	ctx, cancel := context.WithTimeout(l.callsCtx, l.config.CallTimeout)
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
		return reply{err: withCause(platform.ErrUnavailable, err)} // nothing was sent
	}
	var o platform.Object
	if k.kind == callCreate {
		o, err = l.config.Store.Create(ctx, path, value)
	} else {
		o, err = l.config.Store.Update(ctx, path, k.version, value)
	}
	return reply{version: o.Version, err: err}
}

// scheduleRetry passes an object without pending claims to the background
// worker. It returns false if the object is idle or has pending claims.
func (l *ledger) scheduleRetry(d *objectDriver) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.object.hasPendingClaims() || d.object.idle() {
		return false
	}
	d.driving = false
	if !d.awaitsRetry {
		d.awaitsRetry = true
		l.retryQueue = append(l.retryQueue, d)
	}
	if !l.retrying {
		l.retrying = true
		go l.runRetries()
	}
	return true
}

// runRetries drives the objects in the retry queue one at a time until the queue
// is empty.
func (l *ledger) runRetries() {
	backoff := minBackoff
	for l.callsCtx.Err() == nil {
		d, queued := l.nextRetry()
		if !queued {
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
			backoff = minBackoff
			continue
		}
		if !l.scheduleRetry(d) {
			go l.drive(d) // a claim has been queued in the meantime
		}
		// Add jitter, because in an outage the calls of all daemons fail at once.
		sleep(l.callsCtx, backoff/2+rand.N(backoff/2), nil)
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// nextRetry removes the oldest driver from the retry queue. d is nil if another
// goroutine already makes its calls; queued is false if the queue was empty.
func (l *ledger) nextRetry() (d *objectDriver, queued bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.retryQueue) == 0 {
		l.retrying = false
		return nil, false
	}
	d = l.retryQueue[0]
	l.retryQueue = l.retryQueue[1:]
	d.awaitsRetry = false
	if d.driving {
		return nil, true
	}
	d.driving = true
	return d, true
}

// evict updates the entry count of an object and drops idle objects while the
// cache exceeds its limit. It requires l.mu.
func (l *ledger) evict(d *objectDriver) {
	entries := objectEntryCost + len(d.object.entries)
	l.cachedEntries += entries - d.countedEntries
	d.countedEntries = entries
	if l.layout.maxCachedEntries == 0 || !d.object.stateKnown {
		l.dropIfIdle(d)
	}
	if l.cachedEntries <= l.layout.maxCachedEntries {
		return
	}
	for _, other := range l.drivers {
		l.dropIfIdle(other)
		if l.cachedEntries <= l.layout.maxCachedEntries {
			return
		}
	}
}

func (l *ledger) dropIfIdle(d *objectDriver) {
	if d.attempts == 0 && !d.driving && !d.awaitsRetry && d.object.idle() {
		delete(l.drivers, d.path)
		l.cachedEntries -= d.countedEntries
		d.countedEntries = 0
	}
}

// sleep waits until the duration has passed, wake is signalled or ctx ends.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
