package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultPerDomain is the number of homes of a service in each failure domain:
// two, so that the loss of one leaves a home in the caller's own domain.
const DefaultPerDomain = 2

// Purposes keep the scores of different uses independent of each other.
const (
	homePurpose  = "home/"
	relayPurpose = "relay/"
)

// Homes returns the homes of a service: in each failure domain the perDomain
// eligible hosts with the highest scores. They are sorted by domain and then
// by falling score.
func Homes(service string, hosts []Host, perDomain int) []Host {
	return homesOf(rank(homePurpose+service, hosts), perDomain)
}

// Relays returns the n eligible hosts of the domain with the highest scores,
// best first. The next one takes over when one fails or leaves.
func Relays(domain string, hosts []Host, n int) []Host {
	var own []Host
	for _, h := range hosts {
		if h.Domain == domain {
			own = append(own, h)
		}
	}
	return homesOf(rank(relayPurpose+domain, own), n)
}

type scored struct {
	score uint64
	host  Host
}

// rank returns the eligible hosts sorted by domain and then by falling score.
func rank(key string, hosts []Host) []scored {
	seed := xxhash.Sum64String(key)
	ranked := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		if h.eligible() {
			ranked = append(ranked, scored{score: mix(seed ^ xxhash.Sum64String(h.ID)), host: h})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.host.Domain, b.host.Domain), cmp.Compare(b.score, a.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	return ranked
}

func homesOf(ranked []scored, perDomain int) []Host {
	var homes []Host
	taken := 0
	for i, s := range ranked {
		if i > 0 && ranked[i-1].host.Domain != s.host.Domain {
			taken = 0
		}
		if taken < perDomain {
			homes = append(homes, s.host)
			taken++
		}
	}
	return homes
}

// mix is the finalizer of splitmix64. The exclusive or of two hashes alone
// would rank hosts alike for similar keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
