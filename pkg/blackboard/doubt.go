package blackboard

import (
	"time"

	"shallotglade/pkg/routing"
)

// Doubt is a change of what this daemon believes of an upstream: whether it
// probably fails requests.
type Doubt struct {
	Upstream string
	// Doubted is set when the upstream is used only if no better one has a free
	// slot from now on, and unset when it is used like others again.
	Doubted bool
	// Failing is the probability that the next attempt fails, and Seen when the
	// last outcome behind it was seen.
	Failing float64
	Seen    time.Time
	// Source is the daemon that saw the last outcome, Kind its kind.
	Source, Kind string
}

// maxDoubts bounds the changes that wait to be logged.
const maxDoubts = 256

// source is where the last outcome of an upstream came from.
type source struct{ home, kind string }

// noteDoubtLocked keeps a change of the belief about an upstream for the log.
func (s *Service) noteDoubtLocked(id string, failing float64) {
	doubted := failing > routing.Doubt
	if doubted == s.doubted[id] {
		return
	}
	s.doubted[id] = doubted
	if len(s.doubts) < maxDoubts {
		from := s.sources[id]
		s.doubts = append(s.doubts, Doubt{
			Upstream: id, Doubted: doubted, Failing: failing, Seen: s.reliability.Seen(id), Source: from.home, Kind: from.kind,
		})
	}
}

// Doubts returns the changes of beliefs since the last call.
func (s *Service) Doubts() []Doubt {
	s.mu.Lock()
	defer s.mu.Unlock()
	doubts := s.doubts
	s.doubts = nil
	return doubts
}
