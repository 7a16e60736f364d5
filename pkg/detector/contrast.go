package detector

import (
	"math"
	"time"
)

const (
	// slowBin is the first latency bin that counts as slow in a tally.
	slowBin = 2
	// priorPeerSuccesses is added to the observed successes of the peers. It
	// allows the detection of an upstream that attracts all requests by failing
	// fast while its peers are idle.
	priorPeerSuccesses = 8
	// minContrastShare is the minimum ratio of the contrast with the peers to
	// the evidence. The contrast rules out a fault of the whole service. Such
	// faults are far rarer than outcomes, so half of the nats that rule out
	// chance are enough.
	minContrastShare = 0.5
)

// tally counts request outcomes: requests and failed ones, timed requests and
// slow ones.
type tally struct {
	requests, failed float64
	timed, slow      float64
}

func (t *tally) add(o tally) {
	t.requests, t.failed = t.requests+o.requests, t.failed+o.failed
	t.timed, t.slow = t.timed+o.timed, t.slow+o.slow
}

func (t tally) sub(o tally) tally {
	return tally{requests: t.requests - o.requests, failed: t.failed - o.failed, timed: t.timed - o.timed, slow: t.slow - o.slow}
}

// changePoint holds the tallies of an upstream and of its group at the time when
// the upstream's evidence last rose from zero.
type changePoint struct {
	upstreamTally, groupTally tally
	at                        time.Time
}

// contrast compares the upstream with its peers since the change point of the
// hypothesis. It returns the generalised log-likelihood ratio, in nats, of
// different shares of bad outcomes to a common share, or 0 if the peers have a
// larger share.
func (g *Group) contrast(u *upstream, hypothesis int) float64 {
	start := u.changePoints[hypothesis]
	own := u.totals.sub(start.upstreamTally)
	peers := g.totals.sub(start.groupTally).sub(own)
	if hypothesis >= hypSlow {
		return contrast(own.timed, own.slow, peers.timed+priorPeerSuccesses, peers.slow)
	}
	return contrast(own.requests, own.failed, peers.requests+priorPeerSuccesses, peers.failed)
}

func contrast(ownWork, ownBad, peerWork, peerBad float64) float64 {
	if ownWork <= 0 || ownBad/ownWork <= peerBad/peerWork {
		return 0
	}
	common := (ownBad + peerBad) / (ownWork + peerWork)
	return ownWork*divergence(ownBad/ownWork, common) + peerWork*divergence(peerBad/peerWork, common)
}

// divergence returns the Kullback-Leibler divergence of two Bernoulli distributions.
func divergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}
