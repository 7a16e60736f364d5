package blackboard

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"shallotglade/pkg/detector"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/routing"
)

// Report is what one home tells the other homes of a service. It is evidence
// and never an order.
type Report struct {
	Service  string           `cbor:"1,keyasint"`
	Evidence detector.Summary `cbor:"2,keyasint"`
	Load     routing.Report   `cbor:"3,keyasint"`
	// Poison is an encoded poison.Summary.
	Poison []byte `cbor:"4,keyasint,omitempty"`
	// Leaving lists upstreams that announced that they leave.
	Leaving []string `cbor:"5,keyasint,omitempty"`
	// Home is the id of the reporting daemon.
	Home string `cbor:"6,keyasint"`
}

// maxReportItems bounds each list of a report.
const maxReportItems = 4096

// ErrReport means that a report is malformed or exceeds a limit.
var ErrReport = errors.New("blackboard: invalid report")

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxReportItems, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeReport returns the CBOR form.
func EncodeReport(r Report) ([]byte, error) { return cbor.Marshal(r) }

// DecodeReport reads the CBOR form strictly, or returns ErrReport.
func DecodeReport(b []byte) (Report, error) {
	var r Report
	if err := strict.Unmarshal(b, &r); err != nil {
		return Report{}, errors.Mark(err, ErrReport)
	}
	if len(r.Poison) > 0 {
		if _, err := poison.DecodeSummary(r.Poison); err != nil {
			return Report{}, errors.Mark(err, ErrReport)
		}
	}
	return r, nil
}

// Report returns this home's report on the service, and whether it says
// anything.
func (s *Service) Report(now time.Time) (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Service: s.Name, Evidence: s.group.Summary(now), Load: s.inFlight.Report(now, s.Gate.Stats().Waiting)}
	if summary := s.poison.Summary(now); len(summary.Events) > 0 {
		if b, err := summary.Encode(); err == nil {
			r.Poison = b
		}
	}
	for id := range s.left {
		r.Leaving = append(r.Leaving, id)
	}
	said := len(r.Evidence.Reports) > 0 || len(r.Load.Loads) > 0 || r.Load.Demand > 0 || len(r.Poison) > 0 || len(r.Leaving) > 0
	return r, said
}

// Merge takes the report of another home.
func (s *Service) Merge(now time.Time, home string, r Report) {
	for _, id := range r.Leaving {
		s.MarkLeaving(now, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Merge(now, home, r.Evidence)
	s.inFlight.Merge(now, home, r.Load)
	if summary, err := poison.DecodeSummary(r.Poison); err == nil {
		s.forgiveLocked(now, s.poison.Merge(now, summary).Forgiven)
	}
}
