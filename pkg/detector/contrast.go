package detector

import (
	"math"
	"time"
)

const (
	// slowBin is the first latency bin that counts as slow in a tally.
	slowBin = 2
	// quietPeers is how many good outcomes of the other upstreams are assumed
	// beside the observed ones, so that an upstream that attracts all work by
	// failing fast can be judged while the others are idle.
	quietPeers = 8
	// contrastShare is how much contrast with its peers an upstream's evidence
	// needs. A fault of the whole service is far rarer than an outcome, so half
	// of the nats that exclude chance are enough to exclude it.
	contrastShare = 0.5
)

// tally counts outcomes of real work and how many were bad, separately for
// failures and for latency.
type tally struct {
	work, failed float64
	timed, slow  float64
}

func (t *tally) plus(o tally) {
	t.work, t.failed = t.work+o.work, t.failed+o.failed
	t.timed, t.slow = t.timed+o.timed, t.slow+o.slow
}

func (t tally) minus(o tally) tally {
	return tally{work: t.work - o.work, failed: t.failed - o.failed, timed: t.timed - o.timed, slow: t.slow - o.slow}
}

// span is what an upstream and its peers had done when the upstream's evidence
// last began to rise from zero.
type span struct {
	own, all tally
	at       time.Time
}

// contrast compares the upstream with its peers since the evidence for the
// hypothesis began: the generalised log-likelihood ratio, in nats, of "the
// upstream has another share of bad outcomes" over "all have the same share".
// It is zero if the peers do worse.
func (g *Group) contrast(u *upstream, hypothesis int) float64 {
	from := u.began[hypothesis]
	own := u.done.minus(from.own)
	peers := g.done.minus(from.all).minus(own)
	if hypothesis >= hypSlow {
		return contrast(own.timed, own.slow, peers.timed+quietPeers, peers.slow)
	}
	return contrast(own.work, own.failed, peers.work+quietPeers, peers.failed)
}

func contrast(ownWork, ownBad, peerWork, peerBad float64) float64 {
	if ownWork <= 0 || ownBad/ownWork <= peerBad/peerWork {
		return 0
	}
	common := (ownBad + peerBad) / (ownWork + peerWork)
	return ownWork*divergence(ownBad/ownWork, common) + peerWork*divergence(peerBad/peerWork, common)
}

// divergence is the Kullback-Leibler divergence of two Bernoulli distributions.
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
