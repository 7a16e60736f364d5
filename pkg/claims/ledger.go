package claims

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/verdict"
)

// Errors of Claim. Each of them means that the attempt has not won the key and
// never will, so it does not run.
var (
	// ErrUnavailable means that the platform was unreachable or did not confirm
	// in time that the claim was stored. If the claim may have been stored, the
	// ledger releases it in the background.
	ErrUnavailable = errors.New("claims: the platform did not confirm the claim")
	// ErrFull means that another claim would make the object of the key too large.
	ErrFull = errors.New("claims: no room for another claim")
	// ErrTooManyAttempts means that Config.MaxAttempts attempts are claiming a key
	// or have no recorded outcome.
	ErrTooManyAttempts = errors.New("claims: too many unsettled attempts")
	// ErrClosed means that Close was called.
	ErrClosed = errors.New("claims: ledger is closed")
	// ErrInvalid means that the stored value or the key is malformed.
	ErrInvalid = errors.New("claims: invalid")
)

// withCause returns an error that matches both the sentinel and the cause with
// errors.Is of the standard library and of cockroachdb/errors.
func withCause(sentinel, cause error) error { return fmt.Errorf("%w: %w", sentinel, cause) }

// ErrDeferred is returned by RecordOutcome if the outcome is not stored yet. The
// ledger keeps retrying in the background.
var ErrDeferred = errors.New("claims: the outcome is being stored in the background")

// ErrNotRecorded is returned by RecordOutcome if too many outcomes wait to be
// stored. The outcome is dropped and the key stays in the state "may have run",
// which is still correct.
var ErrNotRecorded = errors.New("claims: too many outcomes wait to be stored")

// Ledger records which attempt may run a keyed request. It is safe for
// concurrent use.
type Ledger interface {
	// Claim tries to win the key for the attempt. The attempt may be
	// dispatched only if the result's state is Won. Any error means that the
	// attempt does not run.
	Claim(ctx context.Context, key Key, attempt Attempt) (Result, error)
	// RecordOutcome records the outcome of an attempt that has won its key. It must
	// be called exactly once, after the last dispatch of the attempt has ended. For
	// NotRun it releases the key and waits until this is stored, ctx ends or
	// Config.ClaimTimeout has passed. For Ran it returns immediately and the
	// outcome is stored in the background. For MayHaveRun it writes nothing,
	// because a claim without an outcome already has this meaning. The stored state
	// stays correct after ErrDeferred and ErrNotRecorded.
	RecordOutcome(ctx context.Context, key Key, attempt Attempt, outcome Outcome) error
	// Close refuses new claims and waits until all outcomes are stored. If ctx
	// ends before that, it returns ErrDeferred. RecordOutcome still works while
	// Close waits.
	Close(ctx context.Context) error
}

// Key identifies a keyed request within the fleet.
type Key struct {
	Service string
	// Caller is the client account; keys of different callers are unrelated.
	Caller string
	// Key is the value of the Idempotency-Key header.
	Key string
}

// digest is a collision-resistant hash of caller and key, so that a caller
// cannot choose a key that blocks another caller's key.
type digest [16]byte

func (k Key) digest() digest {
	h := sha256.New()
	writeField(h.Write, []byte(k.Caller))
	writeField(h.Write, []byte(k.Key))
	return digest(h.Sum(nil)[:16])
}

// Bucket returns the index of the key's bucket. The number of buckets must be a
// power of two. A daemon that gets all requests of a bucket has the bucket in
// its cache and saves the read.
func (k Key) Bucket(buckets int) int { return k.digest().bucket(buckets) }

func (d digest) bucket(buckets int) int { return (int(d[0])<<8 | int(d[1])) & (buckets - 1) }

// writeField writes the field with a length prefix, so that different lists of
// fields never produce the same bytes.
func writeField(write func([]byte) (int, error), field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = write(length[:]) // writes to a hash never fail
	_, _ = write(field)
}

// AttemptID identifies an attempt to run a keyed request.
type AttemptID [16]byte

// NewAttemptID returns a random id.
func NewAttemptID() AttemptID {
	var id AttemptID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error; it aborts the process
	return id
}

// Fingerprint is a hash of a request's content. It distinguishes requests with the
// same key and different content.
type Fingerprint [8]byte

// FingerprintOf returns the fingerprint of a request. path includes the query.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	writeField(h.Write, []byte(method))
	writeField(h.Write, []byte(path))
	writeField(h.Write, body)
	return Fingerprint(h.Sum(nil)[:8])
}

// Attempt is an attempt to run a keyed request.
type Attempt struct {
	ID          AttemptID
	Fingerprint Fingerprint
}

// State is the state of a key as reported by Claim.
type State uint8

// The zero State is Unresolved, so that a forgotten assignment never lets an
// attempt run.
const (
	// Unresolved means that another attempt holds the key without a recorded
	// outcome: it is in progress or may have run.
	Unresolved State = iota
	// Won means that this attempt may be dispatched.
	Won
	// Ran means that another attempt ran the request.
	Ran
	// Mismatch means that the key belongs to a request with different content.
	Mismatch
)

// String returns the form used in logs.
func (s State) String() string {
	switch s {
	case Won:
		return "won"
	case Ran:
		return "ran"
	case Mismatch:
		return "mismatch"
	default:
		return "unsettled"
	}
}

// Result is the result of Claim.
type Result struct {
	State State
	// Response is the stored response if State is Ran; nil if none was stored.
	// It is shared and must not be modified.
	Response *Response
}

// Response is the stored part of an upstream's response. Callers that send the
// key again get it as the answer.
type Response struct {
	_       struct{} `cbor:",toarray"`
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header field of a stored response.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Outcome is the outcome of an attempt that has won its key.
type Outcome struct {
	Verdict verdict.Verdict
	// Response is stored with Ran if it is no larger than
	// Config.MaxResponseBytes and fits into the object. Otherwise only the fact
	// that the request ran is stored. The ledger takes ownership of it.
	Response *Response
}
