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

// Report is the data that one home sends to the other homes of a service. They use it
// as evidence for their own decisions. It contains no instructions.
type Report struct {
	Service  string           `cbor:"1,keyasint"`
	Evidence detector.Summary `cbor:"2,keyasint"`
	Load     routing.Report   `cbor:"3,keyasint"`
	// Poison is an encoded poison.Summary.
	Poison []byte `cbor:"4,keyasint,omitempty"`
	// Leaving lists the upstreams that announced that they are leaving.
	Leaving []LeavingReport `cbor:"11,keyasint,omitempty"`
	// Home is the id of the reporting daemon.
	Home string `cbor:"6,keyasint"`
	// Outcomes are those that the home observed since its last report.
	Outcomes []OutcomeReport `cbor:"7,keyasint,omitempty"`
	// Snapshots is sent once after a home was added, for the new home, which has no
	// state yet.
	Snapshots []SnapshotReport `cbor:"8,keyasint,omitempty"`
	// RecentRequests counts the requests that ended at the home within
	// requestWindowLength, and those that are overdue.
	RecentRequests RequestCounts `cbor:"9,keyasint"`
	// RetryHandOver hands over retry counts and allowance. A daemon sends it once when
	// it stops being a home.
	RetryHandOver retry.HandOver `cbor:"10,keyasint,omitempty"`
}

// LeavingReport names an incarnation of an upstream that announced that it is leaving.
type LeavingReport struct {
	_           struct{} `cbor:",toarray"`
	Upstream    string
	Incarnation uint64
}

// SnapshotReport is a home's estimate of the reliability of an upstream.
type SnapshotReport struct {
	_ struct{} `cbor:",toarray"`
	// UpstreamHash is the hash of the upstream's id, see hashID.
	UpstreamHash uint32
	// FailureProbability is the probability that the next attempt fails, times
	// snapshotScale.
	FailureProbability uint8
	AgeMs              uint32
}

// snapshotScale is the value of SnapshotReport.FailureProbability for a probability
// of 1.
const snapshotScale = 255

// OutcomeReport is the outcome of one attempt at an upstream.
type OutcomeReport struct {
	_ struct{} `cbor:",toarray"`
	// UpstreamHash is the hash of the upstream's id, which keeps reports small.
	UpstreamHash uint32
	Kind         reliability.Kind
	Early        bool
	Slow         bool
	AgeMs        uint32
}

func newOutcomeReport(id string, f reliability.Finding) OutcomeReport {
	return OutcomeReport{UpstreamHash: hashID(id), Kind: f.Kind, Early: f.Early, Slow: f.Slow, AgeMs: uint32(f.Age.Milliseconds())}
}

func (o OutcomeReport) finding() reliability.Finding {
	return reliability.Finding{Kind: o.Kind, Early: o.Early, Slow: o.Slow, Age: time.Duration(o.AgeMs) * time.Millisecond}
}

// maxOutcomes bounds the outcomes and the snapshots of a report.
const maxOutcomes = 256

// hashID returns the hash of an upstream's id. Among 1,000 upstreams of one service,
// a collision has a probability of about 1e-4. It makes both upstreams look unreliable
// when one of them fails.
func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// maxReportItems bounds each list of a report.
const maxReportItems = 4096

// ErrReport means that a report is malformed or exceeds a limit.
var ErrReport = errors.New("blackboard: invalid report")

var reportDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxReportItems, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeReport returns the CBOR encoding of a report.
func EncodeReport(r Report) ([]byte, error) { return cbor.Marshal(r) }

// DecodeReport decodes the CBOR encoding strictly. Its errors are marked with
// ErrReport.
func DecodeReport(b []byte) (Report, error) {
	var r Report
	if err := reportDecMode.Unmarshal(b, &r); err != nil {
		return Report{}, errors.Mark(err, ErrReport)
	}
	if !r.RetryHandOver.Valid() {
		return Report{}, errors.Mark(errors.New("blackboard: retry hand-over contains values out of range"), ErrReport)
	}
	if len(r.Poison) > 0 {
		if _, err := poison.DecodeSummary(r.Poison); err != nil {
			return Report{}, errors.Mark(err, ErrReport)
		}
	}
	return r, nil
}

// Report returns this home's report on the service, and whether the report has any
// content.
func (s *Service) Report(now time.Time) (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Service: s.Name, Load: s.inFlight.Report(now, s.Gate.Stats().Waiting), Outcomes: s.unreportedOutcomes, RecentRequests: s.recentRequests.counts(now)}
	s.unreportedOutcomes = nil
	r.Snapshots = s.snapshotsLocked(now)
	if s.ejects() {
		r.Evidence = s.detector.Summary(now)
	}
	if summary := s.poison.Summary(now); len(summary.Events) > 0 {
		if b, err := summary.Encode(); err == nil {
			r.Poison = b
		}
	}
	for _, u := range s.upstreams {
		if incarnation, announced := s.announcedLeaving[u.ID]; announced {
			r.Leaving = append(r.Leaving, LeavingReport{Upstream: u.ID, Incarnation: incarnation})
		}
	}
	hasContent := len(r.Evidence.Reports) > 0 || len(r.Load.Loads) > 0 || r.Load.Demand > 0 || len(r.Poison) > 0 || len(r.Leaving) > 0 || len(r.Outcomes) > 0 || len(r.Snapshots) > 0
	return r, hasContent
}

// HandOver returns this daemon's last report as a home, with the retry counts that the
// current homes take over, and whether there are any.
func (s *Service) HandOver(now time.Time) (Report, bool) {
	r, _ := s.Report(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.RetryHandOver, s.pendingHandOver = s.pendingHandOver, retry.HandOver{}
	return r, !r.RetryHandOver.Empty()
}

// snapshotsLocked returns this home's reliability estimates once after a home was
// added, and otherwise nil.
func (s *Service) snapshotsLocked(now time.Time) []SnapshotReport {
	if !s.snapshotPending {
		return nil
	}
	s.snapshotPending = false
	var out []SnapshotReport
	for _, snapshot := range s.reliability.Snapshots(now) {
		out = append(out, SnapshotReport{
			UpstreamHash: hashID(snapshot.Upstream), FailureProbability: uint8(snapshot.FailureProbability * snapshotScale), AgeMs: uint32(snapshot.Age.Milliseconds()),
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

// Merge merges the report of another home.
func (s *Service) Merge(now time.Time, home string, r Report) {
	for _, l := range r.Leaving {
		s.MarkLeaving(now, l.Upstream, l.Incarnation)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejects() {
		s.detector.Merge(now, home, r.Evidence)
	}
	s.inFlight.Merge(now, home, r.Load)
	s.recentRequests.merge(now, home, r.RecentRequests)
	s.budget.TakeOver(now, r.RetryHandOver)
	s.mergeOutcomesLocked(now, home, r.Outcomes, r.Snapshots)
	if summary, err := poison.DecodeSummary(r.Poison); err == nil {
		s.clearEvidenceLocked(now, s.poison.Merge(now, summary).ExplainedUpstreams)
	}
}

// mergeOutcomesLocked merges outcomes and snapshots of another home and updates the
// routing candidates.
func (s *Service) mergeOutcomesLocked(now time.Time, home string, outcomes []OutcomeReport, snapshots []SnapshotReport) {
	for _, k := range snapshots[:min(len(snapshots), maxOutcomes)] {
		if id, ok := s.upstreamByHashLocked(k.UpstreamHash); ok {
			s.reliability.MergeSnapshot(now, reliability.Snapshot{
				Upstream: id, FailureProbability: float64(k.FailureProbability) / snapshotScale, Age: time.Duration(k.AgeMs) * time.Millisecond,
			})
		}
	}
	for _, o := range outcomes[:min(len(outcomes), maxOutcomes)] {
		if id, ok := s.upstreamByHashLocked(o.UpstreamHash); ok {
			s.reliability.Merge(now, home, id, o.finding())
			s.outcomeSources[id] = outcomeSource{home, o.Kind.String()}
		}
	}
	if s.mayDeferLoadLocked(now) && !slices.ContainsFunc(outcomes, func(o OutcomeReport) bool { return o.Kind != reliability.Success }) {
		s.loadPending = true
		return
	}
	s.refreshLoadLocked(now)
}

const (
	// manyHomes is the number of homes from which on the load in reports is applied at most
	// once per loadInterval: together they send 75 reports a second, each of which would
	// update all candidates. Each home reports only three times a second then.
	manyHomes    = 8
	loadInterval = 50 * time.Millisecond
)

// mayDeferLoadLocked reports whether the load of a report may be applied with the next
// report, request or round after loadInterval.
func (s *Service) mayDeferLoadLocked(now time.Time) bool {
	age := now.Sub(s.loadRefreshedAt)
	return len(s.homes) >= manyHomes && age >= 0 && age < loadInterval
}

// upstreamByHashLocked returns the id of the upstream with the given hash.
func (s *Service) upstreamByHashLocked(hash uint32) (string, bool) {
	i := slices.IndexFunc(s.upstreams, func(u Upstream) bool { return hashID(u.ID) == hash })
	if i < 0 {
		return "", false
	}
	return s.upstreams[i].ID, true
}

// refreshLoadLocked recomputes the load of other homes and updates the candidates.
func (s *Service) refreshLoadLocked(now time.Time) {
	if s.stale {
		s.refreshLocked(now)
		return
	}
	s.inFlight.Refresh(now, s.reliability.MeanLatency())
	s.loadRefreshedAt, s.loadPending = now, false
	s.updateCandidatesLocked(now)
}

// updateCandidatesLocked sets the load and failure probability of the candidates, and
// the resulting capacity of the admission gate. The load of other homes is that of the
// last inFlight.Refresh.
func (s *Service) updateCandidatesLocked(now time.Time) {
	for i := range s.candidates {
		c := &s.candidates[i]
		c.OthersInFlight, c.OthersCurrent = s.inFlight.Others(c.ID)
		s.setCandidateLocked(now, i)
		s.updatePriorityLocked(c.ID, c.FailureProbability)
	}
	s.probabilitiesAt = now
	capacity, reserve := routing.Capacity(s.candidates, len(s.attempts))
	s.Gate.SetCapacity(capacity, reserve)
	s.dispatchLocked(now)
}

// probabilityInterval is the age up to which the failure probabilities of candidates
// without new outcomes are used. In that time they decay by less than 0.003.
const probabilityInterval = 20 * time.Millisecond

// updateProbabilitiesLocked recomputes the failure probabilities, which decay with time,
// if they are older than probabilityInterval.
func (s *Service) updateProbabilitiesLocked(now time.Time) {
	if age := now.Sub(s.probabilitiesAt); age >= 0 && age < probabilityInterval {
		return
	}
	s.probabilitiesAt = now
	if s.loadPending && !s.mayDeferLoadLocked(now) {
		s.applyPendingLoadLocked(now)
	}
	for i := range s.candidates {
		s.setCandidateLocked(now, i)
	}
}

// applyPendingLoadLocked applies the load of other homes to the candidates. The next report
// or round also sets the capacity of the admission gate.
func (s *Service) applyPendingLoadLocked(now time.Time) {
	s.inFlight.Refresh(now, s.reliability.MeanLatency())
	s.loadRefreshedAt, s.loadPending = now, false
	for i := range s.candidates {
		s.candidates[i].OthersInFlight, s.candidates[i].OthersCurrent = s.inFlight.Others(s.candidates[i].ID)
	}
}

// updateCandidateLocked updates the candidate of an upstream after a request or an
// outcome.
func (s *Service) updateCandidateLocked(now time.Time, id string) {
	if i, ok := s.candidateIndex[id]; ok {
		s.setCandidateLocked(now, i)
	}
}

// setCandidateLocked sets the fields of a candidate that depend on this home's requests
// and on outcomes.
func (s *Service) setCandidateLocked(now time.Time, i int) {
	c := &s.candidates[i]
	c.OwnInFlight, c.PausedUntil, c.FailureProbability = s.inFlight.Own(c.ID), s.pauses[c.ID].until, s.reliability.FailureProbability(now, c.ID)
	c.LastOutcomeAt, c.LastSentAt = s.reliability.LastOutcomeAt(c.ID), s.lastSentAtLocked(c.ID)
	c.OthersOverdue = float64(s.reliability.OverdueElsewhere(now, c.ID))
	s.choices.Update(i)
}
