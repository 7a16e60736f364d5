package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultPerDomain is the number of homes of a service in each failure domain:
// two, so that the loss of one leaves a home in the caller's own domain.
const DefaultPerDomain = 2

// slotsPerHome is the number of slots that one home in a failure domain serves well
// (docs/decisions/homes-per-service.md).
const slotsPerHome = 64

// PerDomain is the number of homes in each failure domain of a group of services,
// which have the same homes, from the slots of their upstreams in each domain. One
// more home halves the load of a small host, but it also divides what is known of the
// upstreams and the slots of each: the number grows with the square root of the slots.
func PerDomain(slots map[string]int) int {
	sum := 0
	for _, n := range slots {
		sum += n
	}
	if sum == 0 {
		return 1
	}
	mean := float64(sum) / float64(len(slots))
	return max(1, int(math.Round(math.Sqrt(mean/slotsPerHome))))
}

// Purposes keep the scores of different uses independent of each other.
const (
	homePurpose  = "home/"
	relayPurpose = "relay/"
)

// Homes returns the homes of a service: in each failure domain the perDomain
// eligible hosts with the highest scores. They are sorted by domain and then
// by falling score.
func Homes(service string, hosts []Host, perDomain int) []Host {
	return best(homePurpose+service, hosts, perDomain)
}

// Relays returns the n eligible hosts of the domain with the highest scores,
// best first. The next one takes over when one fails, leaves or is cut off from the
// platform.
func Relays(domain string, hosts []Host, n int) []Host {
	var attached, detached []Host
	for _, h := range hosts {
		switch {
		case h.Domain != domain:
		case h.Detached:
			detached = append(detached, h)
		default:
			attached = append(attached, h)
		}
	}
	if chosen := best(relayPurpose+domain, attached, n); len(chosen) > 0 {
		return chosen
	}
	return best(relayPurpose+domain, detached, n)
}

type scored struct {
	score uint64
	host  *Host
}

// top holds the best hosts of one domain, by falling score.
type top struct {
	domain string
	list   []scored
}

// best returns the n eligible hosts with the highest scores of each domain,
// sorted by domain and then by falling score. One pass without sorting all
// hosts keeps a call at 1,600 hosts far below a millisecond.
func best(key string, hosts []Host, n int) []Host {
	if n <= 0 {
		return nil
	}
	seed := xxhash.Sum64String(key)
	var tops []top
	for i := range hosts {
		h := &hosts[i]
		if !h.eligible() {
			continue
		}
		at := slices.IndexFunc(tops, func(t top) bool { return t.domain == h.Domain })
		if at < 0 {
			at = len(tops)
			tops = append(tops, top{domain: h.Domain, list: make([]scored, 0, min(n, len(hosts))+1)})
		}
		tops[at].insert(scored{score: mix(seed ^ xxhash.Sum64String(h.rank())), host: h}, n)
	}
	slices.SortFunc(tops, func(a, b top) int { return cmp.Compare(a.domain, b.domain) })
	var chosen []Host
	for _, t := range tops {
		for _, s := range t.list {
			chosen = append(chosen, *s.host)
		}
	}
	return chosen
}

// insert keeps the n best of the list and s.
func (t *top) insert(s scored, n int) {
	if len(t.list) == n && s.compare(t.list[n-1]) > 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(t.list, s, scored.compare)
	t.list = slices.Insert(t.list, at, s)
	t.list = t.list[:min(len(t.list), n)]
}

// compare orders by falling score; equal scores by id.
func (s scored) compare(other scored) int {
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.host.ID, other.host.ID))
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
