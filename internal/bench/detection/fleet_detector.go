package main

import (
	"math/rand/v2"
	"time"

	"shallotglade/pkg/detector"
	"shallotglade/pkg/ejection"
)

// fleetDetector runs pkg/detector and pkg/ejection for all homes of a service.
// The ejection record is a variable, and each proposal starts from its latest
// version. Conflicts of concurrent proposals are covered by the tests of
// pkg/ejection.
type fleetDetector struct {
	service   service
	groups    []*detector.Group
	demoted   [][]bool
	standings []standing // by upstream; demotions differ by home and are in demoted
	view      ejection.View
	record    ejection.Record
	policy    ejection.Policy
	rng       *rand.Rand
	events    eventCounts
}

// fleetDetectorName names the detector under test in the results.
const fleetDetectorName = "ours"

func newFleetDetector(s service, homes int, seed uint64) *fleetDetector {
	f := &fleetDetector{
		service: s, policy: ejection.DefaultPolicy(s.Floor),
		record: ejection.Record{Service: s.Name}, rng: rand.New(rand.NewPCG(seed, 7)),
		events:    eventCounts{make([]int, s.Upstreams), make([]int, s.Upstreams)},
		standings: make([]standing, s.Upstreams),
	}
	for i := range s.Upstreams {
		f.view.Upstreams = append(f.view.Upstreams, ejection.UpstreamView{ID: nodeIDs[i]})
	}
	for range homes {
		g := detector.NewGroup(detector.TuningForWeight(s.Weight))
		g.SetUpstreams(epoch, nodeIDs[:s.Upstreams])
		f.groups = append(f.groups, g)
		f.demoted = append(f.demoted, make([]bool, s.Upstreams))
	}
	f.refreshStandings(epoch)
	return f
}

func (f *fleetDetector) observe(now time.Time, home int, out detector.Outcome) {
	if !f.groups[home].Observe(now, out) {
		return
	}
	f.assess(now, home)
	f.shareSummary(now, home)
	for other := range f.groups {
		if other != home {
			f.assess(now, other)
		}
	}
}

// assess updates a home's demotions and proposes changes of the ejection record.
func (f *fleetDetector) assess(now time.Time, home int) {
	assessments := f.groups[home].Assess(now)
	for i, a := range assessments {
		demoted := a.Condition != detector.Healthy
		if demoted != f.demoted[home][i] {
			f.demoted[home][i] = demoted
			if demoted {
				f.events.demotions[i]++
			}
		}
	}
	next, decisions := ejection.Propose(f.view, f.record, assessments, f.policy, now, f.rng)
	for _, d := range decisions {
		switch d.Action {
		case ejection.Eject:
			f.events.ejections[nodeIndex(d.Upstream)]++
		case ejection.BeginTrial:
			for _, g := range f.groups {
				g.Reset(now, d.Upstream)
			}
		}
	}
	if ejection.Changed(decisions) {
		f.record = next
		f.refreshStandings(now)
	}
}

// refreshStandings derives the standings of all upstreams from the record.
func (f *fleetDetector) refreshStandings(now time.Time) {
	x := ejection.EffectiveExclusion(f.view, f.record, f.policy, now)
	for i := range f.standings {
		s := x.Standing(nodeIDs[i])
		f.standings[i] = standing{excluded: s.Excluded, idempotentOnly: s.IdempotentOnly, share: s.Share}
	}
}

// shareSummary merges a home's summary into the groups of the other homes.
func (f *fleetDetector) shareSummary(now time.Time, home int) {
	summary := f.groups[home].Summary(now)
	for other, g := range f.groups {
		if other != home {
			g.Merge(now, nodeIDs[home], summary)
		}
	}
}

func (f *fleetDetector) tick(now time.Time) {
	for home := range f.groups {
		f.shareSummary(now, home)
	}
	for home := range f.groups {
		f.assess(now, home)
	}
	f.refreshStandings(now)
}

func (f *fleetDetector) standing(home, upstream int) standing {
	s := f.standings[upstream]
	s.demoted = f.demoted[home][upstream]
	return s
}

func (f *fleetDetector) redial(home, upstream int) (time.Duration, bool) {
	return f.groups[home].Redial(nodeIDs[upstream])
}

func (f *fleetDetector) overdueAfter(home int) time.Duration { return f.groups[home].OverdueAfter() }

func (f *fleetDetector) joined(now time.Time, upstream int) {
	f.view.Upstreams[upstream].Joined = now
	for _, g := range f.groups {
		g.SetWarmUp(now, nodeIDs[upstream], now.Add(f.policy.RampDuration))
	}
	f.refreshStandings(now)
}

func (f *fleetDetector) counts() eventCounts { return f.events }
