package blackboard

import (
	"time"

	"shallotglade/pkg/detector"
)

// Values of UpstreamStatus.Standing.
const (
	StandingNormal  = "normal"
	StandingDemoted = "demoted"
	StandingEjected = "ejected"
	StandingTrial   = "trial"
	StandingRamp    = "ramp"
	StandingLeaving = "leaving"
)

// Status is this daemon's view of a service, for operators.
type Status struct {
	Service       string           `json:"service" yaml:"service"`
	Version       uint64           `json:"version" yaml:"version"`
	UnknownFields []string         `json:"unknownFields,omitempty" yaml:"unknownFields,omitempty"`
	RecordVersion uint64           `json:"recordVersion" yaml:"recordVersion"`
	Home          bool             `json:"home" yaml:"home"`
	Homes         []string         `json:"homes" yaml:"homes"`
	Floor         int              `json:"floor" yaml:"floor"`
	Usable        int              `json:"usable" yaml:"usable"`
	Running       int              `json:"running" yaml:"running"`
	Waiting       int              `json:"waiting" yaml:"waiting"`
	RetriesLeft   int              `json:"retriesLeft" yaml:"retriesLeft"`
	Upstreams     []UpstreamStatus `json:"upstreams" yaml:"upstreams"`
}

// UpstreamStatus is this daemon's view of one upstream, with the reason for its
// condition.
type UpstreamStatus struct {
	ID        string  `json:"id" yaml:"id"`
	Address   string  `json:"address" yaml:"address"`
	Domain    string  `json:"domain" yaml:"domain"`
	Standing  string  `json:"standing" yaml:"standing"`
	Share     float64 `json:"share" yaml:"share"`
	Condition string  `json:"condition" yaml:"condition"`
	Reason    string  `json:"reason,omitempty" yaml:"reason,omitempty"`
	Score     float64 `json:"score" yaml:"score"`
	// Until is when the next step of an ejection is due.
	Until    time.Time `json:"until,omitzero" yaml:"until,omitempty"`
	InFlight int       `json:"inFlight" yaml:"inFlight"`
	Slots    int       `json:"slots" yaml:"slots"`
}

// Status returns this daemon's view of the service.
func (s *Service) Status() Status {
	gate := s.Gate.Stats()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshStaleLocked(time.Now())
	st := Status{
		Service: s.Name, Version: s.version, UnknownFields: s.unknownFields, RecordVersion: s.recordVersion,
		Home: s.isHomeLocked(), Homes: s.homeIDsLocked(), Floor: s.floorLocked(), Usable: len(s.exclusion.Usable),
		Running: gate.Running, Waiting: gate.Waiting, RetriesLeft: s.budget.Available(time.Now()),
	}
	assessed := map[string]detector.Assessment{}
	for _, a := range s.assessments {
		assessed[a.Upstream] = a
	}
	for _, u := range s.upstreams {
		st.Upstreams = append(st.Upstreams, s.upstreamStatusLocked(u, assessed[u.ID]))
	}
	return st
}

func (s *Service) upstreamStatusLocked(u Upstream, a detector.Assessment) UpstreamStatus {
	standing := s.exclusion.Standing(u.ID)
	st := UpstreamStatus{
		ID: u.ID, Address: u.Address, Domain: u.Domain, Standing: StandingNormal, Share: standing.Share,
		Condition: a.Condition.String(), Reason: string(a.Reason), Score: a.Score,
		InFlight: s.inFlight.Own(u.ID), Slots: u.Slots,
	}
	entry, recorded := s.record.Entry(u.ID)
	_, demoted := s.demotions[u.ID]
	switch {
	case u.Leaving:
		st.Standing = StandingLeaving
	case standing.Excluded:
		st.Standing = StandingEjected
	case standing.IdempotentOnly:
		st.Standing = StandingTrial
	case demoted:
		st.Standing = StandingDemoted
	case standing.Share < 1:
		st.Standing = StandingRamp
	}
	if recorded {
		st.Until = time.UnixMilli(entry.Until)
	}
	return st
}

// Usage describes how a service's upstreams are used, for metrics.
type Usage struct {
	// Unused is the number of usable upstreams that no home is known to have used
	// during the last requestWindowLength.
	Unused int
	// UnservedShare is the share of recent requests, over all homes, that were not
	// served.
	UnservedShare float64
}

// Usage returns how the service's upstreams are used.
func (s *Service) Usage(now time.Time) Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshStaleLocked(now)
	var u Usage
	for _, c := range s.candidates {
		if now.Sub(s.lastSentAtLocked(c.ID)) >= requestWindowLength {
			u.Unused++
		}
	}
	if sum := s.recentRequests.total(now); sum.Requests > 0 {
		u.UnservedShare = float64(sum.Unserved) / float64(sum.Requests)
	}
	return u
}
