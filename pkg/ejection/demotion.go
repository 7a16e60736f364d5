package ejection

import (
	"cmp"
	"slices"

	"shallotglade/pkg/detector"
)

// Demotion is an upstream that this home chooses only if no healthier upstream
// has a free slot.
type Demotion struct {
	Upstream string
	// Score is the evidence in thresholds.
	Score float64
	// Share is the weight relative to other demoted upstreams, in 0..1.
	Share float64
	// PathBad is true if only this home's path to the upstream is bad, so that
	// another home may still reach it.
	PathBad bool
}

// Demotions returns the upstreams to demote at this home, least unhealthy first.
// It omits excluded upstreams. Demotion never removes capacity: if all upstreams
// are demoted, all stay in use according to their shares.
func Demotions(view View, assessments []detector.Assessment, x Exclusion) []Demotion {
	if !slices.ContainsFunc(assessments, func(a detector.Assessment) bool { return a.Condition != detector.Healthy }) {
		return nil
	}
	live := view.live()
	var out []Demotion
	for _, a := range assessments {
		if _, ok := live[a.Upstream]; !ok || x.Excluded[a.Upstream] || a.Condition == detector.Healthy {
			continue
		}
		out = append(out, Demotion{
			Upstream: a.Upstream, Score: a.Score, Share: 1 / (1 + 2*max(a.Score, 0)),
			PathBad: a.Condition == detector.PathBad,
		})
	}
	slices.SortFunc(out, func(a, b Demotion) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}
