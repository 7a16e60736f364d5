package detector

import (
	"math"
	"time"
)

const (
	// remoteHalfLife fades another home's report. Summaries arrive 4 times a
	// second, so a report loses weight as soon as several were lost.
	remoteHalfLife = 2 * time.Second
	// remoteForgotten is the age at which a report is dropped.
	remoteForgotten = 10 * time.Second
	// contradictionAge is how old a report may be to testify that an upstream works.
	contradictionAge = 2 * time.Second
	// remoteDiscount weighs another home's evidence against own evidence.
	remoteDiscount = 0.75
	// remoteNoise is the evidence, in nats, that a healthy upstream often has
	// at a home; only what exceeds it counts. The logarithm of the number of
	// homes is added, because the largest of many is larger.
	remoteNoise = 1.0
	// maxHomes bounds the memory that summaries can occupy.
	maxHomes = 64
	// supportScore is the evidence, in thresholds, with which a home supports a
	// judgement. A quarter would not do: one very slow request brings it.
	supportScore = 0.5
	// workingSuccesses is how many recent successes testify that an upstream works.
	workingSuccesses = 3
	// maxReports bounds one summary.
	maxReports = 4096
)

// Summary is one home's own evidence about a service; it contains nothing that
// the home learned from other homes, so that evidence is never counted twice.
type Summary struct {
	Reports []Evidence `json:"reports" cbor:"1,keyasint"`
}

// Evidence is a home's own evidence about one upstream.
type Evidence struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	// Score and Path are the evidence of failing work and of failed dials, in
	// thresholds of the reporting home (1 means judged sick).
	Score float32 `json:"score,omitempty" cbor:"2,keyasint,omitempty"`
	Path  float32 `json:"path,omitempty" cbor:"3,keyasint,omitempty"`
	// Successes and Failures are recent outcomes, fading with a half-life of 5 s.
	Successes float32 `json:"successes,omitempty" cbor:"4,keyasint,omitempty"`
	Failures  float32 `json:"failures,omitempty" cbor:"5,keyasint,omitempty"`
}

// remoteHome is the latest summary of another home.
type remoteHome struct {
	at      time.Time
	reports map[string]Evidence
}

// Summary returns the evidence for the service's other homes. Upstreams about
// which there is nothing to say are left out.
func (g *Group) Summary(now time.Time) Summary {
	var s Summary
	for _, u := range g.upstreams {
		u.fade(now)
		nats, _ := u.strongest()
		r := Evidence{
			Upstream:  u.id,
			Score:     float32(nats / g.tuning.Threshold),
			Path:      float32(g.pathScore(u)),
			Successes: rounded(u.successes),
			Failures:  rounded(u.failures),
		}
		if r != (Evidence{Upstream: u.id}) {
			s.Reports = append(s.Reports, r)
		}
	}
	return s
}

// rounded drops counts that have all but faded.
func rounded(count float64) float32 { return float32(math.Round(count*10) / 10) }

// Merge takes the summary of another home, which replaces its earlier one.
// Reports about unknown upstreams are ignored, and values out of range clamped.
func (g *Group) Merge(now time.Time, home string, s Summary) {
	g.forgetHomes(now)
	if _, known := g.homes[home]; !known && len(g.homes) >= maxHomes {
		return
	}
	remote := &remoteHome{at: now, reports: make(map[string]Evidence, len(s.Reports))}
	for _, r := range s.Reports[:min(len(s.Reports), maxReports)] {
		if u, known := g.byID[r.Upstream]; known {
			r.Upstream = u.id
			r.Score, r.Path = clamp(r.Score, maxScore), clamp(r.Path, maxScore)
			r.Successes, r.Failures = clamp(r.Successes, math.MaxUint16), clamp(r.Failures, math.MaxUint16)
			remote.reports[u.id] = r
		}
	}
	g.homes[home] = remote
}

func (g *Group) forgetHomes(now time.Time) {
	for id, home := range g.homes {
		if now.Sub(home.at) > remoteForgotten {
			delete(g.homes, id)
		}
	}
}

// clamp returns v within 0..limit, and 0 for NaN.
func clamp(v, limit float32) float32 {
	if !(v > 0) {
		return 0
	}
	return min(v, limit)
}

// testimony is what the other homes say about one upstream.
type testimony struct {
	nats      float64 // discounted and faded evidence
	judgeSick int     // homes that judge it sick by themselves
	support   int     // homes with considerable evidence against it
	confirm   int     // homes that cannot reach it either or judge it sick
	working   int     // homes that recently had it work well
}

// testimony weighs the other homes' reports about an upstream.
func (g *Group) testimony(now time.Time, id string) testimony {
	var t testimony
	noise := remoteNoise + math.Log1p(float64(len(g.homes)))
	for _, home := range g.homes {
		r, reported := home.reports[id]
		age := max(now.Sub(home.at), 0)
		if !reported || age > remoteForgotten {
			continue
		}
		score := min(float64(r.Score), 1) * remaining(age, remoteHalfLife)
		path := float64(r.Path) * remaining(age, remoteHalfLife)
		t.nats += remoteDiscount * max(0, score*g.tuning.Threshold-noise)
		switch {
		case score >= supportScore || path >= supportScore:
			t.support++
		case age <= contradictionAge && r.Successes >= workingSuccesses:
			t.working++
		}
		if path >= supportScore || r.Score >= 1 && age <= contradictionAge {
			t.confirm++
		}
		if age <= contradictionAge && r.Score >= 1 {
			t.judgeSick++
		}
	}
	return t
}
