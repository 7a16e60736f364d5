package blackboard

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"shallotglade/pkg/detector"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/reliability"
	"shallotglade/pkg/retry"
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
	// Outcomes are the home's own since its last report.
	Outcomes []OutcomeReport `cbor:"7,keyasint,omitempty"`
	// Snapshots is sent after a home was added, which knows nothing yet.
	Snapshots []SnapshotReport `cbor:"8,keyasint,omitempty"`
	// Ended is how many requests have ended at the home in the last two seconds.
	Ended Tally `cbor:"9,keyasint"`
	// Retries is sent once by a daemon that is no longer a home.
	Retries retry.HandOver `cbor:"10,keyasint,omitempty"`
}

// SnapshotReport is what a home knows of an upstream.
type SnapshotReport struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is a hash of the upstream's id.
	Upstream uint32
	// Failing is a probability in parts of 255.
	Failing uint8
	AgeMs   uint32
}

// snapshotScale is the value of SnapshotReport.Failing for certainty.
const snapshotScale = 255

// OutcomeReport is the outcome of one attempt at an upstream.
type OutcomeReport struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is a hash of the upstream's id, which keeps reports small.
	Upstream uint32
	Kind     reliability.Kind
	Early    bool
	Slow     bool
	AgeMs    uint32
}

func reportOf(id string, f reliability.Finding) OutcomeReport {
	return OutcomeReport{Upstream: keyOf(id), Kind: f.Kind, Early: f.Early, Slow: f.Slow, AgeMs: uint32(f.Age.Milliseconds())}
}

func (o OutcomeReport) finding() reliability.Finding {
	return reliability.Finding{Kind: o.Kind, Early: o.Early, Slow: o.Slow, Age: time.Duration(o.AgeMs) * time.Millisecond}
}

// maxOutcomes bounds the outcomes of a report.
const maxOutcomes = 256

// keyOf returns the short form of an upstream's id. Of 1,000 upstreams of one
// service two share a form with a probability of about 1e-4; then both are
// doubted for the failures of one.
func keyOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

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
	if !r.Retries.Valid() {
		return Report{}, errors.Mark(errors.New("blackboard: handed over counts out of range"), ErrReport)
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
	r := Report{Service: s.Name, Load: s.inFlight.Report(now, s.Gate.Stats().Waiting), Outcomes: s.outcomes, Ended: s.pressure.own(now)}
	s.outcomes = nil
	r.Snapshots = s.snapshotsLocked(now)
	if s.ejects() {
		r.Evidence = s.judge.Summary(now)
	}
	if summary := s.poison.Summary(now); len(summary.Events) > 0 {
		if b, err := summary.Encode(); err == nil {
			r.Poison = b
		}
	}
	for id := range s.left {
		r.Leaving = append(r.Leaving, id)
	}
	said := len(r.Evidence.Reports) > 0 || len(r.Load.Loads) > 0 || r.Load.Demand > 0 || len(r.Poison) > 0 || len(r.Leaving) > 0 || len(r.Outcomes) > 0 || len(r.Snapshots) > 0
	return r, said
}

// HandOver returns this daemon's last report as a home, with the retries that the
// homes take over, and whether there are any.
func (s *Service) HandOver(now time.Time) (Report, bool) {
	r, _ := s.Report(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Retries, s.retries = s.retries, retry.HandOver{}
	return r, !r.Retries.Empty()
}

// snapshotsLocked returns what this home knows, once after a home was added.
func (s *Service) snapshotsLocked(now time.Time) []SnapshotReport {
	if !s.homeAdded {
		return nil
	}
	s.homeAdded = false
	var out []SnapshotReport
	for _, known := range s.reliability.Snapshots(now) {
		out = append(out, SnapshotReport{
			Upstream: keyOf(known.Upstream), Failing: uint8(known.Failing * snapshotScale), AgeMs: uint32(known.Age.Milliseconds()),
		})
	}
	return out[:min(len(out), maxOutcomes)]
}

// Busy reports whether attempts are in flight.
func (s *Service) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts) > 0
}

// Merge takes the report of another home.
func (s *Service) Merge(now time.Time, home string, r Report) {
	for _, id := range r.Leaving {
		s.MarkLeaving(now, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejects() {
		s.judge.Merge(now, home, r.Evidence)
	}
	s.inFlight.Merge(now, home, r.Load)
	s.pressure.merge(now, home, r.Ended)
	s.budget.TakeOver(now, r.Retries)
	s.mergeOutcomesLocked(now, home, r.Outcomes, r.Snapshots)
	if summary, err := poison.DecodeSummary(r.Poison); err == nil {
		s.forgiveLocked(now, s.poison.Merge(now, summary).Forgiven)
	}
}

// mergeOutcomesLocked takes outcomes of another home, and renews what requests
// choose from.
func (s *Service) mergeOutcomesLocked(now time.Time, home string, outcomes []OutcomeReport, snapshots []SnapshotReport) {
	for _, k := range snapshots[:min(len(snapshots), maxOutcomes)] {
		if id, ok := s.upstreamOfLocked(k.Upstream); ok {
			s.reliability.Adopt(now, reliability.Snapshot{
				Upstream: id, Failing: float64(k.Failing) / snapshotScale, Age: time.Duration(k.AgeMs) * time.Millisecond,
			})
		}
	}
	for _, o := range outcomes[:min(len(outcomes), maxOutcomes)] {
		if id, ok := s.upstreamOfLocked(o.Upstream); ok {
			s.reliability.Merge(now, id, o.finding())
			s.sources[id] = source{home, o.Kind.String()}
		}
	}
	s.refreshLoadLocked(now)
}

// upstreamOfLocked returns the id of an upstream by its short form.
func (s *Service) upstreamOfLocked(key uint32) (string, bool) {
	i := slices.IndexFunc(s.upstreams, func(u Upstream) bool { return keyOf(u.ID) == key })
	if i < 0 {
		return "", false
	}
	return s.upstreams[i].ID, true
}

// refreshLoadLocked renews the load of the candidates after a report.
func (s *Service) refreshLoadLocked(now time.Time) {
	s.inFlight.Refresh(now, s.reliability.Mean())
	s.renewCandidatesLocked(now)
}

// renewCandidatesLocked gives the candidates their load and probability of failing,
// and the queue the capacity that follows. The load is that of the last Refresh.
func (s *Service) renewCandidatesLocked(now time.Time) {
	for i := range s.candidates {
		c := &s.candidates[i]
		c.Others, c.OthersKnown = s.inFlight.Others(c.ID)
		c.Own, c.Failing = s.inFlight.Own(c.ID), s.reliability.Failing(now, c.ID)
		s.noteDoubtLocked(c.ID, c.Failing)
	}
	capacity, reserve := routing.Capacity(s.candidates)
	s.Gate.SetCapacity(capacity, reserve)
}
