package reliability

import "time"

// Snapshot is a home's estimate of an upstream's state, sent to a home that has just
// started. It excludes the path, which differs between homes.
type Snapshot struct {
	Upstream string
	// FailureProbability is the probability at the time of the snapshot.
	FailureProbability float64
	// Age is the time from the last outcome to the snapshot.
	Age time.Duration
}

// Snapshots returns the estimates of all upstreams with an outcome, in no particular
// order.
func (e *Estimator) Snapshots(now time.Time) []Snapshot {
	out := make([]Snapshot, 0, len(e.upstreams))
	for id, u := range e.upstreams {
		out = append(out, Snapshot{
			Upstream: id, FailureProbability: e.decay(u.failing, now, e.model.longRunFailing()), Age: now.Sub(u.seenAt),
		})
	}
	return out
}

// MergeSnapshot applies another home's snapshot unless a later outcome is known here.
func (e *Estimator) MergeSnapshot(now time.Time, s Snapshot) {
	seen := now.Add(-s.Age)
	u := e.upstreams[s.Upstream]
	if u == nil {
		u = &upstream{paths: map[string]*path{}}
		e.upstreams[s.Upstream] = u
	} else if !seen.After(u.seenAt) {
		return
	}
	u.seenAt = seen
	u.failing = belief{min(max(s.FailureProbability, 0), maxProbability), now}
}
