package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultPerDomain is the default number of homes of a service in each failure
// domain. With two, the caller's own domain still has a home after the loss of one.
const DefaultHomesPerDomain = 2

// slotsPerHome is the number of slots that one home per failure domain serves well
// (docs/decisions/homes-per-service.md).
const slotsPerHome = 64

// PerDomain returns the number of homes in each failure domain for a group of
// services that share their homes. slots maps each domain to the slots of the group's
// upstreams there. A second home halves the load of a small host, but it also splits
// the outcomes observed for each upstream and its slots between the homes. The number
// therefore grows with the square root of the slots.
func HomesPerDomain(slots map[string]int) int {
	totalSlots := 0
	for _, n := range slots {
		totalSlots += n
	}
	if totalSlots == 0 {
		return 1
	}
	meanSlots := float64(totalSlots) / float64(len(slots))
	return max(1, int(math.Round(math.Sqrt(meanSlots/slotsPerHome))))
}

// Key prefixes make the scores for homes and relays independent of each other.
const (
	homeKeyPrefix  = "home/"
	relayKeyPrefix = "relay/"
)

// Homes returns the homes of a service: the perDomain eligible hosts with the highest
// scores in each failure domain, sorted by domain and then by descending score.
func Homes(service string, hosts []Host, perDomain int) []Host {
	return selectHosts(homeKeyPrefix+service, hosts, perDomain)
}

// Relays returns the n eligible hosts of the domain with the highest scores, in
// descending order. When one fails, leaves or loses its connection to the platform,
// the host with the next highest score replaces it.
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
	if chosen := selectHosts(relayKeyPrefix+domain, attached, n); len(chosen) > 0 {
		return chosen
	}
	return selectHosts(relayKeyPrefix+domain, detached, n)
}

type scoredHost struct {
	score uint64
	host  *Host
}

// domainSelection holds the selected hosts of one domain by descending score.
type domainSelection struct {
	domain string
	list   []scoredHost
}

// selectHosts returns the n eligible hosts with the highest scores in each domain,
// sorted by domain and then by descending score. A single pass, without sorting all
// hosts, keeps a call for 1,600 hosts far below a millisecond.
func selectHosts(key string, hosts []Host, n int) []Host {
	if n <= 0 {
		return nil
	}
	seed := xxhash.Sum64String(key)
	var selections []domainSelection
	for i := range hosts {
		h := &hosts[i]
		if !h.eligible() {
			continue
		}
		index := slices.IndexFunc(selections, func(t domainSelection) bool { return t.domain == h.Domain })
		if index < 0 {
			index = len(selections)
			selections = append(selections, domainSelection{domain: h.Domain, list: make([]scoredHost, 0, min(n, len(hosts))+1)})
		}
		selections[index].insert(scoredHost{score: mix(seed ^ xxhash.Sum64String(h.hashKey())), host: h}, n)
	}
	slices.SortFunc(selections, func(a, b domainSelection) int { return cmp.Compare(a.domain, b.domain) })
	var chosen []Host
	for _, t := range selections {
		for _, s := range t.list {
			chosen = append(chosen, *s.host)
		}
	}
	return chosen
}

// insert adds s and keeps the n hosts with the highest scores.
func (t *domainSelection) insert(s scoredHost, n int) {
	if len(t.list) == n && s.compare(t.list[n-1]) > 0 {
		return
	}
	index, _ := slices.BinarySearchFunc(t.list, s, scoredHost.compare)
	t.list = slices.Insert(t.list, index, s)
	t.list = t.list[:min(len(t.list), n)]
}

// compare orders by descending score and then by ID.
func (s scoredHost) compare(other scoredHost) int {
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.host.ID, other.host.ID))
}

// mix is the finalizer of splitmix64. Combining two hashes by exclusive or alone
// would rank hosts similarly for similar keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
