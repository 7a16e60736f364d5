package reliability

import "time"

// Snapshot is what one home knows of an upstream's work, for a home that has
// just started. The path is the home's own and not part of it.
type Snapshot struct {
	Upstream string
	// Failing is the probability at the time of the snapshot.
	Failing float64
	// Age is how long before that the last outcome was seen.
	Age time.Duration
}

// Snapshots returns what is known of the upstreams with an outcome, in no order.
func (e *Estimator) Snapshots(now time.Time) []Snapshot {
	out := make([]Snapshot, 0, len(e.upstreams))
	for id, u := range e.upstreams {
		out = append(out, Snapshot{
			Upstream: id, Failing: e.drift(u.work, now, e.model.failing()), Age: now.Sub(u.seenAt),
		})
	}
	return out
}

// Adopt takes another home's snapshot unless a later outcome is known here.
func (e *Estimator) Adopt(now time.Time, s Snapshot) {
	seen := now.Add(-s.Age)
	u := e.upstreams[s.Upstream]
	if u == nil {
		u = &upstream{path: belief{0, now}}
		e.upstreams[s.Upstream] = u
	} else if !seen.After(u.seenAt) {
		return
	}
	u.seenAt = seen
	u.work = belief{min(max(s.Failing, 0), certain), now}
}
