package main

import (
	"math/rand/v2"
	"time"

	"shallotglade/pkg/detector"
	"shallotglade/pkg/ejection"
)

// ours runs pkg/detector and pkg/ejection for all homes of a service. The
// record is a variable, and each proposal is made from its latest version; the
// conflicts of concurrent proposals are the subject of the ejection tests.
type ours struct {
	service service
	groups  []*detector.Group
	demoted [][]bool
	use     []standing // by upstream; demoted holds the part that differs by home
	view    ejection.View
	record  ejection.Record
	policy  ejection.Policy
	rng     *rand.Rand
	events  counts
}

// judgeName is the id of the judge under test.
const judgeName = "ours"

func newOurs(s service, homes int, seed uint64) *ours {
	o := &ours{
		service: s, policy: ejection.DefaultPolicy(s.Floor),
		record: ejection.Record{Service: s.Name}, rng: rand.New(rand.NewPCG(seed, 7)),
		events: counts{make([]int, s.Upstreams), make([]int, s.Upstreams)},
		use:    make([]standing, s.Upstreams),
	}
	for i := range s.Upstreams {
		o.view.Upstreams = append(o.view.Upstreams, ejection.UpstreamView{ID: names[i]})
	}
	for range homes {
		g := detector.NewGroup(detector.TuningForWeight(s.Weight))
		g.SetUpstreams(epoch, names[:s.Upstreams])
		o.groups = append(o.groups, g)
		o.demoted = append(o.demoted, make([]bool, s.Upstreams))
	}
	o.apply(epoch)
	return o
}

func (o *ours) observe(now time.Time, home int, out detector.Outcome) {
	if !o.groups[home].Observe(now, out) {
		return
	}
	o.assess(now, home)
	o.exchange(now, home)
	for other := range o.groups {
		if other != home {
			o.assess(now, other)
		}
	}
}

// assess updates a home's demotions and proposes.
func (o *ours) assess(now time.Time, home int) {
	assessments := o.groups[home].Assess(now)
	for i, a := range assessments {
		demoted := a.Condition != detector.Healthy
		if demoted != o.demoted[home][i] {
			o.demoted[home][i] = demoted
			if demoted {
				o.events.demotions[i]++
			}
		}
	}
	next, decisions := ejection.Propose(o.view, o.record, assessments, o.policy, now, o.rng)
	for _, d := range decisions {
		switch d.Action {
		case ejection.Eject:
			o.events.ejections[index(d.Upstream)]++
		case ejection.BeginTrial:
			for _, g := range o.groups {
				g.Reset(now, d.Upstream)
			}
		}
	}
	if ejection.Changed(decisions) {
		o.record = next
		o.apply(now)
	}
}

// apply gives every home the record.
func (o *ours) apply(now time.Time) {
	x := ejection.EffectiveExclusion(o.view, o.record, o.policy, now)
	for i := range o.use {
		s := x.Standing(names[i])
		o.use[i] = standing{excluded: s.Excluded, idempotentOnly: s.IdempotentOnly, share: s.Share}
	}
}

// exchange sends a home's summary to the others.
func (o *ours) exchange(now time.Time, home int) {
	summary := o.groups[home].Summary(now)
	for other, g := range o.groups {
		if other != home {
			g.Merge(now, names[home], summary)
		}
	}
}

func (o *ours) tick(now time.Time) {
	for home := range o.groups {
		o.exchange(now, home)
	}
	for home := range o.groups {
		o.assess(now, home)
	}
	o.apply(now)
}

func (o *ours) standing(home, upstream int) standing {
	s := o.use[upstream]
	s.demoted = o.demoted[home][upstream]
	return s
}

func (o *ours) redial(home, upstream int) (time.Duration, bool) {
	return o.groups[home].Redial(names[upstream])
}

func (o *ours) overdueAfter(home int) time.Duration { return o.groups[home].OverdueAfter() }

func (o *ours) joined(now time.Time, upstream int) {
	o.view.Upstreams[upstream].Joined = now
	for _, g := range o.groups {
		g.SetWarmUp(now, names[upstream], now.Add(o.policy.RampDuration))
	}
	o.apply(now)
}

func (o *ours) counts() counts { return o.events }
