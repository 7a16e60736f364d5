package ejection

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits of a stored record.
const (
	// MaxRecordBytes is the largest encoded record.
	MaxRecordBytes = 256 << 10
	// MaxEntries is the most entries of a record.
	MaxEntries = 1024
	// maxIDBytes is the longest id of a service or an upstream.
	maxIDBytes = 128
	// maxReasonBytes is the longest reason.
	maxReasonBytes = 64
	// maxRounds bounds the remembered rounds.
	maxRounds = 16
	// maxNesting is the depth of an encoded record: map, list, entry.
	maxNesting = 4
)

// Errors of Encode and Decode; test with errors.Is.
var (
	// ErrInvalid means that the record breaks a rule of the format.
	ErrInvalid = errors.New("ejection: invalid record")
	// ErrTooLarge means that the encoded record exceeds MaxRecordBytes.
	ErrTooLarge = errors.New("ejection: record too large")
)

// State is the step at which an upstream is.
type State uint8

// States of an entry.
const (
	// Ejected upstreams get no work.
	Ejected State = iota + 1
	// Trial upstreams get a small share of the idempotent requests.
	Trial
	// Ramp upstreams get a growing share of the work.
	Ramp
	// Returned upstreams are in service; the entry remembers their rounds.
	Returned
)

// String returns the form used in logs.
func (s State) String() string {
	if s < Ejected || s > Returned {
		return "unknown"
	}
	return [...]string{"ejected", "trial", "ramp", "returned"}[s-Ejected]
}

// CountsAsEjected tells whether the floor counts an upstream in this state out.
func (s State) CountsAsEjected() bool { return s != Returned }

// Entry is the agreed state of one upstream. Times are Unix milliseconds of the
// writer's clock; they pace the steps, and no safety rule depends on them.
type Entry struct {
	Upstream string `cbor:"1,keyasint"`
	State    State  `cbor:"2,keyasint"`
	// Since is when the state began, Until when it should end.
	Since int64 `cbor:"3,keyasint"`
	Until int64 `cbor:"4,keyasint"`
	// Rounds is how often the upstream was ejected lately.
	Rounds int `cbor:"5,keyasint"`
	// Score is the evidence at the ejection, in thresholds; the least
	// unhealthy upstream is the one with the lowest Score.
	Score float32 `cbor:"6,keyasint"`
	// Reason is the detector's reason for the ejection.
	Reason string `cbor:"7,keyasint,omitempty"`
}

// Record is the value of ejections/<service>. Entries are sorted by upstream.
type Record struct {
	Service string  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"`
}

// Entry returns the entry of an upstream.
func (r Record) Entry(upstream string) (Entry, bool) {
	i, found := r.find(upstream)
	if !found {
		return Entry{}, false
	}
	return r.Entries[i], true
}

func (r Record) find(upstream string) (int, bool) {
	return slices.BinarySearchFunc(r.Entries, upstream, func(e Entry, id string) int {
		return strings.Compare(e.Upstream, id)
	})
}

// put inserts or replaces an entry.
func (r *Record) put(e Entry) {
	i, found := r.find(e.Upstream)
	if found {
		r.Entries[i] = e
		return
	}
	r.Entries = slices.Insert(r.Entries, i, e)
}

var encoding, decoding = mustModes()

func mustModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  MaxEntries,
		MaxMapPairs:       16, // the library's least; no struct here has more fields
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Encode returns the value to store, or ErrInvalid or ErrTooLarge.
func (r Record) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	value, err := encoding.Marshal(r)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "encode: %v", err)
	}
	if len(value) > MaxRecordBytes {
		return nil, ErrTooLarge
	}
	return value, nil
}

// Decode reads a stored value strictly. It returns ErrInvalid for unknown,
// repeated or malformed fields, and ErrTooLarge.
func Decode(value []byte) (Record, error) {
	if len(value) > MaxRecordBytes {
		return Record{}, ErrTooLarge
	}
	var r Record
	if err := decoding.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrapf(ErrInvalid, "decode: %v", err)
	}
	if err := r.validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) validate() error {
	if r.Service == "" || len(r.Service) > maxIDBytes {
		return errors.Wrapf(ErrInvalid, "service name of %d bytes", len(r.Service))
	}
	if len(r.Entries) > MaxEntries {
		return errors.Wrapf(ErrInvalid, "%d entries", len(r.Entries))
	}
	for i, e := range r.Entries {
		if i > 0 && e.Upstream <= r.Entries[i-1].Upstream {
			return errors.Wrapf(ErrInvalid, "entries out of order at %q", e.Upstream)
		}
		if err := e.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (e Entry) validate() error {
	score := float64(e.Score)
	switch {
	case e.Upstream == "" || len(e.Upstream) > maxIDBytes:
		return errors.Wrapf(ErrInvalid, "upstream id of %d bytes", len(e.Upstream))
	case e.State < Ejected || e.State > Returned:
		return errors.Wrapf(ErrInvalid, "state %d of %q", e.State, e.Upstream)
	case e.Since < 0 || e.Until < e.Since:
		return errors.Wrapf(ErrInvalid, "times of %q", e.Upstream)
	case e.Rounds < 0 || e.Rounds > maxRounds:
		return errors.Wrapf(ErrInvalid, "%d rounds of %q", e.Rounds, e.Upstream)
	case math.IsNaN(score) || math.IsInf(score, 0) || score < 0:
		return errors.Wrapf(ErrInvalid, "score of %q", e.Upstream)
	case len(e.Reason) > maxReasonBytes:
		return errors.Wrapf(ErrInvalid, "reason of %q", e.Upstream)
	}
	return nil
}

// at returns a time as Unix milliseconds.
func at(t time.Time) int64 { return max(t.UnixMilli(), 0) }
