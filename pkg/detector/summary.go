package detector

import (
	"math"
	"time"
)

const (
	// remoteHalfLife is the half-life of another home's report. Summaries arrive
	// 4 times a second, so a report loses weight once several have been lost.
	remoteHalfLife = 2 * time.Second
	// maxReportAge is the maximum age of a report.
	maxReportAge = 10 * time.Second
	// maxContradictionAge is the maximum age of a report used as evidence that
	// an upstream works or is unhealthy at another home.
	maxContradictionAge = 2 * time.Second
	// remoteDiscount is the weight of another home's evidence relative to local
	// evidence.
	remoteDiscount = 0.75
	// remoteNoiseNats is the evidence that a healthy upstream commonly has at a
	// home. Only the excess counts. The logarithm of the number of homes is added
	// because the maximum over many homes is larger.
	remoteNoiseNats = 1.0
	// maxRemoteHomes bounds the memory used by summaries.
	maxRemoteHomes = 64
	// minSupportScore is the minimum evidence, in thresholds, with which another
	// home supports an assessment. A quarter is too low, since one very slow
	// request reaches it.
	minSupportScore = 0.5
	// minWorkingSuccesses is the minimum number of recent successes that show
	// that an upstream works.
	minWorkingSuccesses = 3
	// maxReportsPerSummary bounds the size of one summary.
	maxReportsPerSummary = 4096
)

// Summary is one home's evidence about a service. It contains only what the home
// observed itself, so that evidence is never counted twice.
type Summary struct {
	Reports []Evidence `json:"reports" cbor:"1,keyasint"`
}

// Evidence is a home's local evidence about one upstream.
type Evidence struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	// Score and Path are the evidence from requests and from failed dials, in
	// thresholds of the reporting home. An upstream is unhealthy there from 1 on.
	Score float32 `json:"score,omitempty" cbor:"2,keyasint,omitempty"`
	Path  float32 `json:"path,omitempty" cbor:"3,keyasint,omitempty"`
	// Successes and Failures count recent requests and decay with a half-life
	// of 5 s.
	Successes float32 `json:"successes,omitempty" cbor:"4,keyasint,omitempty"`
	Failures  float32 `json:"failures,omitempty" cbor:"5,keyasint,omitempty"`
}

// remoteHome is the latest summary of another home.
type remoteHome struct {
	receivedAt time.Time
	reports    map[string]Evidence
}

// Summary returns the local evidence for the service's other homes. It omits
// upstreams without evidence and without recent outcomes.
func (g *Group) Summary(now time.Time) Summary {
	var s Summary
	for _, u := range g.upstreams {
		u.decay(now)
		nats, _ := u.strongest()
		r := Evidence{
			Upstream:  u.id,
			Score:     float32(nats / g.tuning.Threshold),
			Path:      float32(g.pathScore(u)),
			Successes: roundCount(u.successes),
			Failures:  roundCount(u.failures),
		}
		if r != (Evidence{Upstream: u.id}) {
			s.Reports = append(s.Reports, r)
		}
	}
	return s
}

// roundCount rounds a decayed count to one decimal place, which turns very small
// counts into 0.
func roundCount(count float64) float32 { return float32(math.Round(count*10) / 10) }

// Merge stores the summary of another home in place of its previous one. It
// ignores reports about unknown upstreams and clamps values that are out of range.
func (g *Group) Merge(now time.Time, home string, s Summary) {
	g.dropStaleHomes(now)
	if _, known := g.remoteHomes[home]; !known && len(g.remoteHomes) >= maxRemoteHomes {
		return
	}
	remote := &remoteHome{receivedAt: now, reports: make(map[string]Evidence, len(s.Reports))}
	for _, r := range s.Reports[:min(len(s.Reports), maxReportsPerSummary)] {
		if u, known := g.byID[r.Upstream]; known {
			r.Upstream = u.id
			r.Score, r.Path = clamp(r.Score, maxScore), clamp(r.Path, maxScore)
			r.Successes, r.Failures = clamp(r.Successes, math.MaxUint16), clamp(r.Failures, math.MaxUint16)
			remote.reports[u.id] = r
		}
	}
	g.remoteHomes[home] = remote
}

func (g *Group) dropStaleHomes(now time.Time) {
	for id, home := range g.remoteHomes {
		if now.Sub(home.receivedAt) > maxReportAge {
			delete(g.remoteHomes, id)
		}
	}
}

// clamp limits v to 0..limit. It returns 0 for NaN.
func clamp(v, limit float32) float32 {
	if !(v > 0) {
		return 0
	}
	return min(v, limit)
}

// remoteEvidence combines the reports of the other homes about one upstream.
type remoteEvidence struct {
	nats               float64 // discounted and decayed evidence
	unhealthyHomes     int     // homes that classify it as unhealthy by their own evidence
	supportingHomes    int     // homes with evidence of at least minSupportScore
	confirmingHomes    int     // homes that cannot reach it or classify it as unhealthy
	contradictingHomes int     // homes with recent successful requests
}

// remoteEvidence returns the weighted reports of the other homes about an upstream.
func (g *Group) remoteEvidence(now time.Time, id string) remoteEvidence {
	var sum remoteEvidence
	noise := remoteNoiseNats + math.Log1p(float64(len(g.remoteHomes)))
	for _, home := range g.remoteHomes {
		r, reported := home.reports[id]
		age := max(now.Sub(home.receivedAt), 0)
		if !reported || age > maxReportAge {
			continue
		}
		score := min(float64(r.Score), 1) * decayFactor(age, remoteHalfLife)
		path := float64(r.Path) * decayFactor(age, remoteHalfLife)
		sum.nats += remoteDiscount * max(0, score*g.tuning.Threshold-noise)
		switch {
		case score >= minSupportScore || path >= minSupportScore:
			sum.supportingHomes++
		case age <= maxContradictionAge && r.Successes >= minWorkingSuccesses:
			sum.contradictingHomes++
		}
		if path >= minSupportScore || r.Score >= 1 && age <= maxContradictionAge {
			sum.confirmingHomes++
		}
		if age <= maxContradictionAge && r.Score >= 1 {
			sum.unhealthyHomes++
		}
	}
	return sum
}
