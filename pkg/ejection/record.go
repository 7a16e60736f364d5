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
	// MaxRecordBytes is the maximum size of an encoded record.
	MaxRecordBytes = 256 << 10
	// MaxEntries is the maximum number of entries of a record.
	MaxEntries = 1024
	// maxIDBytes is the maximum length of the id of a service or an upstream.
	maxIDBytes = 128
	// maxReasonBytes is the maximum length of a reason.
	maxReasonBytes = 64
	// maxRounds is the maximum number of rounds in an entry.
	maxRounds = 16
	// maxNestingDepth bounds the nesting of an encoded record: map, list, entry.
	maxNestingDepth = 4
)

// Errors of Encode and Decode.
var (
	// ErrInvalid means that the record violates the format.
	ErrInvalid = errors.New("ejection: invalid record")
	// ErrTooLarge means that the encoded record exceeds MaxRecordBytes.
	ErrTooLarge = errors.New("ejection: record too large")
)

// State is the current step of an upstream between ejection and return.
type State uint8

// States of an entry.
const (
	// Ejected upstreams get no requests.
	Ejected State = iota + 1
	// Trial upstreams get a small share of the idempotent requests.
	Trial
	// Ramp upstreams get a growing share of requests.
	Ramp
	// Returned upstreams are in service. The entry keeps the number of rounds.
	Returned
)

// String returns the name used in logs.
func (s State) String() string {
	if s < Ejected || s > Returned {
		return "unknown"
	}
	return [...]string{"ejected", "trial", "ramp", "returned"}[s-Ejected]
}

// CountsAsEjected reports whether an upstream in this state is not counted
// towards the floor.
func (s State) CountsAsEjected() bool { return s != Returned }

// Entry is the agreed state of one upstream. Times are Unix milliseconds of the
// writer's clock. They only control the timing of the steps; the floor does not
// depend on them.
type Entry struct {
	Upstream string `cbor:"1,keyasint"`
	State    State  `cbor:"2,keyasint"`
	// Since is the start of the state and Until its planned end.
	Since int64 `cbor:"3,keyasint"`
	Until int64 `cbor:"4,keyasint"`
	// Rounds is the number of recent ejections.
	Rounds int `cbor:"5,keyasint"`
	// Score is the evidence at the time of the ejection, in thresholds. The least
	// unhealthy upstream has the lowest Score.
	Score float32 `cbor:"6,keyasint"`
	// Reason is the detector's reason for the ejection.
	Reason string `cbor:"7,keyasint,omitempty"`
}

// Record is the value of ejections/<service>. Its entries are sorted by upstream.
type Record struct {
	Service string  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"`
}

// Entry returns the entry of an upstream, if there is one.
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

// upsert inserts or replaces an entry.
func (r *Record) upsert(e Entry) {
	i, found := r.find(e.Upstream)
	if found {
		r.Entries[i] = e
		return
	}
	r.Entries = slices.Insert(r.Entries, i, e)
}

var encMode, decMode = mustCBORModes()

func mustCBORModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNestingDepth,
		MaxArrayElements:  MaxEntries,
		MaxMapPairs:       16, // minimum of the library; the structs here have fewer fields
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Encode returns the encoded record. It returns ErrInvalid or ErrTooLarge for
// records that cannot be stored.
func (r Record) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	value, err := encMode.Marshal(r)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "encode: %v", err)
	}
	if len(value) > MaxRecordBytes {
		return nil, ErrTooLarge
	}
	return value, nil
}

// Decode decodes a stored value. It returns ErrInvalid for unknown, repeated or
// malformed fields and ErrTooLarge for values above MaxRecordBytes.
func Decode(value []byte) (Record, error) {
	if len(value) > MaxRecordBytes {
		return Record{}, ErrTooLarge
	}
	var r Record
	if err := decMode.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrapf(ErrInvalid, "decode: %v", err)
	}
	if err := r.validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) validate() error {
	if r.Service == "" || len(r.Service) > maxIDBytes {
		return errors.Wrapf(ErrInvalid, "invalid service name length of %d bytes", len(r.Service))
	}
	if len(r.Entries) > MaxEntries {
		return errors.Wrapf(ErrInvalid, "too many entries: %d", len(r.Entries))
	}
	for i, e := range r.Entries {
		if i > 0 && e.Upstream <= r.Entries[i-1].Upstream {
			return errors.Wrapf(ErrInvalid, "entries out of order or repeated at upstream %q", e.Upstream)
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
		return errors.Wrapf(ErrInvalid, "invalid upstream id length of %d bytes", len(e.Upstream))
	case e.State < Ejected || e.State > Returned:
		return errors.Wrapf(ErrInvalid, "invalid state %d of upstream %q", e.State, e.Upstream)
	case e.Since < 0 || e.Until < e.Since:
		return errors.Wrapf(ErrInvalid, "invalid times of upstream %q", e.Upstream)
	case e.Rounds < 0 || e.Rounds > maxRounds:
		return errors.Wrapf(ErrInvalid, "invalid number of rounds %d of upstream %q", e.Rounds, e.Upstream)
	case math.IsNaN(score) || math.IsInf(score, 0) || score < 0:
		return errors.Wrapf(ErrInvalid, "invalid score of upstream %q", e.Upstream)
	case len(e.Reason) > maxReasonBytes:
		return errors.Wrapf(ErrInvalid, "reason of upstream %q is too long", e.Upstream)
	}
	return nil
}

// unixMillis returns a time as Unix milliseconds, at least 0.
func unixMillis(t time.Time) int64 { return max(t.UnixMilli(), 0) }
