package ejection

import (
	"cmp"
	"slices"

	"shallotglade/pkg/detector"
)

// Demotion is an upstream that this home chooses last, and only when no better
// upstream has a free slot.
type Demotion struct {
	Upstream string
	// Score is the evidence in thresholds.
	Score float64
	// Share weighs demoted upstreams against each other, in 0..1.
	Share float64
	// PathBad tells that another home may still reach the upstream.
	PathBad bool
}

// Demotions returns the upstreams to demote at this home, least unhealthy
// first. Excluded upstreams are left out. Demotion never removes capacity: if
// every upstream is demoted, all of them stay in use by their shares.
func Demotions(view View, assessments []detector.Assessment, x Exclusion) []Demotion {
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
