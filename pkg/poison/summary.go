package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits of a summary, which comes from another daemon.
const (
	// MaxSummaryBytes limits the encoded form. A full summary has at most
	// about 130 bytes an event.
	MaxSummaryBytes = 256 << 10
	// MaxSummaryEvents limits the events of one summary; the newest are sent.
	MaxSummaryEvents = 1024
	// maxUpstreamBytes limits the length of an upstream's ID.
	maxUpstreamBytes = 128
)

// ErrSummary means that a summary is malformed or exceeds a limit.
var ErrSummary = errors.New("poison: invalid summary")

// EventID identifies one crash as one home saw it.
type EventID uint64

// Event says that a fingerprint was in flight at a crash. Ages instead of times
// are sent, as the clocks of hosts differ.
type Event struct {
	ID          EventID     `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Upstream    string      `cbor:"3,keyasint"`
	// AgeMS is the time since the crash in milliseconds.
	AgeMS uint64 `cbor:"4,keyasint"`
	// Cleared means that the fingerprint has completed at another upstream
	// since; it wins over the same event without the mark.
	Cleared bool `cbor:"5,keyasint,omitempty"`
}

// Summary is what one home knows about recent crashes.
type Summary struct {
	Events []Event `cbor:"1,keyasint"`
}

var decoding = must(cbor.DecOptions{
	DupMapKey:         cbor.DupMapKeyEnforcedAPF,
	IndefLength:       cbor.IndefLengthForbidden,
	TagsMd:            cbor.TagsForbidden,
	ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	MaxArrayElements:  MaxSummaryEvents,
	MaxNestedLevels:   4,
}.DecMode())

func must(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return m
}

// newest sorts the events, newest first, and drops those beyond the limit.
func (s Summary) newest() Summary {
	slices.SortFunc(s.Events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	s.Events = s.Events[:min(len(s.Events), MaxSummaryEvents)]
	return s
}

// Encode returns the CBOR form.
func (s Summary) Encode() ([]byte, error) {
	b, err := cbor.Marshal(s)
	return b, errors.Wrap(err, "poison: encode summary")
}

// DecodeSummary reads the CBOR form. Unknown fields, duplicate keys and values
// beyond the limits are refused with ErrSummary.
func DecodeSummary(b []byte) (Summary, error) {
	if len(b) > MaxSummaryBytes {
		return Summary{}, errors.Wrapf(ErrSummary, "%d bytes, limit %d", len(b), MaxSummaryBytes)
	}
	var s Summary
	if err := decoding.Unmarshal(b, &s); err != nil {
		return Summary{}, errors.Wrapf(ErrSummary, "%v", err)
	}
	if len(s.Events) > MaxSummaryEvents {
		return Summary{}, errors.Wrapf(ErrSummary, "%d events, limit %d", len(s.Events), MaxSummaryEvents)
	}
	for _, e := range s.Events {
		if e.Upstream == "" || len(e.Upstream) > maxUpstreamBytes {
			return Summary{}, errors.Wrapf(ErrSummary, "upstream ID of %d bytes", len(e.Upstream))
		}
		if e.AgeMS > uint64(ForgetAfter/time.Millisecond) {
			return Summary{}, errors.Wrapf(ErrSummary, "age %d ms", e.AgeMS)
		}
	}
	return s, nil
}
