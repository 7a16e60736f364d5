package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits of a summary received from another daemon.
const (
	// MaxSummaryBytes limits the encoded size. A full summary takes at most
	// about 130 bytes per event.
	MaxSummaryBytes = 256 << 10
	// MaxSummaryEvents limits the events of one summary; only the newest are sent.
	MaxSummaryEvents = 1024
	// maxUpstreamBytes limits the length of an upstream's ID.
	maxUpstreamBytes = 128
)

// ErrInvalidSummary means that a summary is malformed or exceeds a limit.
var ErrInvalidSummary = errors.New("poison: invalid summary")

// EventID identifies one crash as observed by one home.
type EventID uint64

// Event records that a fingerprint was in flight at a crash. It carries an age
// instead of a time because the clocks of hosts differ.
type Event struct {
	ID          EventID     `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Upstream    string      `cbor:"3,keyasint"`
	// AgeMS is the time since the crash in milliseconds.
	AgeMS uint64 `cbor:"4,keyasint"`
	// Cleared means that the fingerprint has since completed at another
	// upstream. A cleared event replaces the same event without the flag.
	Cleared bool `cbor:"5,keyasint,omitempty"`
	// Trial means that the fingerprint was a suspect when the copy was sent, and that
	// another upstream had crashed with it.
	Trial bool `cbor:"6,keyasint,omitempty"`
}

// Summary is a home's knowledge of recent crashes.
type Summary struct {
	Events []Event `cbor:"1,keyasint"`
}

var decMode = mustDecMode(cbor.DecOptions{
	DupMapKey:         cbor.DupMapKeyEnforcedAPF,
	IndefLength:       cbor.IndefLengthForbidden,
	TagsMd:            cbor.TagsForbidden,
	ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	MaxArrayElements:  MaxSummaryEvents,
	MaxNestedLevels:   4,
}.DecMode())

func mustDecMode(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return m
}

// newestFirst sorts the events from newest to oldest and drops those beyond the limit.
func (s Summary) newestFirst() Summary {
	slices.SortFunc(s.Events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	s.Events = s.Events[:min(len(s.Events), MaxSummaryEvents)]
	return s
}

// Encode returns the CBOR encoding.
func (s Summary) Encode() ([]byte, error) {
	b, err := cbor.Marshal(s)
	return b, errors.Wrap(err, "poison: encode summary")
}

// DecodeSummary decodes the CBOR encoding. It rejects unknown fields, duplicate keys
// and values beyond the limits with ErrInvalidSummary.
func DecodeSummary(b []byte) (Summary, error) {
	if len(b) > MaxSummaryBytes {
		return Summary{}, errors.Wrapf(ErrInvalidSummary, "%d bytes, limit %d", len(b), MaxSummaryBytes)
	}
	var s Summary
	if err := decMode.Unmarshal(b, &s); err != nil {
		return Summary{}, errors.Wrapf(ErrInvalidSummary, "%v", err)
	}
	if len(s.Events) > MaxSummaryEvents {
		return Summary{}, errors.Wrapf(ErrInvalidSummary, "%d events, limit %d", len(s.Events), MaxSummaryEvents)
	}
	for _, e := range s.Events {
		if e.Upstream == "" || len(e.Upstream) > maxUpstreamBytes {
			return Summary{}, errors.Wrapf(ErrInvalidSummary, "upstream ID of %d bytes", len(e.Upstream))
		}
		if e.AgeMS > uint64(ForgetAfter/time.Millisecond) {
			return Summary{}, errors.Wrapf(ErrInvalidSummary, "age %d ms", e.AgeMS)
		}
	}
	return s, nil
}
