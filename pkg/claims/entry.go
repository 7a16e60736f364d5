package claims

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// cellFormat is the version of the stored encoding.
const cellFormat = 1

// Upper bounds of encoded sizes in bytes, used to refuse a claim before the
// value overflows: the fixed part of a cell, of an entry, of a response and of
// one header field.
const (
	cellOverheadBytes     = 16
	entryOverheadBytes    = 56
	responseOverheadBytes = 24
	headerOverheadBytes   = 12
)

// entry is the stored state of one key.
type entry struct {
	_   struct{} `cbor:",toarray"`
	Key digest
	// Attempt is the attempt that holds the key; nil once the request ran,
	// because nobody has to recognise it then.
	Attempt     []byte
	Fingerprint Fingerprint
	Ran         bool
	// At is when the key was claimed, in Unix seconds.
	At int64
	// Response is kept with Ran if it is small.
	Response *Response
}

func (e *entry) heldBy(id AttemptID) bool { return string(e.Attempt) == string(id[:]) }

func (e *entry) expired(now time.Time, keep time.Duration) bool {
	return now.Sub(time.Unix(e.At, 0)) > keep
}

// size is an upper bound of the encoded size in bytes.
func (e *entry) size() int { return entryOverheadBytes + e.Response.size() }

func (r *Response) size() int {
	if r == nil {
		return 0
	}
	n := responseOverheadBytes + len(r.Body)
	for _, h := range r.Headers {
		n += headerOverheadBytes + len(h.Name) + len(h.Value)
	}
	return n
}

// result is what a later attempt with the fingerprint learns from the entry.
func (e *entry) result(f Fingerprint) Result {
	switch {
	case e.Fingerprint != f:
		return Result{State: Mismatch}
	case e.Ran:
		return Result{State: Ran, Response: e.Response}
	default:
		return Result{State: Unsettled}
	}
}

// stored is the value of a claims object.
type stored struct {
	_      struct{} `cbor:",toarray"`
	Format int
	// At is when the value was written, in Unix seconds.
	At      int64
	Entries []*entry
}

func encode(entries []*entry, now time.Time) ([]byte, error) {
	value, err := cbor.Marshal(stored{Format: cellFormat, At: now.Unix(), Entries: entries})
	return value, errors.Wrap(err, "claims: encode")
}

func decode(value []byte) (stored, error) {
	var s stored
	if err := cbor.Unmarshal(value, &s); err != nil {
		return stored{}, because(ErrInvalid, err)
	}
	if s.Format != cellFormat {
		return stored{}, errors.Wrapf(ErrInvalid, "stored format %d", s.Format)
	}
	if slices.Contains(s.Entries, nil) {
		return stored{}, errors.Wrap(ErrInvalid, "empty entry")
	}
	return s, nil
}
