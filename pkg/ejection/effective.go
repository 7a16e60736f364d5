package ejection

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Exclusion is the result of applying a record to a daemon's list of upstreams.
type Exclusion struct {
	// Excluded upstreams are ejected or leaving and get no new requests.
	Excluded map[string]bool
	// Trial maps upstreams in trial to their share of idempotent requests, in
	// 0..1.
	Trial map[string]float64
	// Ramp maps upstreams that return or have just joined to their share.
	Ramp map[string]float64
	// Readmitted maps upstreams that are in service only because of the floor to
	// their reduced share.
	Readmitted map[string]float64
	// Usable lists the upstreams that count towards the floor, sorted. It has at
	// least min(floor, live upstreams) elements.
	Usable []string
}

// Standing describes which requests one upstream may get.
type Standing struct {
	Excluded bool
	// IdempotentOnly is true during a trial.
	IdempotentOnly bool
	// Share is the share of the upstream's normal load, in 0..1.
	Share float64
}

// Standing returns the standing of an upstream of the view.
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

// EffectiveExclusion applies the record to a reader's list. At least min(floor, live
// upstreams) stay usable for any list and any record. The reader's clock, now,
// never affects the floor.
func EffectiveExclusion(view View, record Record, policy Policy, now time.Time) Exclusion {
	if len(record.Entries) == 0 && view.sorted() {
		return joinedOnly(view, policy, now)
	}
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
	ejected := ejectedEntries(live, record, policy, unixMillis(now))
	slices.SortFunc(ejected, leastUnhealthyFirst)
	readmit := len(ejected) - policy.maxEjected(len(live))
	for i, e := range ejected {
		if i < readmit {
			x.Readmitted[e.Upstream] = max(policy.ReadmitShare, rampShare(e, policy, unixMillis(now)))
			continue
		}
		x.addEntry(e, policy, unixMillis(now))
		delete(live, e.Upstream)
	}
	x.Usable = slices.Sorted(maps.Keys(live))
	for _, u := range live {
		x.addJoined(u, policy, now)
	}
	return x
}

// joinedOnly is EffectiveExclusion for a sorted view and a record without entries, without
// the maps of all upstreams: services that are never ejected are refreshed several times a
// second and with each change of their upstreams.
func joinedOnly(view View, policy Policy, now time.Time) Exclusion {
	x := Exclusion{Excluded: map[string]bool{}, Ramp: map[string]float64{}, Usable: make([]string, 0, len(view.Upstreams))}
	for _, u := range view.Upstreams {
		if u.Leaving {
			x.Excluded[u.ID] = true
			continue
		}
		x.Usable = append(x.Usable, u.ID)
		x.addJoined(u, policy, now)
	}
	return x
}

// ejectedEntries returns the entries of live upstreams that count as ejected.
func ejectedEntries(live map[string]UpstreamView, record Record, policy Policy, now int64) []Entry {
	var out []Entry
	for _, e := range record.Entries {
		if _, ok := live[e.Upstream]; ok && e.State.CountsAsEjected() && !policy.isAbandoned(e, now) {
			out = append(out, e)
		}
	}
	return out
}

// isAbandoned reports whether an entry has not been advanced long after Until.
func (p Policy) isAbandoned(e Entry, now int64) bool {
	return p.AbandonedAfter > 0 && now-e.Until > p.AbandonedAfter.Milliseconds()
}

// addEntry adds an entry that counts as ejected.
func (x *Exclusion) addEntry(e Entry, policy Policy, now int64) {
	switch e.State {
	case Trial:
		x.Trial[e.Upstream] = policy.TrialShare
	case Ramp:
		x.Ramp[e.Upstream] = rampShare(e, policy, now)
	default:
		x.Excluded[e.Upstream] = true
	}
}

// addJoined adds a ramp for a usable upstream that has just joined.
func (x *Exclusion) addJoined(u UpstreamView, policy Policy, now time.Time) {
	if u.Joined.IsZero() {
		return
	}
	age := now.Sub(u.Joined)
	if _, readmitted := x.Readmitted[u.ID]; readmitted || age >= policy.RampDuration {
		return
	}
	x.Ramp[u.ID] = linearShare(policy.RampStartShare, float64(age), float64(policy.RampDuration))
}

// rampShare returns the share of an entry in Ramp, or 0 in other states.
func rampShare(e Entry, policy Policy, now int64) float64 {
	if e.State != Ramp {
		return 0
	}
	return linearShare(policy.RampStartShare, float64(now-e.Since), float64(e.Until-e.Since))
}

// linearShare rises linearly from start to 1 while age goes from 0 to total.
func linearShare(start, age, total float64) float64 {
	if total <= 0 {
		return 1
	}
	return start + (1-start)*min(max(age/total, 0), 1)
}

// leastUnhealthyFirst orders entries by progress of their return, then by score.
func leastUnhealthyFirst(a, b Entry) int {
	return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(a.Score, b.Score),
		cmp.Compare(a.Upstream, b.Upstream))
}
