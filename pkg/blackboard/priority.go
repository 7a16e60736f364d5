package blackboard

import (
	"time"

	"shallotglade/pkg/routing"
)

// PriorityChange records that an upstream was deprioritized because it probably
// fails requests, or that it is used normally again.
type PriorityChange struct {
	Upstream string
	// Deprioritized is true if the upstream is from now on used only when no better
	// one has a free slot, and false if it is used normally again.
	Deprioritized bool
	// FailureProbability is the probability that the next attempt fails,
	// LastOutcomeAt the time of the latest outcome that it is based on.
	FailureProbability float64
	LastOutcomeAt      time.Time
	// Source is the daemon that observed the latest outcome, Kind that outcome's
	// kind.
	Source, Kind string
}

// maxPriorityChanges bounds the changes that wait to be logged.
const maxPriorityChanges = 256

// outcomeSource is the daemon that observed an upstream's latest outcome, and the
// outcome's kind.
type outcomeSource struct{ home, kind string }

// updatePriorityLocked updates whether an upstream is deprioritized, and queues a
// change for the log.
func (s *Service) updatePriorityLocked(id string, failing float64) {
	deprioritize := failing > routing.LikelyFailingThreshold
	if deprioritize == s.deprioritized[id] {
		return
	}
	s.deprioritized[id] = deprioritize
	if len(s.priorityChanges) < maxPriorityChanges {
		source := s.outcomeSources[id]
		s.priorityChanges = append(s.priorityChanges, PriorityChange{
			Upstream: id, Deprioritized: deprioritize, FailureProbability: failing, LastOutcomeAt: s.reliability.LastOutcomeAt(id), Source: source.home, Kind: source.kind,
		})
	}
}

// PriorityChanges returns the priority changes since the last call.
func (s *Service) PriorityChanges() []PriorityChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.priorityChanges
	s.priorityChanges = nil
	return changes
}
