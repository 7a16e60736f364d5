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

// Errors of Claim. Each of them means that the attempt does not run: Claim has
// not let it win and never will.
var (
	// ErrUnavailable means that the platform could not be asked, or did not
	// tell in time whether the claim was stored. The ledger releases the
	// attempt in the background if it may have been stored.
	ErrUnavailable = errors.New("claims: the platform did not confirm the claim")
	// ErrFull means that the object of the key has no room for another claim.
	ErrFull = errors.New("claims: no room for another claim")
	// ErrTooManyAttempts means that Config.MaxAttempts attempts are not settled yet.
	ErrTooManyAttempts = errors.New("claims: too many unsettled attempts")
	// ErrClosed means that Close was called.
	ErrClosed = errors.New("claims: ledger is closed")
	// ErrInvalid means that the stored value or the key is malformed.
	ErrInvalid = errors.New("claims: invalid")
)

// because returns an error that is both the sentinel and its cause for
// errors.Is of the standard library as well as of cockroachdb/errors.
func because(sentinel, cause error) error { return fmt.Errorf("%w: %w", sentinel, cause) }

// ErrDeferred is returned by Settle when the outcome is not stored yet and the
// ledger goes on trying in the background.
var ErrDeferred = errors.New("claims: the outcome is being stored in the background")

// ErrNotRecorded is returned by Settle when so many outcomes wait to be stored
// that this one is given up. The key stays at "may have run", which is true.
var ErrNotRecorded = errors.New("claims: too many outcomes wait to be stored")

// Ledger records which attempt may run a keyed request. It is safe for
// concurrent use.
type Ledger interface {
	// Claim tries to win the key for the attempt. Only when the result's
	// state is Won may the attempt be dispatched. Any error means that the
	// attempt does not run.
	Claim(ctx context.Context, key Key, attempt Attempt) (Result, error)
	// Settle records the outcome of an attempt that has won; call it exactly
	// once, after the last dispatch of the attempt has ended. NotRun releases
	// the key and waits for that, at most until ctx ends or for
	// Config.ClaimTimeout. Ran returns at once and is stored in the
	// background. MayHaveRun writes nothing, because an unsettled claim means
	// just that. ErrDeferred and ErrNotRecorded leave a state that is true.
	Settle(ctx context.Context, key Key, attempt Attempt, outcome Outcome) error
	// Close refuses new claims and waits until every outcome handed to the
	// ledger is stored, or until ctx ends; it then returns ErrDeferred.
	// Settle still works while Close waits.
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

// digest is a collision-resistant hash of caller and key, so that no caller
// can choose a key that blocks another caller's key.
type digest [16]byte

func (k Key) digest() digest {
	h := sha256.New()
	writeField(h.Write, []byte(k.Caller))
	writeField(h.Write, []byte(k.Key))
	return digest(h.Sum(nil)[:16])
}

// Bucket returns the bucket of the key among the given number of them, a power
// of two. A daemon that gets all requests of a bucket finds it in its memory
// and saves the read.
func (k Key) Bucket(buckets int) int { return k.digest().bucket(buckets) }

func (d digest) bucket(buckets int) int { return (int(d[0])<<8 | int(d[1])) & (buckets - 1) }

// writeField writes the length before the content, so that two lists of fields
// never give the same bytes.
func writeField(write func([]byte) (int, error), field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = write(length[:]) // a hash never fails
	_, _ = write(field)
}

// AttemptID names one attempt at running a keyed request.
type AttemptID [16]byte

// NewAttemptID returns a random id.
func NewAttemptID() AttemptID {
	var id AttemptID
	_, _ = rand.Read(id[:]) // crypto/rand never fails: it ends the process instead
	return id
}

// Fingerprint tells requests with the same key but different content apart.
type Fingerprint [8]byte

// FingerprintOf returns the fingerprint of a request. The path includes the query.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	writeField(h.Write, []byte(method))
	writeField(h.Write, []byte(path))
	writeField(h.Write, body)
	return Fingerprint(h.Sum(nil)[:8])
}

// Attempt is one attempt at running a keyed request.
type Attempt struct {
	ID          AttemptID
	Fingerprint Fingerprint
}

// State is what Claim found.
type State uint8

// The zero State is Unsettled, so that a forgotten assignment never lets an
// attempt run.
const (
	// Unsettled means that another attempt holds the key and has no outcome
	// yet: it is in progress, or it may have run.
	Unsettled State = iota
	// Won means that this attempt may be dispatched.
	Won
	// Ran means that another attempt ran the request.
	Ran
	// Mismatch means that the key belongs to a request with other content.
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

// Result is the answer of Claim.
type Result struct {
	State State
	// Response is the stored response when State is Ran; nil if none was kept.
	// It is shared and must not be modified.
	Response *Response
}

// Response is the part of an upstream's response that is kept for callers that
// send the key again.
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

// Outcome is how an attempt that had won ended.
type Outcome struct {
	Verdict verdict.Verdict
	// Response is stored with Ran if it is no larger than
	// Config.MaxResponseBytes and fits into the object; otherwise only the
	// fact that the request ran is kept. The ledger takes ownership of it.
	Response *Response
}
