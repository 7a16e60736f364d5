package claims

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// storedFormat is the version of the stored encoding.
const storedFormat = 1

// Upper bounds of encoded sizes, used to refuse a claim that would make the
// value too large: the fixed part of an object, of an entry, of a response and
// of one header field.
const (
	objectOverheadBytes   = 16
	entryOverheadBytes    = 56
	responseOverheadBytes = 24
	headerOverheadBytes   = 12
)

// entry is the stored state of one key.
type entry struct {
	_   struct{} `cbor:",toarray"`
	Key digest
	// Attempt is the id of the attempt that holds the key. It is nil after the
	// request ran, because it is not compared any more.
	Attempt     []byte
	Fingerprint Fingerprint
	Ran         bool
	// ClaimedAt is when the key was claimed, in Unix seconds.
	ClaimedAt int64
	// Response is set only with Ran, and only if it is small enough.
	Response *Response
}

func (e *entry) heldBy(id AttemptID) bool { return string(e.Attempt) == string(id[:]) }

func (e *entry) expired(now time.Time, keep time.Duration) bool {
	return now.Sub(time.Unix(e.ClaimedAt, 0)) > keep
}

// maxEncodedSize returns an upper bound of the encoded size in bytes.
func (e *entry) maxEncodedSize() int { return entryOverheadBytes + e.Response.maxEncodedSize() }

func (r *Response) maxEncodedSize() int {
	if r == nil {
		return 0
	}
	n := responseOverheadBytes + len(r.Body)
	for _, h := range r.Headers {
		n += headerOverheadBytes + len(h.Name) + len(h.Value)
	}
	return n
}

// result returns the answer to a later attempt with the given fingerprint.
func (e *entry) result(f Fingerprint) Result {
	switch {
	case e.Fingerprint != f:
		return Result{State: Mismatch}
	case e.Ran:
		return Result{State: Ran, Response: e.Response}
	default:
		return Result{State: Unresolved}
	}
}

// storedObject is the stored value of a platform object with claims.
type storedObject struct {
	_      struct{} `cbor:",toarray"`
	Format int
	// WrittenAt is when the value was written, in Unix seconds.
	WrittenAt int64
	Entries   []*entry
}

func encode(entries []*entry, now time.Time) ([]byte, error) {
	value, err := cbor.Marshal(storedObject{Format: storedFormat, WrittenAt: now.Unix(), Entries: entries})
	return value, errors.Wrap(err, "claims: encode")
}

func decode(value []byte) (storedObject, error) {
	var s storedObject
	if err := cbor.Unmarshal(value, &s); err != nil {
		return storedObject{}, withCause(ErrInvalid, err)
	}
	if s.Format != storedFormat {
		return storedObject{}, errors.Wrapf(ErrInvalid, "unsupported stored format %d", s.Format)
	}
	if slices.Contains(s.Entries, nil) {
		return storedObject{}, errors.Wrap(ErrInvalid, "stored object contains a null entry")
	}
	return s, nil
}
