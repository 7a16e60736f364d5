package ejection

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Exclusion is a record as one reader applies it to its own list.
type Exclusion struct {
	// Excluded upstreams get no new work: they are ejected or leaving.
	Excluded map[string]bool
	// Trial holds the share of the idempotent requests, in 0..1.
	Trial map[string]float64
	// Ramp holds the share of upstreams that return or have just joined.
	Ramp map[string]float64
	// Readmitted holds the reduced share of upstreams that stay in service
	// only because of the floor.
	Readmitted map[string]float64
	// Usable lists the upstreams that count for the floor, sorted. It has at
	// least min(floor, live upstreams) members.
	Usable []string
}

// Standing is how one upstream may be used.
type Standing struct {
	Excluded bool
	// IdempotentOnly is set during a trial.
	IdempotentOnly bool
	// Share is the part of the work of an upstream in full standing, in 0..1.
	Share float64
}

// Standing returns how an upstream of the view may be used.
func (x Exclusion) Standing(id string) Standing {
	if x.Excluded[id] {
		return Standing{Excluded: true}
	}
	if share, ok := x.Trial[id]; ok {
		return Standing{IdempotentOnly: true, Share: share}
	}
	if share, ok := x.Readmitted[id]; ok {
		return Standing{Share: share}
	}
	if share, ok := x.Ramp[id]; ok {
		return Standing{Share: share}
	}
	return Standing{Share: 1}
}

// Effective applies the record to a reader's list. For any list and any record
// at least min(floor, live upstreams) stay usable. Now is the reader's clock;
// it affects shares only, never the floor.
func Effective(view View, record Record, policy Policy, now time.Time) Exclusion {
	x := Exclusion{
		Excluded: map[string]bool{}, Trial: map[string]float64{},
		Ramp: map[string]float64{}, Readmitted: map[string]float64{},
	}
	live := view.live()
	for _, u := range view.Upstreams {
		if u.Leaving {
			x.Excluded[u.ID] = true
		}
	}
	out := counted(live, record, policy, at(now))
	slices.SortFunc(out, leastUnhealthyFirst)
	readmit := len(out) - policy.allowed(len(live))
	for i, e := range out {
		if i < readmit {
			x.Readmitted[e.Upstream] = max(policy.ReadmitShare, rampShare(e, policy, at(now)))
			continue
		}
		x.apply(e, policy, at(now))
		delete(live, e.Upstream)
	}
	x.Usable = slices.Sorted(maps.Keys(live))
	x.rampJoined(live, policy, now)
	return x
}

// counted returns the entries that count live upstreams out of the capacity.
func counted(live map[string]UpstreamView, record Record, policy Policy, now int64) []Entry {
	var out []Entry
	for _, e := range record.Entries {
		if _, ok := live[e.Upstream]; ok && e.State.CountsAsEjected() && !policy.abandoned(e, now) {
			out = append(out, e)
		}
	}
	return out
}

// abandoned tells whether nobody advanced an entry long after its time.
func (p Policy) abandoned(e Entry, now int64) bool {
	return p.Abandoned > 0 && now-e.Until > p.Abandoned.Milliseconds()
}

// apply adds an entry that stays out of the capacity.
func (x *Exclusion) apply(e Entry, policy Policy, now int64) {
	switch e.State {
	case Trial:
		x.Trial[e.Upstream] = policy.TrialShare
	case Ramp:
		x.Ramp[e.Upstream] = rampShare(e, policy, now)
	default:
		x.Excluded[e.Upstream] = true
	}
}

// rampJoined ramps up the usable upstreams that have just joined.
func (x *Exclusion) rampJoined(usable map[string]UpstreamView, policy Policy, now time.Time) {
	for id, u := range usable {
		age := now.Sub(u.Joined)
		if _, readmitted := x.Readmitted[id]; readmitted || u.Joined.IsZero() || age >= policy.RampFor {
			continue
		}
		x.Ramp[id] = linear(policy.RampStart, float64(age), float64(policy.RampFor))
	}
}

// rampShare returns the share of an entry in Ramp, and 0 in other states.
func rampShare(e Entry, policy Policy, now int64) float64 {
	if e.State != Ramp {
		return 0
	}
	return linear(policy.RampStart, float64(now-e.Since), float64(e.Until-e.Since))
}

// linear rises from start to 1 while age goes from 0 to whole.
func linear(start, age, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return start + (1-start)*min(max(age/whole, 0), 1)
}

// leastUnhealthyFirst orders entries by how far their return is, then by score.
func leastUnhealthyFirst(a, b Entry) int {
	return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(a.Score, b.Score),
		cmp.Compare(a.Upstream, b.Upstream))
}
