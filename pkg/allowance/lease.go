package allowance

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

const (
	// leaseDuration is how long a lease lasts from the start of its last successful write,
	// renewInterval the time between writes.
	leaseDuration = 3 * time.Second
	renewInterval = time.Second
	// takeoverWait is how long a lease must not have changed before another daemon takes it
	// over. It exceeds leaseDuration by the most that clocks may drift apart meanwhile.
	takeoverWait = 3500 * time.Millisecond
	// storeRetry is the time between calls of a holder to the platform that fail. Without a
	// valid lease it doubles up to maxStoreRetry, because outages last hours.
	storeRetry    = 200 * time.Millisecond
	maxStoreRetry = 2 * time.Second
	// readInterval is the least time between two reads of a lease that somebody else holds.
	readInterval = time.Second
	// offerAfter is how long after the start of its last successful write a holder that
	// cannot reach the platform offers the lease to another daemon.
	offerAfter = 1500 * time.Millisecond
)

// Record is the value of a lease.
type Record struct {
	// Holder is the id of the holder's process, Host its host, Address its address for other
	// daemons.
	Holder  string `json:"holder"`
	Host    string `json:"host,omitempty"`
	Address string `json:"address"`
	// Term is drawn for each acquisition, Sequence counts its writes.
	Term     uint32 `json:"term"`
	Sequence uint64 `json:"sequence"`
	// Released means that the holder grants nothing any more.
	Released bool `json:"released,omitempty"`
	// Base is the version that the write replaced; 0 if there was none. If it is of an
	// earlier era than the version of the object, what was written after it may be lost.
	Base uint64 `json:"base"`
	// Shards is the number of shards by which the holder divides the accounts.
	Shards int `json:"shards"`
}

// Registration returns the id and version of the entry of a host's daemon.
type Registration func(host string) (id string, version uint64, ok bool)

// Self is the daemon as a holder.
type Self struct {
	ID, Host, Address string
	// Started is a time after the start of the process, on the clock of the leases; 0 means
	// unknown.
	Started time.Duration
}

// OperationKind is the kind of a call to the platform.
type OperationKind uint8

// Kinds of operations.
const (
	NoOperation OperationKind = iota
	ReadLease
	CreateLease
	UpdateLease
)

// Operation is a call to the platform that a lease needs.
type Operation struct {
	Kind    OperationKind
	Version uint64
	Value   []byte
	record  Record
	tenure  Tenure
}

// lease is the state machine of one lease. It makes at most one call at a time.
type lease struct {
	self   Self
	shards int
	window time.Duration

	// known is set once the object was read: absent, or with a version and record. since is
	// when the version was seen first, or a time before which its write started.
	known, absent bool
	version       uint64
	record        Record
	readable      bool
	since         time.Duration
	// existed is set once the object has been seen, readAt the time of the last read.
	existed bool
	readAt  time.Duration

	held bool
	term uint32
	// writtenAt is the start of the last write known to have succeeded, validFrom the start
	// of the tenure.
	writtenAt, validFrom time.Duration
	// attempt is a write whose outcome is unknown.
	attempt   *Operation
	attemptAt time.Duration

	// resigned is the term that a holder gave up by message, at resignedAt.
	resigned   uint32
	resignedAt time.Duration

	busy bool
	// failing is set while the platform cannot be reached, failures counts the failed calls.
	failing  bool
	failures int
	nextAt   time.Duration
}

// valid reports whether the daemon may grant.
func (l *lease) valid(now time.Duration) bool {
	return l.held && now >= l.validFrom && now < l.writtenAt+leaseDuration
}

// step returns the call to make now, or when to ask again. wanted tells whether the daemon
// should become the holder, draw returns a term.
func (l *lease) step(now time.Duration, wanted bool, entry Registration, draw func() uint32) (Operation, time.Duration) {
	switch {
	case l.busy || !l.held && !wanted:
		return Operation{}, never
	case now < l.nextAt:
		return Operation{}, l.nextAt
	case !l.known || l.attempt != nil:
		return l.begin(Operation{Kind: ReadLease}), never
	case l.held:
		if renewAt := l.writtenAt + renewInterval; now < renewAt {
			return Operation{}, renewAt
		}
		record := l.record
		record.Sequence++
		return l.write(record, Tenure{Term: l.term}), never
	}
	tenure, ok := l.free(now, entry)
	if !ok {
		// Another holder may have written meanwhile; the conditional write will tell.
		return Operation{}, l.since + takeoverWait
	}
	tenure.Term = max(draw(), 1)
	return l.write(Record{Holder: l.self.ID, Host: l.self.Host, Address: l.self.Address, Term: tenure.Term, Shards: l.shards}, tenure), never
}

// free reports whether the lease can be taken over, and what the holder may assume then.
func (l *lease) free(now time.Duration, entry Registration) (Tenure, bool) {
	if l.absent && !l.existed {
		return Tenure{First: true, BucketsFrom: now}, true
	}
	from, free := l.since+leaseDuration, now >= l.since+takeoverWait
	if !free {
		from, free = l.ended(now, entry)
	}
	// Reserve tokens of the earlier holder can be used for one window, and each use counts
	// for another. The sequence shows whether that holder has renewed the lease, at most once
	// per renewInterval, for more than a window: the head starts of two tenures must not be in
	// the same window.
	return Tenure{
		BucketsFrom: from, ReservesFrom: from + 2*l.window,
		HeadStart: l.readable && platform.EraOf(l.record.Base) == platform.EraOf(l.version) && time.Duration(l.record.Sequence) > l.window/renewInterval+1,
	}, free
}

// ended reports whether the holder certainly grants nothing any more, since a time.
func (l *lease) ended(now time.Duration, entry Registration) (since time.Duration, ok bool) {
	r := &l.record
	if l.absent || !l.readable || platform.EraOf(r.Base) != platform.EraOf(l.version) || r.Shards != l.shards {
		// The present holder may be another one than the record says.
		return 0, false
	}
	switch {
	case r.Released:
		return l.since, true
	case r.Term == l.resigned && l.resigned != 0:
		return l.resignedAt, true
	case r.Host == "":
		return 0, false
	case r.Host == l.self.Host:
		// A host runs one process, so the holder was an earlier one, which ended before
		// this one started.
		if l.self.Started > 0 {
			return min(l.self.Started, now), true
		}
		return now, true
	}
	id, version, ok := entry(r.Host)
	return now, ok && id != r.Holder && platform.EraOf(version) == platform.EraOf(l.version) && version > l.version
}

func (l *lease) write(record Record, tenure Tenure) Operation {
	op := Operation{Kind: UpdateLease, Version: l.version, record: record, tenure: tenure}
	if l.absent {
		op.Kind, op.Version = CreateLease, 0
	}
	op.record.Base = op.Version
	// Marshal cannot fail: the record has only strings, numbers and a bool.
	op.Value, _ = json.Marshal(op.record)
	return l.begin(op)
}

func (l *lease) begin(op Operation) Operation {
	l.busy = true
	return op
}

// done applies the result of a call that started at the given time. It returns the tenure
// if the daemon has become the holder.
func (l *lease) done(now, started time.Duration, op Operation, o platform.Object, err error) (gained *Tenure) {
	l.busy = false
	l.failing = err != nil && !errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound)
	if l.failures++; !l.failing {
		l.failures = 0
	}
	if op.Kind == ReadLease {
		return l.read(now, o, err)
	}
	switch {
	case err == nil:
		return l.written(started, op, o.Version)
	case errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound):
		l.known = false
	case errors.Is(err, platform.ErrUnavailable):
		l.nextAt = now + l.backoff(now)
	default:
		l.attempt, l.attemptAt = &op, started
		l.nextAt = now + storeRetry/4
	}
	return nil
}

// backoff returns the time until the next call after one that failed.
func (l *lease) backoff(now time.Duration) time.Duration {
	if l.valid(now) {
		return storeRetry
	}
	return min(storeRetry<<min(l.failures-1, 4), maxStoreRetry)
}

// abort forgets the call that was made, whose outcome will not become known.
func (l *lease) abort() { l.busy, l.known = false, false }

// written applies a successful write that started at the given time.
func (l *lease) written(started time.Duration, op Operation, version uint64) *Tenure {
	l.attempt, l.absent, l.known, l.readable, l.existed = nil, false, true, true, true
	l.version, l.record, l.since = version, op.record, started
	if l.held {
		l.writtenAt = started
		return nil
	}
	if op.record.Released || op.record.Term == l.resigned {
		return nil
	}
	tenure := op.tenure
	if platform.EraOf(version) != platform.EraOf(op.Version) {
		if op.Kind != CreateLease {
			// The write may have replaced that of a holder in the new era.
			return nil
		}
		// The platform came back from a copy once, perhaps from one without the lease.
		tenure.First, tenure.HeadStart = false, false
		tenure.BucketsFrom = started + takeoverWait
		tenure.ReservesFrom = tenure.BucketsFrom + 2*l.window
	}
	l.held, l.term, l.writtenAt, l.validFrom = true, op.record.Term, started, 0
	if platform.EraOf(version) != platform.EraOf(op.Version) {
		l.validFrom = tenure.BucketsFrom
	}
	return &tenure
}

// read applies the result of a read.
func (l *lease) read(now time.Duration, o platform.Object, err error) *Tenure {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		if !l.known || !l.absent {
			l.since = now
		}
		l.known, l.absent, l.attempt, l.held, l.readAt = true, true, nil, false, now
		l.version, l.record, l.readable = 0, Record{}, false
		return nil
	case err != nil:
		l.nextAt = now + l.backoff(now)
		return nil
	}
	if !l.existed || o.Version != l.version {
		l.since = now
	}
	if platform.EraOf(o.Version) != platform.EraOf(l.version) && !l.valid(now) {
		// Another daemon may have taken the lease over before the platform came back from a
		// copy that names this one. It may still grant.
		l.held = false
	}
	attempt := l.attempt
	l.known, l.absent, l.existed, l.version, l.attempt, l.readAt = true, false, true, o.Version, nil, now
	l.record = Record{}
	l.readable = !o.Deleted && json.Unmarshal(o.Value, &l.record) == nil
	if attempt != nil && l.readable && l.record == attempt.record {
		// The write is known now. Its time counts from its start.
		return l.written(l.attemptAt, *attempt, o.Version)
	}
	l.held = l.held && l.readable && l.record.Holder == l.self.ID && l.record.Term == l.term
	return nil
}

// see records that a version existed at a time on this daemon's clock or earlier.
func (l *lease) see(version uint64, at time.Duration) {
	switch {
	case l.held || l.busy || l.attempt != nil || version < l.version:
	case version > l.version || !l.existed:
		// The record must be read; the time counts from now on.
		l.known, l.existed, l.absent, l.readable = false, true, false, false
		l.version, l.record, l.since = version, Record{}, at
	default:
		l.since = min(l.since, at)
	}
}
